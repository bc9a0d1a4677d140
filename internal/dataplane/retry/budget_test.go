package retry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"curlewreach/internal/testing/simulation"
)

var _ = ginkgo.Describe("the retry budget", func() {
	const nodes, window, ratio, slack = 12, 10 * time.Second, 0.2, 64.0

	ginkgo.It("given every node spends its whole retry budget, when the retries of any window are counted, then the fleet stays under half of the fleet's budget", func() {
		clock := &simulation.ManualClock{}
		var retryBudgets []*Budget
		for range nodes {
			retryBudgets = append(retryBudgets, NewBudget(clock, ratio, slack, window, func() int { return nodes }))
		}
		var requests, retries []time.Duration
		for step := range 6000 {
			clock.Now = time.Duration(step) * 10 * time.Millisecond
			for i, budget := range retryBudgets {
				if (step+i)%5 == 0 && step < 3000 || (step+i)%50 == 0 {
					budget.Earn("s")
					requests = append(requests, clock.Now)
				}
				for budget.Spend("s") {
					retries = append(retries, clock.Now)
				}
			}
		}
		countIn := func(events []time.Duration, from time.Duration) (n float64) {
			for _, event := range events {
				if event >= from && event < from+window {
					n++
				}
			}
			return n
		}
		for from := time.Duration(0); from < 50*time.Second; from += 500 * time.Millisecond {
			mostRequests := max(countIn(requests, from), countIn(requests, from-window/2), countIn(requests, from-window))
			gomega.Expect(countIn(retries, from)).To(gomega.BeNumerically("<=", (ratio*mostRequests+slack)/2), "from %s", from)
		}
	})
	ginkgo.It("given a retry that did not reach an upstream, when it is refunded, then it can be spent again", func() {
		budget := NewBudget(&simulation.ManualClock{}, ratio, slack, window, func() int { return nodes })
		gomega.Expect(budget.Spend("s")).To(gomega.BeTrue())
		gomega.Expect(budget.Spend("s")).To(gomega.BeFalse())
		budget.Refund("s")
		gomega.Expect(budget.Spend("s")).To(gomega.BeTrue())
	})
})
