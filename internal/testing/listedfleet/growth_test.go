package listedfleet

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

var growing sync.Mutex

type traffic struct{ bytes, packets float64 }

func (f *Fleet) idle(length time.Duration) traffic {
	bytes, packets := f.World.Sent()
	f.Pass(length)
	later, more := f.World.Sent()
	each := length.Seconds() * float64(len(f.Vanes))
	return traffic{float64(later-bytes) / each, float64(more-packets) / each}
}

var _ = ginkgo.Describe("growth", func() {
	ginkgo.It("given twice and thrice the nodes, when nothing happens, then what each node sends grows far less than the fleet", func() {
		quiet, dark := map[int]traffic{}, map[int]traffic{}
		sizes := []int{4, 8, 12}
		if os.Getenv("MEASURE") != "" {
			sizes = append(sizes, 24, 48, 96)
		}
		base.Parallel(sizes, func(vanes int) {
			var calm, lost traffic
			bubble(1, shape(vanes), func(f *Fleet) {
				raised(f)
				f.Pass(2 * time.Second)
				calm = f.idle(5 * time.Second)
				for _, m := range f.Keels {
					f.Kill(m)
				}
				f.Pass(2 * time.Second)
				lost = f.idle(3 * time.Second)
				Expect(f.Ready(f.Vanes)).To(BeTrue())
			})
			growing.Lock()
			defer growing.Unlock()
			quiet[vanes], dark[vanes] = calm, lost
		})
		for _, vanes := range sizes {
			ginkgo.GinkgoWriter.Printf("MEASURE growth, %d nodes: each node's part is %.0f packets and %.0f bytes a second; with the core down %.0f and %.0f\n",
				vanes, quiet[vanes].packets, quiet[vanes].bytes, dark[vanes].packets, dark[vanes].bytes)
		}
		Expect(quiet[12].packets).To(BeNumerically("<", 1.5*quiet[4].packets))
		Expect(quiet[12].bytes).To(BeNumerically("<", 3*quiet[4].bytes))
	})
})

var _ = ginkgo.Describe("a zone lost", func() {
	ginkgo.It("given two zones left of three, when one loses power at once, then service goes on and a bundle still rolls out", func() {
		base.Parallel([]uint64{1, 2}, func(seed uint64) {
			bubble(seed, shape(6), func(f *Fleet) {
				raised(f)
				f.Visit(80)
				f.Pass(2 * time.Second)
				var lost []*Machine
				for _, m := range f.Every() {
					if m.Zone == "a" {
						f.PowerLoss(m)
						lost = append(lost, m)
					}
				}
				Expect(len(lost)).To(Equal(3))
				f.Pass(2 * time.Second)
				outcome := f.push("without zone a", 1, nudge(2))
				if outcome.Verdict == wire.Verdict_UNKNOWN {
					outcome = f.resolve("without zone a")
				}
				Expect(outcome.Verdict).To(Equal(wire.Verdict_TAKEN))
				before := len(f.History.Calls())
				f.Pass(4 * time.Second)
				asked, answered := 0, 0
				for _, call := range f.History.Calls()[before:] {
					if call.Broken == "" {
						asked++
						if call.Outcome == "" {
							answered++
						}
					}
				}
				Expect(answered).To(BeNumerically(">", asked*9/10), fmt.Sprint(asked))
				for _, m := range lost {
					Expect(f.Raise(m)).To(Succeed())
				}
				Expect(f.Until(5*time.Second, func() bool { return f.Ready(f.Every()) && f.AllOn(2) })).To(BeTrue())
				f.Leave()
				sound(f)
			})
		})
	})
})
