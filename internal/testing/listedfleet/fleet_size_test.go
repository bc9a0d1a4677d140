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

// trafficMu guards the results of fleets that run in parallel.
var trafficMu sync.Mutex

// traffic is the mean traffic per node and second.
type traffic struct{ bytes, packets float64 }

// measureTraffic waits for the given time and returns the traffic of all machines in it, per node and second.
func (f *Fleet) measureTraffic(length time.Duration) traffic {
	bytes, packets := f.World.Sent()
	f.Sleep(length)
	bytesAfter, packetsAfter := f.World.Sent()
	nodeSeconds := length.Seconds() * float64(len(f.Nodes))
	return traffic{float64(bytesAfter-bytes) / nodeSeconds, float64(packetsAfter-packets) / nodeSeconds}
}

var _ = ginkgo.Describe("fleet size", func() {
	ginkgo.It("given two and three times the nodes, when there is no load, then the traffic per node grows far less than the fleet", func() {
		withControllers, withoutControllers := map[int]traffic{}, map[int]traffic{}
		sizes := []int{4, 8, 12}
		if os.Getenv("MEASURE") != "" {
			sizes = append(sizes, 24, 48, 96)
		}
		base.Parallel(sizes, func(nodes int) {
			var idle, idleWithout traffic
			runFleet(1, libraryBundle(nodes), func(f *Fleet) {
				startAll(f)
				f.Sleep(2 * time.Second)
				idle = f.measureTraffic(5 * time.Second)
				for _, m := range f.Controllers {
					f.Kill(m)
				}
				f.Sleep(2 * time.Second)
				idleWithout = f.measureTraffic(3 * time.Second)
				Expect(f.Ready(f.Nodes)).To(BeTrue())
			})
			trafficMu.Lock()
			defer trafficMu.Unlock()
			withControllers[nodes], withoutControllers[nodes] = idle, idleWithout
		})
		for _, nodes := range sizes {
			ginkgo.GinkgoWriter.Printf("MEASURE fleet size, %d nodes: %.0f packets and %.0f bytes per node and second; with all controllers down %.0f and %.0f\n",
				nodes, withControllers[nodes].packets, withControllers[nodes].bytes, withoutControllers[nodes].packets, withoutControllers[nodes].bytes)
		}
		Expect(withControllers[12].packets).To(BeNumerically("<", 1.5*withControllers[4].packets))
		Expect(withControllers[12].bytes).To(BeNumerically("<", 3*withControllers[4].bytes))
	})
})

var _ = ginkgo.Describe("power loss of a zone", func() {
	ginkgo.It("given machines in three zones, when one zone loses power at once, then the others continue to serve and a bundle still rolls out", func() {
		base.Parallel([]uint64{1, 2}, func(seed uint64) {
			runFleet(seed, libraryBundle(6), func(f *Fleet) {
				startAll(f)
				f.StartLoad(80)
				f.Sleep(2 * time.Second)
				var lost []*Machine
				for _, m := range f.Machines() {
					if m.Zone == "a" {
						f.PowerLoss(m)
						lost = append(lost, m)
					}
				}
				Expect(len(lost)).To(Equal(3))
				f.Sleep(2 * time.Second)
				outcome := f.push("without zone a", 1, librariansShareChange(2))
				if outcome.Verdict == wire.Verdict_UNKNOWN {
					outcome = f.awaitOutcome("without zone a")
				}
				Expect(outcome.Verdict).To(Equal(wire.Verdict_TAKEN))
				before := len(f.History.Calls())
				f.Sleep(4 * time.Second)
				complete, answered := 0, 0
				for _, call := range f.History.Calls()[before:] {
					if call.Broken == "" {
						complete++
						if call.Outcome == "" {
							answered++
						}
					}
				}
				Expect(answered).To(BeNumerically(">", complete*9/10), fmt.Sprint(complete))
				for _, m := range lost {
					Expect(f.StartProcess(m)).To(Succeed())
				}
				Expect(f.WaitUntil(5*time.Second, func() bool { return f.Ready(f.Machines()) && f.AllNodesHaveSerial(2) })).To(BeTrue())
				f.StopLoad()
				expectNoViolations(f)
			})
		})
	})
})
