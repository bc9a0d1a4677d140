package listedfleet

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/testing/standin"
	"curlewreach/proto/wire"
)

// learnerMachine returns the controller that runs the learner, nil if unknown, and the newest state of the learner.
func (f *Fleet) learnerMachine() (*Machine, *wire.Learning) {
	learning := &wire.Learning{}
	for _, m := range f.Controllers {
		if m.Controller != nil && m.Controller.ControlPlane.Learning().GetCycle() > learning.Cycle {
			learning = m.Controller.ControlPlane.Learning()
		}
	}
	for _, m := range f.Controllers {
		if m.Name == learning.Holder {
			return m, learning
		}
	}
	return nil, learning
}

var _ = ginkgo.Describe("the learner", func() {
	scenario("given a power loss of the controller that runs the learner, when cycles pass, then another takes over and keeps the beliefs", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		f.Sleep(6 * time.Second)
		first, before := f.learnerMachine()
		Expect(first).NotTo(BeNil())
		f.PowerLoss(first)
		f.Sleep(8 * time.Second)
		second, after := f.learnerMachine()
		Expect(second.Name).NotTo(Equal(first.Name))
		Expect(after.Cycle).To(BeNumerically(">", before.Cycle))
		for i, belief := range before.Beliefs {
			Expect(after.Beliefs[i].Alpha + after.Beliefs[i].Beta).To(BeNumerically(">=", belief.Alpha+belief.Beta))
		}
		f.StopLoad()
		expectNoViolations(f)
	})

	scenario("given the controller that runs the learner, when it stops gracefully, then the successor it named continues within two cycles", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		f.Sleep(5 * time.Second)
		first, before := f.learnerMachine()
		f.Stop(first)
		f.Sleep(2 * time.Second)
		second, after := f.learnerMachine()
		Expect(second.Name).NotTo(Equal(first.Name))
		Expect(after.Cycle).To(BeNumerically(">", before.Cycle))
		f.StopLoad()
		expectNoViolations(f)
	})

	scenario("given nodes cut off from the learner and the trace store, when clients make requests, then nodes keep the last recording probabilities and no call waits", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		f.Sleep(6 * time.Second)
		serial := f.Nodes[0].Node.Node.Sampler().Serial()
		Expect(serial).To(BeNumerically(">", 0))
		for _, m := range f.Controllers {
			for _, node := range f.Nodes {
				f.Partition(m, node)
			}
		}
		f.Sleep(time.Second)
		before := len(f.History.Calls())
		f.Sleep(8 * time.Second)
		f.StopLoad()
		for _, call := range f.History.Calls()[before:] {
			Expect(call.Status).To(Equal(200), call.Kind)
			Expect(call.Ended - call.Started).To(BeNumerically("<", 500*time.Millisecond))
		}
		sampler := f.Nodes[0].Node.Node.Sampler()
		Expect(sampler.Probability("catalogue/search")).To(BeNumerically("<", 1))
		Expect(sampler.Probability("catalogue/never-seen")).To(Equal(1.0))
		expectNoViolations(f)
	})

	for _, mode := range []struct {
		name         string
		passesHeader bool
		hasKeys      bool
		concurrent   bool
		maxCalls     uint32
		minCorrect   float64
	}{
		{"propagate the trace header", true, false, false, 0, 1},
		{"have matching key fields", false, true, false, 0, 0.9},
		{"have no key fields", false, false, false, 0, 1},
		{"have no key fields, at most one per parent", false, false, false, 1, 1},
		{"have no key fields, on a route that allows concurrency", false, false, true, 0, 0},
	} {
		scenario("given onward calls that "+mode.name+", when several are in flight, then none is attributed to a wrong parent", []uint64{1, 2}, func(f *Fleet) {
			f.Behaviors = []standin.Behavior{
				{Prefix: "/lending/borrow", MinDelay: 20, Jitter: 20, FillerBytes: 50, Calls: []string{"GET /catalogue/licences/{last}"}, PropagatesTrace: mode.passesHeader},
				{Prefix: "/catalogue/licences", MinDelay: 5, Jitter: 10, FillerBytes: 50},
			}
			f.Plan = []standin.PlannedRequest{{Service: "lending", Route: "borrow", Group: "patrons", Method: "POST", Path: "/lending/borrow/{n}", Weight: 1}}
			for _, route := range f.InitialBundle.Services[1].Routes {
				if route.Name == "borrow" {
					route.Together = mode.concurrent
					route.Further[0].Most = mode.maxCalls
					if !mode.hasKeys {
						route.Further[0].Keys = nil
					}
				}
			}
			startAll(f)
			f.StartLoad(60)
			f.Sleep(6 * time.Second)
			f.StopLoad()
			correct, other, ambiguous := 0, 0, uint64(0)
			for _, u := range f.Upstreams {
				counts := u.Counts()
				correct += counts.CorrectTrace
				other += counts.OtherTrace
			}
			for _, m := range f.Nodes {
				ambiguous += m.Journal.Counts()["ambiguous"]
			}
			totalLatency := time.Duration(0)
			for _, call := range f.History.Calls() {
				totalLatency += call.Ended - call.Started
			}
			ginkgo.GinkgoWriter.Printf("MEASURE attribution, %s: correct %d, other %d, ambiguous %d, mean call %s\n", mode.name, correct, other, ambiguous, totalLatency/time.Duration(len(f.History.Calls())))
			Expect(uint64(other)).To(Equal(ambiguous), "a call not attributed to its parent is recorded as ambiguous, never as another request's")
			Expect(correct + other).To(BeNumerically(">", 200))
			Expect(float64(correct) / float64(correct+other)).To(BeNumerically(">=", mode.minCorrect))
			expectNoViolations(f)
		})
	}
})

var _ = ginkgo.Describe("fair shares", func() {
	scenario("given one group that floods the fleet, when another makes its usual requests, then the other keeps its share and spare capacity is used", []uint64{1, 2, 3}, func(f *Fleet) {
		f.Behaviors = []standin.Behavior{{Prefix: "/catalogue", MinDelay: 40, FillerBytes: 50}}
		f.Plan = []standin.PlannedRequest{
			{Service: "catalogue", Route: "search", Group: "patrons", Method: "GET", Path: "/catalogue/search?q={n}", Weight: 1},
			{Service: "catalogue", Route: "report", Group: "librarians", Method: "GET", Path: "/catalogue/report/{n}", Weight: 9},
		}
		startAll(f)
		for _, u := range f.Upstreams {
			u.SetCapacity(4)
		}
		f.Sleep(time.Second)
		f.StartLoad(600)
		f.Sleep(8 * time.Second)
		f.StopLoad()
		requested, answered := map[string]int{}, map[string]int{}
		for _, call := range f.History.Calls() {
			requested[call.Group]++
			if call.Status == 200 {
				answered[call.Group]++
			}
		}
		ginkgo.GinkgoWriter.Printf("MEASURE fair, seed %d: patrons %d of %d, librarians %d of %d\n", f.Seed, answered["patrons"], requested["patrons"], answered["librarians"], requested["librarians"])
		Expect(float64(answered["patrons"])/float64(requested["patrons"])).To(BeNumerically(">", 0.95), "patrons use less than their share")
		Expect(answered["librarians"]).To(BeNumerically(">", answered["patrons"]), "capacity that the patrons don't use goes to the librarians")
		expectNoViolations(f)
	})
})

var _ = ginkgo.Describe("bundle slices", func() {
	ginkgo.It("given more routes of other services, when a node gets its slice of the bundle, then the slice grows only with what the node calls", func() {
		size := func(extra int) int {
			total := 0
			b := libraryBundle(4)
			for i := range extra {
				name := fmt.Sprint("extra-", i)
				service := &wire.Service{Name: name}
				for j := range 20 {
					service.Routes = append(service.Routes, &wire.Route{Name: fmt.Sprint("r", j), Method: "GET", Path: fmt.Sprintf("/%s/r%d/{x}", name, j)})
				}
				b.Services = append(b.Services, service)
				b.Common.Shares[1].Services = append(b.Common.Shares[1].Services, name)
			}
			for _, m := range b.Common.Machines {
				m.Calls = []string{"catalogue"}
			}
			runFleet(1, b, func(f *Fleet) {
				startAll(f)
				for _, part := range f.Nodes[0].Node.Node.Bundle().Sealed.Parts {
					total += len(part.Body)
				}
			})
			return total
		}
		without, with200, with2000 := size(0), size(10), size(100)
		ginkgo.GinkgoWriter.Printf("MEASURE slice of one node, bytes of its parts: %d with 0, %d with 200, %d with 2000 routes of other services\n", without, with200, with2000)
		Expect(with2000-with200).To(BeNumerically("<", 90*40), "only the share's list of names grows, not the routes")
	})
})
