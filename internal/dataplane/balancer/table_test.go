package balancer

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/dataplane/admission"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/random"
	"curlewreach/internal/testing/simulation"
	"curlewreach/proto/wire"
)

const (
	books      = "books"
	freshSlack = 2400 * time.Millisecond
)

var threeControllers = []string{"core-1", "core-2", "core-3"}

func observed(absent bool) []*wire.Observation {
	return []*wire.Observation{{Absent: absent, NodeStatus: &wire.NodeStatus{
		Node: "app-2", Incarnation: "one", Number: 1, Inward: "10.9.1.2:7002", Zone: "a", Service: books,
		Instance: &wire.Instance{Id: "i-2", Service: books, Address: "10.9.1.2:8080", Zone: "a", Capacity: 4},
	}}}
}

func (r *Table) offers(service string) (names []string) {
	for _, each := range r.Candidates(service, "a", 2, 100*time.Millisecond, func(string) bool { return false }, random.Seeded(1)) {
		names = append(names, each.Node)
	}
	return names
}

var _ = ginkgo.Describe("a peer that the control machines lost observation of", func() {
	heard := func(s *simulation.Simulation) *Table {
		r := NewTable(s.Clock, "app-1", freshSlack)
		for _, controller := range threeControllers {
			r.ApplyObservations(controller, true, observed(false))
		}
		time.Sleep(time.Second)
		return r
	}
	lost := func(r *Table) {
		for _, controller := range threeControllers {
			r.ApplyObservations(controller, false, observed(true))
		}
	}

	simulation.It("given a peer that answers, when every control machine calls it absent, then it stays", func(s *simulation.Simulation) {
		r := heard(s)
		r.AttemptBegun("app-2")
		r.AttemptEnded("app-2", &forwarding.LoadReport{Load: admission.Load{Limit: 4}}, 100*time.Millisecond, 100*time.Millisecond, true)
		lost(r)
		Expect(r.offers(books)).To(Equal([]string{"app-2"}))
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			lost(r)
			r.AttemptBegun("app-2")
			r.AttemptEnded("app-2", &forwarding.LoadReport{Load: admission.Load{Limit: 4}}, 100*time.Millisecond, 100*time.Millisecond, true)
			Expect(r.offers(books)).To(Equal([]string{"app-2"}))
			_, there := r.Candidate("app-2", books)
			Expect(there).To(BeTrue())
		}
	})

	simulation.It("given a peer that last answered a while ago, when every control machine calls it absent, then it goes", func(s *simulation.Simulation) {
		r := heard(s)
		r.AttemptBegun("app-2")
		r.AttemptEnded("app-2", &forwarding.LoadReport{Load: admission.Load{Limit: 4}}, 100*time.Millisecond, 100*time.Millisecond, true)
		time.Sleep(freshSlack + time.Millisecond)
		lost(r)
		Expect(r.offers(books)).To(BeEmpty())
	})

	simulation.It("given a peer that answered and then could not be reached, when every control machine calls it absent, then it goes at once", func(s *simulation.Simulation) {
		r := heard(s)
		r.AttemptBegun("app-2")
		r.AttemptEnded("app-2", &forwarding.LoadReport{Load: admission.Load{Limit: 4}}, 100*time.Millisecond, 100*time.Millisecond, true)
		r.MarkUnreachable("app-2")
		lost(r)
		Expect(r.offers(books)).To(BeEmpty())
	})

	simulation.It("given a peer that was never asked, when every control machine calls it absent, then it goes; while one still sees it, it stays", func(s *simulation.Simulation) {
		r := heard(s)
		r.ApplyObservations("core-1", false, observed(true))
		r.ApplyObservations("core-2", false, observed(true))
		Expect(r.offers(books)).To(Equal([]string{"app-2"}))
		r.ApplyObservations("core-3", false, observed(true))
		Expect(r.offers(books)).To(BeEmpty())
	})
})
