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
	books          = "books"
	observationTTL = 2400 * time.Millisecond
)

var threeControllers = []string{"core-1", "core-2", "core-3"}

func observations(absent bool) []*wire.Observation {
	return []*wire.Observation{{Absent: absent, NodeStatus: &wire.NodeStatus{
		Node: "app-2", Incarnation: "one", Number: 1, Inward: "10.9.1.2:7002", Zone: "a", Service: books,
		Instance: &wire.Instance{Id: "i-2", Service: books, Address: "10.9.1.2:8080", Zone: "a", Capacity: 4},
	}}}
}

func (t *Table) candidateNodes(service string) (names []string) {
	for _, each := range t.Candidates(service, 100*time.Millisecond, func(string) bool { return false }, random.Seeded(1)) {
		names = append(names, each.Node)
	}
	return names
}

var _ = ginkgo.Describe("a peer that the controllers report absent", func() {
	tableWithPeer := func(s *simulation.Simulation) *Table {
		table := NewTable(s.Clock, "app-1", observationTTL)
		for _, controller := range threeControllers {
			table.ApplyObservations(controller, true, observations(false))
		}
		time.Sleep(time.Second)
		return table
	}
	reportAbsent := func(table *Table) {
		for _, controller := range threeControllers {
			table.ApplyObservations(controller, false, observations(true))
		}
	}

	simulation.It("given a peer that still answers, when every controller reports it absent, then it stays a candidate", func(s *simulation.Simulation) {
		table := tableWithPeer(s)
		table.AttemptBegun("app-2")
		table.AttemptEnded("app-2", &forwarding.LoadReport{Load: admission.Load{Limit: 4}}, 100*time.Millisecond, 100*time.Millisecond, true)
		reportAbsent(table)
		Expect(table.candidateNodes(books)).To(Equal([]string{"app-2"}))
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			reportAbsent(table)
			table.AttemptBegun("app-2")
			table.AttemptEnded("app-2", &forwarding.LoadReport{Load: admission.Load{Limit: 4}}, 100*time.Millisecond, 100*time.Millisecond, true)
			Expect(table.candidateNodes(books)).To(Equal([]string{"app-2"}))
			_, there := table.Candidate("app-2", books)
			Expect(there).To(BeTrue())
		}
	})

	simulation.It("given a peer that has not answered within the observation TTL, when every controller reports it absent, then it is no candidate", func(s *simulation.Simulation) {
		table := tableWithPeer(s)
		table.AttemptBegun("app-2")
		table.AttemptEnded("app-2", &forwarding.LoadReport{Load: admission.Load{Limit: 4}}, 100*time.Millisecond, 100*time.Millisecond, true)
		time.Sleep(observationTTL + time.Millisecond)
		reportAbsent(table)
		Expect(table.candidateNodes(books)).To(BeEmpty())
	})

	simulation.It("given a peer that answered and then could not be reached, when every controller reports it absent, then it is no candidate at once", func(s *simulation.Simulation) {
		table := tableWithPeer(s)
		table.AttemptBegun("app-2")
		table.AttemptEnded("app-2", &forwarding.LoadReport{Load: admission.Load{Limit: 4}}, 100*time.Millisecond, 100*time.Millisecond, true)
		table.MarkUnreachable("app-2")
		reportAbsent(table)
		Expect(table.candidateNodes(books)).To(BeEmpty())
	})

	simulation.It("given a peer that got no attempt, when every controller reports it absent, then it is no candidate; while one reports it present, it stays", func(s *simulation.Simulation) {
		table := tableWithPeer(s)
		table.ApplyObservations("core-1", false, observations(true))
		table.ApplyObservations("core-2", false, observations(true))
		Expect(table.candidateNodes(books)).To(Equal([]string{"app-2"}))
		table.ApplyObservations("core-3", false, observations(true))
		Expect(table.candidateNodes(books)).To(BeEmpty())
	})
})
