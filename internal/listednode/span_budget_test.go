package listednode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/bundle"
	"curlewreach/internal/testing/simnet"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("the span budget", func() {
	shares := func(weights ...float64) *bundle.Bundle {
		b := &wire.Bundle{Common: &wire.Common{Tracing: &wire.Tracing{Budget: 90}}}
		for i, weight := range weights {
			b.Common.Shares = append(b.Common.Shares, &wire.Share{Group: string(rune('a' + i)), Watched: weight})
		}
		return bundle.Index(nil, b)
	}
	spendFor := func(budget *SpanBudget, clock *simnet.Clock, seconds int, requests map[string]int) (granted map[string]int) {
		granted = map[string]int{}
		for range seconds {
			for _, group := range []string{"a", "b", "c"} {
				for range requests[group] {
					if budget.Spend(group) {
						granted[group]++
					}
				}
			}
			time.Sleep(time.Second)
		}
		return granted
	}
	ginkgo.It("given groups that use all, some or none of their budgets, when a second has passed, then each keeps its share and the unused rest is available to all", func() {
		synctest.Test(suite, func(*testing.T) {
			defer ginkgo.GinkgoRecover()
			clock := simnet.NewClock(time.Now())
			budget := NewSpanBudget(clock)
			budget.SetShares(shares(1, 1, 1))
			spendFor(budget, clock, 2, map[string]int{"a": 200, "b": 200, "c": 200})
			allFull := spendFor(budget, clock, 10, map[string]int{"a": 200, "b": 200, "c": 200})
			Expect(allFull).To(Equal(map[string]int{"a": 300, "b": 300, "c": 300}))
			spendFor(budget, clock, 1, map[string]int{"a": 200, "b": 10})
			partial := spendFor(budget, clock, 10, map[string]int{"a": 200, "b": 10})
			Expect(partial["b"]).To(Equal(100), "a group below its share gets all that it requests")
			Expect(partial["a"]).To(Equal(800), "the overloading group gets its share, the rest of b's and all of c's")
			returned := spendFor(budget, clock, 10, map[string]int{"a": 200, "b": 10, "c": 200})
			Expect(returned["c"]).To(BeNumerically(">=", 300), "a group that becomes active again has its share at once")
			Expect(returned["b"]).To(Equal(100))
		})
	})
})
