package retry

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"curlewreach/internal/testing/simulation"
)

var _ = ginkgo.Describe("the retry budget", func() {
	const nodes, window, ratio, slack = 12, 10 * time.Second, 0.2, 64.0

	ginkgo.It("given every node repeats whatever its retry budget pays, when any window is counted, then the fleet stays under half of the budget", func() {
		clock := &simulation.ManualClock{}
		var retryBudgets []*Budget
		for range nodes {
			retryBudgets = append(retryBudgets, NewBudget(clock, ratio, slack, window, func() int { return nodes }))
		}
		var asked, repeats []time.Duration
		for step := range 6000 {
			clock.Now = time.Duration(step) * 10 * time.Millisecond
			for i, p := range retryBudgets {
				if (step+i)%5 == 0 && step < 3000 || (step+i)%50 == 0 {
					p.Earn("s")
					asked = append(asked, clock.Now)
				}
				for p.Spend("s") {
					repeats = append(repeats, clock.Now)
				}
			}
		}
		in := func(events []time.Duration, from time.Duration) (n float64) {
			for _, at := range events {
				if at >= from && at < from+window {
					n++
				}
			}
			return n
		}
		for from := time.Duration(0); from < 50*time.Second; from += 500 * time.Millisecond {
			owed := max(in(asked, from), in(asked, from-window/2), in(asked, from-window))
			gomega.Expect(in(repeats, from)).To(gomega.BeNumerically("<=", (ratio*owed+slack)/2), "from %s", from)
		}
	})
	ginkgo.It("given a repeat that never arrived, when it is refunded, then it can be spent again", func() {
		p := NewBudget(&simulation.ManualClock{}, ratio, slack, window, func() int { return nodes })
		gomega.Expect(p.Spend("s")).To(gomega.BeTrue())
		gomega.Expect(p.Spend("s")).To(gomega.BeFalse())
		p.Refund("s")
		gomega.Expect(p.Spend("s")).To(gomega.BeTrue())
	})
})
