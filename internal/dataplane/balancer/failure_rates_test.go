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

var _ = ginkgo.Describe("ills", func() {
	observations := func() (found []*wire.Observation) {
		for _, name := range []string{"a", "b"} {
			found = append(found, &wire.Observation{NodeStatus: &wire.NodeStatus{Node: name, Incarnation: "i", Number: 1, Inward: "10.0.0.1:1", Zone: "z", Service: "s", Instance: &wire.Instance{Id: "u-" + name, Service: "s", Address: "x", Capacity: 8}}})
		}
		return found
	}
	picks := func(r *Table) (first string) {
		options := r.Candidates("s", "z", 2, 100*time.Millisecond, func(string) bool { return false }, random.Seeded(1))
		gomega.Expect(options).To(gomega.HaveLen(2))
		return options[0].Node
	}
	ginkgo.It("given an upstream that fails a part of its requests, when others may serve, then they go first; when it was not heard for long, it is tried again", func() {
		clock := &simulation.ManualClock{Now: time.Hour}
		r := NewTable(clock, "self", time.Minute)
		r.ApplyObservations("keel", true, observations())
		r.AttemptBegun("a")
		r.AttemptEnded("a", &forwarding.LoadReport{Load: admission.Load{Limit: 8}, FailurePercent: 40}, 0, 0, false)
		gomega.Expect(picks(r)).To(gomega.Equal("b"))
		r.MarkUnreachable("b")
		gomega.Expect(picks(r)).To(gomega.Equal("a"), "the last one is never banned")
		clock.Now += time.Hour
		r.AttemptBegun("b")
		r.AttemptEnded("b", &forwarding.LoadReport{Load: admission.Load{Limit: 8, InFlight: 4}, FailurePercent: 5}, 0, 0, true)
		gomega.Expect(picks(r)).To(gomega.Equal("a"))
	})
	ginkgo.It("given a new upstream beside the same node, when its share is asked for, then the old one's failures are not held against it", func() {
		var i FailureRate
		for range 50 {
			i.Record("old", false)
		}
		gomega.Expect(i.Rate("old")).To(gomega.BeNumerically(">", 0.5))
		gomega.Expect(i.Rate("new")).To(gomega.BeZero())
	})
})
