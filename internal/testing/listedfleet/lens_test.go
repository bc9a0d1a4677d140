package listedfleet

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/testing/standin"
	"curlewreach/proto/wire"
)

func (f *Fleet) holder() (*Machine, *wire.Learning) {
	learning := &wire.Learning{}
	for _, m := range f.Keels {
		if m.Controller != nil && m.Controller.ControlPlane.Learning().GetCycle() > learning.Cycle {
			learning = m.Controller.ControlPlane.Learning()
		}
	}
	for _, m := range f.Keels {
		if m.Name == learning.Holder {
			return m, learning
		}
	}
	return nil, learning
}

var _ = ginkgo.Describe("learning in the fleet", func() {
	story("given the learner's keel lost, when cycles pass, then another takes the duty and the beliefs survive", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(60)
		f.Pass(6 * time.Second)
		first, before := f.holder()
		Expect(first).NotTo(BeNil())
		f.PowerLoss(first)
		f.Pass(8 * time.Second)
		second, after := f.holder()
		Expect(second.Name).NotTo(Equal(first.Name))
		Expect(after.Cycle).To(BeNumerically(">", before.Cycle))
		for i, belief := range before.Beliefs {
			Expect(after.Beliefs[i].Alpha + after.Beliefs[i].Beta).To(BeNumerically(">=", belief.Alpha+belief.Beta))
		}
		f.Leave()
		sound(f)
	})

	story("given a planned stop of the learner's keel, when it stops, then the successor it named goes on within two cycles", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(60)
		f.Pass(5 * time.Second)
		first, before := f.holder()
		f.Stop(first)
		f.Pass(2 * time.Second)
		second, after := f.holder()
		Expect(second.Name).NotTo(Equal(first.Name))
		Expect(after.Cycle).To(BeNumerically(">", before.Cycle))
		f.Leave()
		sound(f)
	})

	story("given learner and store out of reach, when visitors call, then choices go on with the last odds and no call waits", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(60)
		f.Pass(6 * time.Second)
		held := f.Vanes[0].Node.Node.Sampler().Serial()
		Expect(held).To(BeNumerically(">", 0))
		for _, m := range f.Keels {
			for _, node := range f.Vanes {
				f.Cut(m, node)
			}
		}
		f.Pass(time.Second)
		before := len(f.History.Calls())
		f.Pass(8 * time.Second)
		f.Leave()
		for _, call := range f.History.Calls()[before:] {
			Expect(call.Status).To(Equal(200), call.Kind)
			Expect(call.Ended - call.Started).To(BeNumerically("<", 500*time.Millisecond))
		}
		keeper := f.Vanes[0].Node.Node.Sampler()
		Expect(keeper.Probability("catalogue/search")).To(BeNumerically("<", 1))
		Expect(keeper.Probability("catalogue/never-seen")).To(Equal(1.0))
		sound(f)
	})

	for _, mode := range []struct {
		name     string
		passes   bool
		keys     bool
		together bool
		most     uint32
		tied     float64
	}{
		{"pass the header on", true, false, false, 0, 1},
		{"have equal key fields", false, true, false, 0, 0.9},
		{"have nothing to tell them apart by", false, false, false, 0, 1},
		{"have nothing, but come once", false, false, false, 1, 1},
		{"have nothing, and are let together", false, false, true, 0, 0},
	} {
		story("given further calls that "+mode.name+", when several are in flight, then none is tied to a wrong parent", []uint64{1, 2}, func(f *Fleet) {
			f.Habits = []standin.Behavior{
				{Prefix: "/lending/borrow", MinDelay: 20, Jitter: 20, FillerBytes: 50, Calls: []string{"GET /catalogue/licences/{last}"}, PropagatesTrace: mode.passes},
				{Prefix: "/catalogue/licences", MinDelay: 5, Jitter: 10, FillerBytes: 50},
			}
			f.Plan = []standin.PlannedRequest{{Service: "lending", Route: "borrow", Group: "patrons", Method: "POST", Path: "/lending/borrow/{n}", Weight: 1}}
			for _, route := range f.Shape.Services[1].Routes {
				if route.Name == "borrow" {
					route.Together = mode.together
					route.Further[0].Most = mode.most
					if !mode.keys {
						route.Further[0].Keys = nil
					}
				}
			}
			raised(f)
			f.Visit(60)
			f.Pass(6 * time.Second)
			f.Leave()
			right, other, ambiguous := 0, 0, uint64(0)
			for _, u := range f.Seats {
				counts := u.Counts()
				right += counts.CorrectTrace
				other += counts.OtherTrace
			}
			for _, m := range f.Vanes {
				ambiguous += m.Journal.Counts()["ambiguous"]
			}
			waits := time.Duration(0)
			for _, call := range f.History.Calls() {
				waits += call.Ended - call.Started
			}
			ginkgo.GinkgoWriter.Printf("MEASURE ties, %s: right %d, else %d, ambiguous %d, mean call %s\n", mode.name, right, other, ambiguous, waits/time.Duration(len(f.History.Calls())))
			Expect(uint64(other)).To(Equal(ambiguous), "a call not tied to its parent is recorded as ambiguous, never as another's")
			Expect(right + other).To(BeNumerically(">", 200))
			Expect(float64(right) / float64(right+other)).To(BeNumerically(">=", mode.tied))
			sound(f)
		})
	}
})

var _ = ginkgo.Describe("fair shares", func() {
	story("given one group that floods, when another asks its usual, then the other keeps its part and spare room is used", []uint64{1, 2, 3}, func(f *Fleet) {
		f.Habits = []standin.Behavior{{Prefix: "/catalogue", MinDelay: 40, FillerBytes: 50}}
		f.Plan = []standin.PlannedRequest{
			{Service: "catalogue", Route: "search", Group: "patrons", Method: "GET", Path: "/catalogue/search?q={n}", Weight: 1},
			{Service: "catalogue", Route: "report", Group: "librarians", Method: "GET", Path: "/catalogue/report/{n}", Weight: 9},
		}
		raised(f)
		for _, u := range f.Seats {
			u.SetCapacity(4)
		}
		f.Pass(time.Second)
		f.Visit(600)
		f.Pass(8 * time.Second)
		f.Leave()
		asked, got := map[string]int{}, map[string]int{}
		for _, call := range f.History.Calls() {
			asked[call.Group]++
			if call.Status == 200 {
				got[call.Group]++
			}
		}
		ginkgo.GinkgoWriter.Printf("MEASURE fair, seed %d: patrons %d of %d, librarians %d of %d\n", f.Seed, got["patrons"], asked["patrons"], got["librarians"], asked["librarians"])
		Expect(float64(got["patrons"])/float64(asked["patrons"])).To(BeNumerically(">", 0.95), "patrons ask less than their part")
		Expect(got["librarians"]).To(BeNumerically(">", got["patrons"]), "what the patrons leave is used")
		sound(f)
	})
})

var _ = ginkgo.Describe("slices", func() {
	ginkgo.It("given more routes of other services, when a node takes its slice, then its bytes grow only with what concerns it", func() {
		size := func(extra int) int {
			total := 0
			b := shape(4)
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
			bubble(1, b, func(f *Fleet) {
				raised(f)
				for _, part := range f.Vanes[0].Node.Node.Bundle().Sealed.Parts {
					total += len(part.Body)
				}
			})
			return total
		}
		none, some, many := size(0), size(10), size(100)
		ginkgo.GinkgoWriter.Printf("MEASURE slice parts of one node, bytes: %d with 0, %d with 200, %d with 2000 routes of other services\n", none, some, many)
		Expect(many-some).To(BeNumerically("<", 90*40), "only the share's list of names grows, not the routes")
	})
})
