package listedfleet

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
)

// startAll starts all machines with an upstream beside each node, applies the initial bundle and waits until all are
// ready.
func startAll(f *Fleet) {
	for _, m := range append(append([]*Machine{}, f.Controllers...), f.Nodes...) {
		Expect(f.StartProcess(m)).To(Succeed())
	}
	for i, m := range f.Nodes {
		_, err := f.StartUpstream(m, f.InitialBundle.Services[i%len(f.InitialBundle.Services)].Name, 8001, 16)
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(f.WaitUntil(10*time.Second, func() bool { return f.Ready(f.Controllers) })).To(BeTrue(), "controllers ready")
	outcome, err := f.Apply("first", &wire.DraftRequest{Bundle: f.InitialBundle})
	Expect(err).NotTo(HaveOccurred())
	Expect(outcome.Verdict).To(Equal(wire.Verdict_TAKEN))
	Expect(f.WaitUntil(10*time.Second, func() bool { return f.Ready(f.Nodes) })).To(BeTrue(), "nodes ready")
	f.Sleep(2 * time.Second)
}

var _ = ginkgo.Describe("the request path", func() {
	scenario("given a signed bundle, when clients make requests, then every answer is complete and recording probabilities are learned", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		f.Sleep(5 * time.Second)
		outcome, err := f.Apply("second", &wire.DraftRequest{Base: 1, Change: &wire.Change{Shares: []*wire.Share{{Group: "librarians", Carried: 1, Watched: 3}}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(outcome.Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Sleep(5 * time.Second)
		f.StopLoad()
		calls := f.History.Calls()
		Expect(len(calls)).To(BeNumerically(">", 400))
		for _, call := range calls {
			Expect(call.Broken).To(BeEmpty())
			Expect(call.Status).To(Equal(200), call.Kind)
		}
		expectNoViolations(f)
		learned, err := f.OperatorClient.Odds(f.Scope)
		Expect(err).NotTo(HaveOccurred())
		Expect(learned.Odds.Table["catalogue/report"]).To(BeNumerically(">", 0.9))
		Expect(learned.Odds.Table["catalogue/search"]).To(BeNumerically("<", 0.5))
	})
})
