package listednode

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/bundle"
	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("repeats", func() {
	ginkgo.It("given any pattern of requests and repeats, when every window is checked, then none exceeds a fifth and the allowance", func() {
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
			spent, worst := 0, 0.0
			for from := range events {
				asked, repeats := 0.0, 0.0
				for _, repeat := range events[from:] {
					if repeat {
						repeats++
					} else {
						asked++
					}
					worst = max(worst, repeats-0.2*asked)
				}
				spent += int(repeats)
			}
			Expect(worst).To(BeNumerically("<=", 2+1e-9))
			Expect(spent).To(BeNumerically(">", 0))
		}
	})
})
