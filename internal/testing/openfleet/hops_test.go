package openfleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
)

// Failed counts the jobs that were neither served nor refused with a promise.
func (t Tally) Failed() int { return t.Jobs - t.Served - t.Refused }

// doubtful expects at most a share of the jobs that may not be repeated to fail without a promise.
func (f *Fleet) doubtful(most float64) {
	t := f.Tally(0, 0, once)
	share := float64(t.Failed()) / float64(max(t.Jobs, 1))
	ginkgo.AddReportEntry(f.Story, fmt.Sprint(t.Failed(), " failed; ", t, "; ", f.settled()))
	ExpectWithOffset(1, share).To(BeNumerically("<=", most), "%s: %d failed; %s", f.Story, t.Failed(), t)
}

// settled sums what the nodes that are up counted of broken connections between them.
func (f *Fleet) settled() map[string]uint64 {
	sums := map[string]uint64{}
	for _, m := range f.nodes() {
		if m.Node == nil {
			continue
		}
		for what, count := range m.Node.View().Counts {
			if strings.HasPrefix(what, "hop-") || strings.HasPrefix(what, "attempt-") || what == "repeat-unpaid" {
				sums[what] += count
			}
		}
	}
	return sums
}

func (f *Fleet) resetEvery(pause time.Duration, times int) {
	random := f.rand("resets")
	for range times {
		f.World.ResetConns(f.Nodes[random.IntN(len(f.Nodes))].IP)
		f.Pass(time.Duration(float64(pause) * (0.5 + random.Float64())))
	}
}

var _ = ginkgo.Describe("connections between machines that break", func() {
	story("given load, when machines' connections are reset again and again, then nothing runs twice and next to nothing is left in doubt", []uint64{1, 2}, func(f *Fleet) {
		f.slowly(40*time.Millisecond, 120*time.Millisecond)
		raised(f)
		f.Visit(80)
		f.Pass(time.Second)
		f.resetEvery(150*time.Millisecond, 40)
		f.Away()
		f.doubtful(0.02)
		sound(f, Twice, Mixed)
	})

	story("given load, when connections are reset while nodes are killed, frozen and cut off, then nothing runs twice and no refused one ran", []uint64{1, 2}, func(f *Fleet) {
		f.slowly(40*time.Millisecond, 120*time.Millisecond)
		raised(f)
		f.Visit(80)
		f.Pass(time.Second)
		base.Parallel([]func(){
			func() { f.resetEvery(150*time.Millisecond, 60) },
			func() {
				random := f.rand("troubles")
				for turn := range 6 {
					m := f.Nodes[random.IntN(len(f.Nodes))]
					switch turn % 3 {
					case 0:
						f.Kill(m)
						f.Pass(500 * time.Millisecond)
						Expect(f.Raise(m)).To(Succeed())
					case 1:
						thaw := f.Freeze(m)
						f.Pass(700 * time.Millisecond)
						thaw()
					default:
						f.cutOffFor(m, 400*time.Millisecond)
					}
					f.Pass(time.Second)
				}
			},
		}, func(do func()) { do() })
		f.Pass(2 * time.Second)
		f.Away()
		f.doubtful(0.03)
		sound(f, Twice, Mixed)
	})
})

func (f *Fleet) cutOffFor(m *Machine, d time.Duration) {
	end := f.Trouble(m.Name, "cut off")
	f.dark(m, true)
	f.Pass(d)
	f.dark(m, false)
	end()
}
