package listedfleet

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
)

func raised(f *Fleet) {
	for _, m := range append(append([]*Machine{}, f.Keels...), f.Vanes...) {
		Expect(f.Raise(m)).To(Succeed())
	}
	for i, m := range f.Vanes {
		_, err := f.Seat(m, f.Shape.Services[i%len(f.Shape.Services)].Name, 8001, 16)
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(f.Until(10*time.Second, func() bool { return f.Ready(f.Keels) })).To(BeTrue(), "keels ready")
	outcome, err := f.Apply("first", &wire.DraftRequest{Bundle: f.Shape})
	Expect(err).NotTo(HaveOccurred())
	Expect(outcome.Verdict).To(Equal(wire.Verdict_TAKEN))
	Expect(f.Until(10*time.Second, func() bool { return f.Ready(f.Vanes) })).To(BeTrue(), "vanes ready")
	f.Pass(2 * time.Second)
}

var _ = ginkgo.Describe("the whole path", func() {
	story("given a signed bundle, when visitors call, then every answer is whole and odds are learned", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(60)
		f.Pass(5 * time.Second)
		outcome, err := f.Apply("second", &wire.DraftRequest{Base: 1, Change: &wire.Change{Shares: []*wire.Share{{Group: "librarians", Carried: 1, Watched: 3}}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Pass(5 * time.Second)
		f.Leave()
		calls := f.History.Calls()
		Expect(len(calls)).To(BeNumerically(">", 400))
		for _, call := range calls {
			Expect(call.Broken).To(BeEmpty())
			Expect(call.Status).To(Equal(200), call.Kind)
		}
		sound(f)
		odds, err := f.Clerk.Odds(f.Scope)
		Expect(err).NotTo(HaveOccurred())
		Expect(odds.Odds.Table["catalogue/report"]).To(BeNumerically(">", 0.9))
		Expect(odds.Odds.Table["catalogue/search"]).To(BeNumerically("<", 0.5))
	})
})
