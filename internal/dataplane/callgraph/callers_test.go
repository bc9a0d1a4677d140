package callgraph

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/random"
)

var _ = ginkgo.Describe("callers", func() {
	const many = 160
	alike := map[string]int{"desk": 9, "ledger": 9}

	ginkgo.It("given a route that one of the zone's services never calls, when enough calls came, then it is a further call's", func() {
		c := NewNestedCallDetector()
		further := false
		for range many {
			further = c.RecordCall("licence", "desk", alike)
		}
		Expect(further).To(BeTrue())
	})
	ginkgo.It("given two services of one size, when a node has just started, then a further call's route is known after two dozen calls", func() {
		c := NewNestedCallDetector()
		for range fewestCalls {
			Expect(c.RecordCall("licence", "desk", alike)).To(BeFalse())
		}
		Expect(c.RecordCall("licence", "desk", alike)).To(BeTrue())
	})
	ginkgo.It("given a service with one node in eleven, when it has not called yet, then nothing is concluded from as many calls as chance explains", func() {
		nodes := map[string]int{"levels": 35, "registry": 26, "archive": 6}
		mistaken, nodesOfAll := 0, 400
		rand := random.Seeded(1)
		for range nodesOfAll {
			c := NewNestedCallDetector()
			for range many {
				caller := []string{"levels", "registry"}[rand.IntN(2)]
				if rand.Float64() < 6.0/67 {
					caller = "archive"
				}
				if c.RecordCall("level", caller, nodes) {
					mistaken++
					break
				}
			}
		}
		Expect(mistaken).To(BeNumerically("<=", 2))
	})
	ginkgo.It("given a route that every service calls, when enough calls came, then it is the clients'", func() {
		c := NewNestedCallDetector()
		for i := range 2 * many {
			Expect(c.RecordCall("search", []string{"desk", "ledger"}[i%2], alike)).To(BeFalse())
		}
	})
	ginkgo.It("given a zone without the other service, when only this one calls, then nothing is concluded", func() {
		c := NewNestedCallDetector()
		for range many {
			Expect(c.RecordCall("search", "ledger", map[string]int{"ledger": 9})).To(BeFalse())
		}
	})
})
