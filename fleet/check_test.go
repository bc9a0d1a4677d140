package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/fleet/rig"
	"curlewreach/mime"
	"curlewreach/proto/wire"
)

type planted struct {
	run  *mime.Run
	call *mime.Call
	ack  *wire.Outcome
	wait time.Duration
}

var _ = ginkgo.Describe("the checker", func() {
	good := mime.Run{ID: "a", Service: "lending", Seat: "s1", Serial: 2, Method: "POST", Path: "/lending/hold/1"}
	with := func(change func(*mime.Run)) *mime.Run {
		run := good
		change(&run)
		return &run
	}
	ginkgo.DescribeTable("given a planted violation, when checked, then it is found",
		func(expected string, events ...planted) {
			synctest.Test(suite, func(*testing.T) {
				defer ginkgo.GinkgoRecover()
				clock := rig.NewClock(time.Now())
				history, acks := mime.NewHistory(clock), &Acks{}
				for _, event := range events {
					time.Sleep(event.wait)
					if event.run != nil {
						history.Ran(*event.run)
					}
					if event.call != nil {
						history.Called(*event.call)
					}
					if event.ack != nil {
						acks.Note(clock.Mono(), event.ack)
					}
				}
				found := Check(history, acks)
				if expected == "" {
					Expect(found).To(BeEmpty())
					return
				}
				Expect(found).To(ContainElement(ContainSubstring(expected)))
			})
		},
		ginkgo.Entry("nothing wrong", "", planted{run: &good}, planted{call: &mime.Call{ID: "a", Status: 200}}),
		ginkgo.Entry("a loan that ran twice", "ran twice", planted{run: &good}, planted{run: &good}),
		ginkgo.Entry("a not-run that ran", "promised not run", planted{call: &mime.Call{ID: "a", Outcome: "not-run"}}, planted{run: &good, wait: time.Hour}),
		ginkgo.Entry("a torn answer", "not whole", planted{call: &mime.Call{ID: "a", Broken: "not whole: digest"}}),
		ginkgo.Entry("another service", "another service", planted{run: with(func(r *mime.Run) { r.Service = "catalogue" })}),
		ginkgo.Entry("an older serial late", "slid back", planted{run: &good}, planted{run: with(func(r *mime.Run) { r.ID, r.Serial = "b", 1 }), wait: 260 * time.Millisecond}),
		ginkgo.Entry("an older serial in time", "", planted{run: &good}, planted{run: with(func(r *mime.Run) { r.ID, r.Serial = "b", 1 }), wait: 240 * time.Millisecond}),
		ginkgo.Entry("an acked bundle not in force", "late in force", planted{ack: &wire.Outcome{Verdict: wire.Verdict_TAKEN, Serial: 3}}, planted{run: &good, wait: 2100 * time.Millisecond}),
		ginkgo.Entry("an upstream asked after it left", "after leaving", planted{run: with(func(r *mime.Run) { r.Leaving = true }), wait: 2100 * time.Millisecond}),
		ginkgo.Entry("repeats over the bound", "repeats", planted{run: with(func(r *mime.Run) { r.Method = "GET" })}, planted{run: with(func(r *mime.Run) { r.Method, r.Repeats = "GET", 40 })}),
		ginkgo.Entry("a bounced serial in force", "no ack", planted{ack: &wire.Outcome{Verdict: wire.Verdict_TAKEN, Serial: 2}}, planted{run: with(func(r *mime.Run) { r.Serial = 3 })}),
	)
})
