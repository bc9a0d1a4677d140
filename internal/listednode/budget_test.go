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

var _ = ginkgo.Describe("close watching", func() {
	shares := func(weights ...float64) *bundle.Bundle {
		b := &wire.Bundle{Common: &wire.Common{Tracing: &wire.Tracing{Budget: 90}}}
		for i, weight := range weights {
			b.Common.Shares = append(b.Common.Shares, &wire.Share{Group: string(rune('a' + i)), Watched: weight})
		}
		return bundle.Index(nil, b)
	}
	play := func(budget *SpanBudget, clock *simnet.Clock, seconds int, asks map[string]int) (got map[string]int) {
		got = map[string]int{}
		for range seconds {
			for _, group := range []string{"a", "b", "c"} {
				for range asks[group] {
					if budget.Spend(group) {
						got[group]++
					}
				}
			}
			time.Sleep(time.Second)
		}
		return got
	}
	ginkgo.It("given groups that want all, some or nothing, when a second passes, then each keeps its part and what is left is lent", func() {
		synctest.Test(suite, func(*testing.T) {
			defer ginkgo.GinkgoRecover()
			clock := simnet.NewClock(time.Now())
			budget := NewSpanBudget(clock)
			budget.SetShares(shares(1, 1, 1))
			play(budget, clock, 2, map[string]int{"a": 200, "b": 200, "c": 200})
			all := play(budget, clock, 10, map[string]int{"a": 200, "b": 200, "c": 200})
			Expect(all).To(Equal(map[string]int{"a": 300, "b": 300, "c": 300}))
			play(budget, clock, 1, map[string]int{"a": 200, "b": 10})
			flood := play(budget, clock, 10, map[string]int{"a": 200, "b": 10})
			Expect(flood["b"]).To(Equal(100), "who asks little gets all of it")
			Expect(flood["a"]).To(Equal(800), "the flood gets its part, the rest of b's and all of c's")
			back := play(budget, clock, 10, map[string]int{"a": 200, "b": 10, "c": 200})
			Expect(back["c"]).To(BeNumerically(">=", 300), "a group that returns has its part at once")
			Expect(back["b"]).To(Equal(100))
		})
	})
})
