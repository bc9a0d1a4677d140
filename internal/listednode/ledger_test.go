package listednode

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("the ledger", func() {
	ginkgo.DescribeTable("given attempts, when the next step is requested, then it follows from their states",
		func(repeatable bool, expected Decision, states ...State) {
			ledger := &Ledger{Match: bundle.RouteMatch{Route: &wire.Route{Repeatable: repeatable}, Service: &wire.Service{}}, Deadline: time.Second}
			for _, state := range states {
				ledger.Add(&Attempt{State: state, Fault: &base.Fault{Kind: base.ResponseLost}})
			}
			Expect(ledger.Next(0)).To(Equal(expected))
		},
		ginkgo.Entry("first", false, Try),
		ginkgo.Entry("answered", false, Relay, Answered),
		ginkgo.Entry("not run", false, Try, NotRun),
		ginkgo.Entry("indeterminate and not repeatable", false, GiveUp, Indeterminate),
		ginkgo.Entry("indeterminate, then not run", false, GiveUp, Indeterminate, NotRun),
		ginkgo.Entry("indeterminate and repeatable", true, Try, Indeterminate),
		ginkgo.Entry("the limit of attempts", true, GiveUp, NotRun, NotRun, NotRun, NotRun),
	)
	ginkgo.It("given that the deadline has passed, when the next step is requested, then it gives up, and an indeterminate attempt is not reported as not run", func() {
		ledger := &Ledger{Match: bundle.RouteMatch{Route: &wire.Route{Repeatable: true}, Service: &wire.Service{}}, Deadline: time.Second}
		ledger.Add(&Attempt{State: Indeterminate, Fault: &base.Fault{Kind: base.ResponseLost}})
		ledger.Add(&Attempt{State: NotRun, Fault: &base.Fault{Kind: base.NoInstance}})
		Expect(ledger.Next(time.Second)).To(Equal(GiveUp))
		Expect(ledger.FinalFault(time.Second).MayHaveRun).To(BeTrue())
	})
})
