package listednode

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/membership"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("the choice of an instance", func() {
	ginkgo.It("given instances alike but for their distance, when one answers later, then it costs more by that alone, in whatever zone it is", func() {
		runInBubble(func(s base.Scope) {
			n := &Node{scope: s, zone: "near", stats: map[string]*candidateStats{}, routeLatencies: map[string]time.Duration{}}
			candidateIn := func(zone string) candidate {
				return candidate{node: zone, standing: membership.Alive, instance: &wire.Seat{Address: zone, Zone: zone, Capacity: 4}}
			}
			near, far := candidateIn("near"), candidateIn("far")
			answered := func(picked candidate, took time.Duration) {
				n.statsOf(picked).inFlight++
				n.recordOutcome(picked, &Attempt{State: Answered, EndedAt: took}, "catalogue/shelf")
			}
			Expect(n.score(near)).To(Equal(n.score(far)))
			for range 20 {
				answered(near, 10*time.Millisecond)
				answered(far, 10*time.Millisecond)
			}
			Expect(n.score(near)).To(Equal(n.score(far)))
			for range 20 {
				answered(near, 10*time.Millisecond)
				answered(far, 34*time.Millisecond)
			}
			Expect(n.score(far)).To(BeNumerically(">", 1.5*n.score(near)))
		})
	})
})
