package openfleet

import (
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
)

// Indeterminate counts the jobs that were neither served nor refused with a promise.
func (t JobStats) Indeterminate() int { return t.Jobs - t.Succeeded - t.Rejected }

// doubtful expects at most a share of the jobs that may not be repeated to fail without a promise.
func (f *Fleet) doubtful(most float64) {
	t := f.JobStats(0, 0, once)
	share := float64(t.Indeterminate()) / float64(max(t.Jobs, 1))
	ginkgo.AddReportEntry(f.Description, fmt.Sprint(t.Indeterminate(), " failed; ", t, "; ", f.settled()))
	ExpectWithOffset(1, share).To(BeNumerically("<=", most), "%s: %d failed; %s", f.Description, t.Indeterminate(), t)
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
		f.Sleep(time.Duration(float64(pause) * (0.5 + random.Float64())))
	}
}

var _ = ginkgo.Describe("connections between machines that break", func() {
	story("given load, when machines' connections are reset again and again, then nothing runs twice and next to nothing is left in doubt", []uint64{1, 2}, func(f *Fleet) {
		f.slowly(40*time.Millisecond, 120*time.Millisecond)
		raised(f)
		f.StartLoad(80)
		f.Sleep(time.Second)
		f.resetEvery(150*time.Millisecond, 40)
		f.StopLoad()
		f.doubtful(0.02)
		sound(f, RuleAtMostOnce, RuleResponseIntegrity)
	})

	story("given load, when connections are reset while nodes are killed, frozen and cut off, then nothing runs twice and no refused one ran", []uint64{1, 2}, func(f *Fleet) {
		f.slowly(40*time.Millisecond, 120*time.Millisecond)
		raised(f)
		f.StartLoad(80)
		f.Sleep(time.Second)
		base.Parallel([]func(){
			func() { f.resetEvery(150*time.Millisecond, 60) },
			func() {
				random := f.rand("troubles")
				for turn := range 6 {
					m := f.Nodes[random.IntN(len(f.Nodes))]
					switch turn % 3 {
					case 0:
						f.Kill(m)
						f.Sleep(500 * time.Millisecond)
						Expect(f.StartProcess(m)).To(Succeed())
					case 1:
						thaw := f.Freeze(m)
						f.Sleep(700 * time.Millisecond)
						thaw()
					default:
						f.cutOffFor(m, 400*time.Millisecond)
					}
					f.Sleep(time.Second)
				}
			},
		}, func(do func()) { do() })
		f.Sleep(2 * time.Second)
		f.StopLoad()
		f.doubtful(0.03)
		sound(f, RuleAtMostOnce, RuleResponseIntegrity)
	})
})

func (f *Fleet) cutOffFor(m *Machine, d time.Duration) {
	end := f.StartDisturbance(m.Name, "cut off")
	f.dark(m, true)
	f.Sleep(d)
	f.dark(m, false)
	end()
}
