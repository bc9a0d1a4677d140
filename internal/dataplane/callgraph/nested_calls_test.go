package callgraph

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/random"
)

var _ = ginkgo.Describe("nested call detector", func() {
	const sufficientCalls = 160
	equalServices := map[string]int{"desk": 9, "ledger": 9}

	ginkgo.It("given a route that one of the zone's services never calls, when it has been called often enough, then its calls are nested", func() {
		detector := NewNestedCallDetector()
		nested := false
		for range sufficientCalls {
			nested = detector.RecordCall("licence", "desk", equalServices)
		}
		Expect(nested).To(BeTrue())
	})
	ginkgo.It("given two services of the same size, when a node has just started, then a nested route is detected after two dozen calls", func() {
		detector := NewNestedCallDetector()
		for range minCalls {
			Expect(detector.RecordCall("licence", "desk", equalServices)).To(BeFalse())
		}
		Expect(detector.RecordCall("licence", "desk", equalServices)).To(BeTrue())
	})
	ginkgo.It("given a service that runs on one in eleven nodes and calls in proportion, when a route is called, then it is hardly ever mistaken for a nested one", func() {
		nodes := map[string]int{"levels": 35, "registry": 26, "archive": 6}
		falsePositives, trials := 0, 400
		rand := random.Seeded(1)
		for range trials {
			detector := NewNestedCallDetector()
			for range sufficientCalls {
				caller := []string{"levels", "registry"}[rand.IntN(2)]
				if rand.Float64() < 6.0/67 {
					caller = "archive"
				}
				if detector.RecordCall("level", caller, nodes) {
					falsePositives++
					break
				}
			}
		}
		Expect(falsePositives).To(BeNumerically("<=", 2))
	})
	ginkgo.It("given a route that every service calls, when it has been called often, then its calls are not nested", func() {
		detector := NewNestedCallDetector()
		for i := range 2 * sufficientCalls {
			Expect(detector.RecordCall("search", []string{"desk", "ledger"}[i%2], equalServices)).To(BeFalse())
		}
	})
	ginkgo.It("given a zone with only one service, when it calls a route, then the calls are not nested", func() {
		detector := NewNestedCallDetector()
		for range sufficientCalls {
			Expect(detector.RecordCall("search", "ledger", map[string]int{"ledger": 9})).To(BeFalse())
		}
	})
})
