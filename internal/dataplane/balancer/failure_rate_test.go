package balancer

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"curlewreach/internal/dataplane/admission"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/random"
	"curlewreach/internal/testing/simulation"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("failure rates", func() {
	reports := func() (found []*wire.Observation) {
		for _, name := range []string{"a", "b"} {
			found = append(found, &wire.Observation{NodeStatus: &wire.NodeStatus{Node: name, Incarnation: "i", Number: 1, Inward: "10.0.0.1:1", Zone: "z", Service: "s", Instance: &wire.Instance{Id: "u-" + name, Service: "s", Address: "x", Capacity: 8}}})
		}
		return found
	}
	best := func(table *Table) (first string) {
		candidates := table.Candidates("s", 100*time.Millisecond, func(string) bool { return false }, random.Seeded(1))
		gomega.Expect(candidates).To(gomega.HaveLen(2))
		return candidates[0].Node
	}
	ginkgo.It("given an upstream that fails some requests, when another one may serve, then the other one is preferred; after a long time without load reports, the failing one is preferred again", func() {
		clock := &simulation.ManualClock{Now: time.Hour}
		table := NewTable(clock, "self", time.Minute)
		table.ApplyObservations("core-1", true, reports())
		table.AttemptBegun("a")
		table.AttemptEnded("a", &forwarding.LoadReport{Load: admission.Load{Limit: 8}, FailurePercent: 40}, 0, 0, false)
		gomega.Expect(best(table)).To(gomega.Equal("b"))
		table.MarkUnreachable("b")
		gomega.Expect(best(table)).To(gomega.Equal("a"), "the failing upstream is still used when the other one is unreachable")
		clock.Now += time.Hour
		table.AttemptBegun("b")
		table.AttemptEnded("b", &forwarding.LoadReport{Load: admission.Load{Limit: 8, InFlight: 4}, FailurePercent: 5}, 0, 0, true)
		gomega.Expect(best(table)).To(gomega.Equal("a"))
	})
	ginkgo.It("given a new instance at the same node, when its failure rate is read, then the failures of the old instance do not count", func() {
		var rate FailureRate
		for range 50 {
			rate.Record("old", false)
		}
		gomega.Expect(rate.Rate("old")).To(gomega.BeNumerically(">", 0.5))
		gomega.Expect(rate.Rate("new")).To(gomega.BeZero())
	})
})
