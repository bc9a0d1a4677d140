package listednode

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/bundle"
	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("the retry budget", func() {
	ginkgo.It("given random first attempts and retries, when every window is checked, then retries never exceed a fifth of the first attempts by more than the node's allowance", func() {
		signed := bundle.Index(nil, &wire.Bundle{
			Common:   &wire.Common{Machines: []*wire.Machine{{Name: "a"}, {Name: "b"}}},
			Services: []*wire.Service{{Name: "s", Repeats: 0.2, Allowance: 4}},
		})
		for seed := range uint64(20) {
			rand := random.Seeded(seed)
			retryBudget := NewRetryBudget()
			retryBudget.SetLimits(signed)
			var events []bool
			for range 2000 {
				if rand.Float64() < 0.5 {
					retryBudget.Earn("s")
					events = append(events, false)
				} else if retryBudget.Spend("s") {
					events = append(events, true)
				}
			}
			spent, maxExcess := 0, 0.0
			for from := range events {
				requests, retries := 0.0, 0.0
				for _, isRetry := range events[from:] {
					if isRetry {
						retries++
					} else {
						requests++
					}
					maxExcess = max(maxExcess, retries-0.2*requests)
				}
				spent += int(retries)
			}
			Expect(maxExcess).To(BeNumerically("<=", 2+1e-9))
			Expect(spent).To(BeNumerically(">", 0))
		}
	})
})
