package judge

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/bundle"
	"curlewreach/proto/wire"
)

func TestJudge(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "judge")
}

type still struct{ at time.Duration }

func (c *still) Wall() time.Time     { return time.Unix(0, 0).Add(c.at) }
func (c *still) Mono() time.Duration { return c.at }

type planting struct {
	*History
	clock *still
}

func (p planting) pass(d time.Duration) { p.clock.at += d }

func (p planting) ran(change func(*Run)) {
	run := Run{ID: fmt.Sprint("r", len(p.runs)), Service: "lending", Address: "s1", Serial: 2, Method: "POST", Path: "/lending/hold/1"}
	if change != nil {
		change(&run)
	}
	p.RecordRun(run)
}

func (p planting) acked(submission string, verdict wire.Verdict, serial uint64) {
	p.RecordOutcome(&wire.Outcome{Submission: submission, Verdict: verdict, Serial: serial})
}

func packed(serial uint64, services ...string) *wire.Sealed {
	b := &wire.Bundle{Serial: serial, Base: serial - 1, Common: &wire.Common{}}
	for _, name := range services {
		b.Services = append(b.Services, &wire.Service{Name: name, Allowance: 2, Routes: []*wire.Route{{Name: "hold", Method: "POST", Path: "/" + name + "/hold/{n}"}, {Name: "search", Method: "GET", Path: "/" + name + "/search/{n}"}}})
	}
	sealed, err := bundle.Encode(b)
	Expect(err).NotTo(HaveOccurred())
	return sealed
}

func (p planting) crowd(first, again int) {
	for i := range first {
		p.ran(func(r *Run) { r.ID, r.Method, r.Path = fmt.Sprint("q", i), "GET", "/lending/search/1" })
	}
	for i := range again {
		p.ran(func(r *Run) { r.ID, r.Method, r.Path = fmt.Sprint("q", i), "GET", "/lending/search/1" })
	}
}

func (p planting) calls(count, answered int, every time.Duration) {
	for i := range count {
		call := Call{ID: fmt.Sprint("c", len(p.Calls())), Started: p.clock.at, Ended: p.clock.at + time.Millisecond}
		if i >= answered {
			call.Outcome = "not-run"
		}
		p.RecordCall(call)
		p.pass(every)
	}
}

const (
	taken    = wire.Verdict_TAKEN
	rejected = wire.Verdict_BOUNCED
)

var _ = ginkgo.Describe("the checker", func() {
	ginkgo.DescribeTable("given a history, when checked, then planted violations are found under their rule and near misses are not",
		func(rule string, broken bool, plant func(planting)) {
			clock := &still{at: time.Second}
			p := planting{NewHistory(clock), clock}
			plant(p)
			for _, verdict := range Check(p.History, DefaultBounds()) {
				if verdict.Rule == rule {
					Expect(verdict.Checked).To(BeNumerically(">", 0), "a rule that judged nothing proves nothing")
					Expect(len(verdict.Violations) > 0).To(Equal(broken), verdict.String())
				} else {
					Expect(verdict.Violations).To(BeEmpty(), "only the planted rule is broken")
				}
			}
		},
		ginkgo.Entry("a hold that ran twice", RunOnce, true, func(p planting) {
			p.RecordSigned("first", packed(2, "lending"))
			p.ran(func(r *Run) { r.ID = "x" })
			p.ran(func(r *Run) { r.ID = "x" })
		}),
		ginkgo.Entry("a search that ran twice, well paid for", RunOnce, false, func(p planting) {
			p.ran(nil)
			p.crowd(10, 1)
		}),
		ginkgo.Entry("a not-run that ran an hour later", NotRun, true, func(p planting) {
			p.RecordCall(Call{ID: "x", Outcome: "not-run"})
			p.pass(time.Hour)
			p.ran(func(r *Run) { r.ID = "x" })
		}),
		ginkgo.Entry("a not-run that didn't, beside an unknown that did", NotRun, false, func(p planting) {
			p.RecordCall(Call{ID: "x", Outcome: "not-run"})
			p.RecordCall(Call{ID: "y", Outcome: "unknown"})
			p.ran(func(r *Run) { r.ID = "y" })
		}),
		ginkgo.Entry("an answer meant for someone else", WholeAnswers, true, func(p planting) {
			p.RecordCall(Call{ID: "x", Broken: "not whole: someone else's answer"})
		}),
		ginkgo.Entry("an answer torn in sight of the visitor", WholeAnswers, false, func(p planting) {
			p.RecordCall(Call{ID: "x", Broken: "torn: unexpected EOF"})
		}),
		ginkgo.Entry("a request at another service", AllowedServices, true, func(p planting) {
			p.ran(func(r *Run) { r.Service = "catalogue" })
		}),
		ginkgo.Entry("a request to a service that no bundle names", AllowedServices, true, func(p planting) {
			p.RecordSigned("first", packed(2, "catalogue"))
			p.ran(nil)
		}),
		ginkgo.Entry("a request to a service that an older bundle names", AllowedServices, false, func(p planting) {
			p.RecordSigned("first", packed(1, "lending"))
			p.RecordSigned("second", packed(2, "catalogue"))
			p.ran(nil)
		}),
		ginkgo.Entry("a node that would serve the older though nobody asks it", InForce, true, func(p planting) {
			p.acked("s", taken, 3)
			p.pass(2100 * time.Millisecond)
			p.RecordSample(Sample{At: p.Now(), Node: "n", Serial: 2, Ready: true})
		}),
		ginkgo.Entry("a node that has the older, but serves nothing while cut off", InForce, false, func(p planting) {
			p.acked("s", taken, 3)
			p.pass(2100 * time.Millisecond)
			p.RecordSample(Sample{At: p.Now(), Node: "n", Serial: 2})
		}),
		ginkgo.Entry("a node in reach that serves nothing after the ack", InForce, true, func(p planting) {
			p.acked("s", taken, 3)
			p.pass(2100 * time.Millisecond)
			p.RecordSample(Sample{At: p.Now(), Node: "n", Serial: 2, Calm: true})
		}),
		ginkgo.Entry("a node in reach that serves nothing for a moment while the next bundle rolls out", InForce, false, func(p planting) {
			p.acked("s", taken, 3)
			p.pass(3 * time.Second)
			p.RecordSample(Sample{At: p.Now(), Node: "n", Serial: 3, Calm: true})
			p.pass(time.Millisecond)
			p.acked("t", taken, 4)
		}),
		ginkgo.Entry("a request under the older at the last moment", InForce, false, func(p planting) {
			p.acked("s", taken, 3)
			p.pass(1900 * time.Millisecond)
			p.ran(nil)
			p.pass(200 * time.Millisecond)
			p.ran(func(r *Run) { r.Serial = 3 })
			p.acked("u", wire.Verdict_UNKNOWN, 2)
		}),
		ginkgo.Entry("an arrival under the older late", NoRegression, true, func(p planting) {
			p.ran(nil)
			p.pass(260 * time.Millisecond)
			p.ran(func(r *Run) { r.Serial = 1 })
		}),
		ginkgo.Entry("a node that sent under the older late, though it never arrived", NoRegression, true, func(p planting) {
			p.ran(nil)
			p.pass(260 * time.Millisecond)
			p.RecordSent(Sent{At: p.Now(), Node: "n", Serial: 1})
		}),
		ginkgo.Entry("a node that would serve the older late", NoRegression, true, func(p planting) {
			p.ran(nil)
			p.pass(260 * time.Millisecond)
			p.RecordSample(Sample{At: p.Now(), Node: "n", Serial: 1, Ready: true})
		}),
		ginkgo.Entry("an arrival under the older in time", NoRegression, false, func(p planting) {
			p.ran(nil)
			p.pass(240 * time.Millisecond)
			p.ran(func(r *Run) { r.Serial = 1 })
		}),
		ginkgo.Entry("two operators both acked on one base", SingleAck, true, func(p planting) {
			p.acked("a", taken, 2)
			p.acked("b", taken, 2)
		}),
		ginkgo.Entry("one operator told twice", SingleAck, false, func(p planting) {
			p.acked("a", taken, 2)
			p.acked("a", taken, 2)
			p.acked("b", rejected, 0)
		}),
		ginkgo.Entry("a bounce that turns into an ack", SingleAck, true, func(p planting) {
			p.acked("a", rejected, 0)
			p.acked("a", taken, 2)
		}),
		ginkgo.Entry("a bounced bundle held by a node", RejectedNotInForce, true, func(p planting) {
			p.RecordSigned("a", packed(2, "lending"))
			p.acked("a", rejected, 0)
			p.RecordSample(Sample{At: p.Now(), Node: "n", Serial: 2, Digest: bundle.Digest(packed(2, "lending"))})
		}),
		ginkgo.Entry("the winner held beside a bounced one", RejectedNotInForce, false, func(p planting) {
			p.RecordSigned("a", packed(2, "lending"))
			p.RecordSigned("b", packed(2, "catalogue"))
			p.acked("a", rejected, 0)
			p.acked("b", taken, 2)
			p.RecordSample(Sample{At: p.Now(), Node: "n", Serial: 2, Digest: bundle.Digest(packed(2, "catalogue"))})
		}),
		ginkgo.Entry("a serial in force that nobody acked", RejectedNotInForce, true, func(p planting) {
			p.acked("a", rejected, 0)
			p.ran(nil)
		}),
		ginkgo.Entry("a request 2.1 s after leaving", LeavingUpstreams, true, func(p planting) {
			left := p.Now()
			p.pass(2100 * time.Millisecond)
			p.ran(func(r *Run) { r.Leaving, r.Left = true, left })
		}),
		ginkgo.Entry("a request 1.9 s after leaving", LeavingUpstreams, false, func(p planting) {
			left := p.Now()
			p.pass(1900 * time.Millisecond)
			p.ran(func(r *Run) { r.Leaving, r.Left = true, left })
		}),
		ginkgo.Entry("an answer torn in a planned stop", PlannedStops, true, func(p planting) {
			end := p.RecordDisturbance("n", "stop", true)
			p.pass(time.Second)
			p.RecordCall(Call{ID: "x", Started: p.Now() - 2*time.Second, Ended: p.Now(), Broken: "torn: unexpected EOF"})
			end()
		}),
		ginkgo.Entry("an unknown outcome in a reload", PlannedStops, true, func(p planting) {
			p.RecordDisturbance("n", "reload", true)()
			p.RecordCall(Call{ID: "x", Started: p.Now() - time.Second, Ended: p.Now(), Outcome: "unknown", Kind: "lost"})
		}),
		ginkgo.Entry("a deadline that passed in a planned stop, and an answer torn by a kill", PlannedStops, false, func(p planting) {
			p.RecordDisturbance("n", "stop", true)()
			p.RecordCall(Call{ID: "x", Started: p.Now() - time.Second, Ended: p.Now(), Outcome: "unknown", Kind: "expired"})
			p.pass(time.Minute)
			p.RecordDisturbance("m", "stop", true)()
			p.RecordDisturbance("k", "killed", false)()
			p.RecordCall(Call{ID: "y", Started: p.Now() - time.Second, Ended: p.Now(), Broken: "torn: reset"})
		}),
		ginkgo.Entry("repeats over a fifth of first requests and the allowance", Repeats, true, func(p planting) {
			p.RecordSigned("first", packed(2, "lending"))
			p.crowd(50, 13)
		}),
		ginkgo.Entry("repeats at a fifth of first requests and the allowance", Repeats, false, func(p planting) {
			p.RecordSigned("first", packed(2, "lending"))
			p.crowd(50, 12)
		}),
		ginkgo.Entry("a newest acked bundle read back with another byte", Durability, true, func(p planting) {
			p.RecordSigned("a", packed(2, "lending"))
			p.acked("a", taken, 2)
			p.pass(time.Second)
			spoilt := packed(2, "lending")
			spoilt.Parts[0].Body = append(spoilt.Parts[0].Body, 0)
			p.RecordReadback("d", 2, spoilt, nil)
		}),
		ginkgo.Entry("an older bundle read back", Durability, true, func(p planting) {
			p.acked("a", taken, 2)
			p.pass(time.Second)
			p.RecordReadback("d", 1, packed(1, "lending"), nil)
		}),
		ginkgo.Entry("the newest acked bundle read back whole", Durability, false, func(p planting) {
			p.RecordSigned("a", packed(2, "lending"))
			p.acked("a", taken, 2)
			p.pass(time.Second)
			p.RecordReadback("d", 2, packed(2, "lending"), nil)
		}),
		ginkgo.Entry("under a quarter 16 s after the return", Recovery, true, func(p planting) {
			p.RecordReturn()
			p.calls(160, 0, 100*time.Millisecond)
			p.calls(40, 9, 100*time.Millisecond)
		}),
		ginkgo.Entry("a quarter from the 15th second on", Recovery, false, func(p planting) {
			p.RecordReturn()
			p.calls(140, 0, 100*time.Millisecond)
			for range 10 {
				p.calls(10, 4, 100*time.Millisecond)
			}
		}),
	)

	ginkgo.It("given nothing, when checked, then every rule says that it saw nothing to judge", func() {
		verdicts := Check(NewHistory(&still{}), DefaultBounds())
		Expect(verdicts).To(HaveLen(13))
		for _, verdict := range verdicts {
			Expect(verdict.String()).To(ContainSubstring("nothing to judge"))
			Expect(Vacuous(verdicts, verdict.Rule)).To(ConsistOf(verdict.Rule))
		}
	})
})
