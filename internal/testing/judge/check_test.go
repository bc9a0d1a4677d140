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

// manualClock is a clock that only the test advances.
type manualClock struct{ at time.Duration }

func (c *manualClock) Wall() time.Time     { return time.Unix(0, 0).Add(c.at) }
func (c *manualClock) Mono() time.Duration { return c.at }

// scenario is a history that a test fills, with the clock that gives its timestamps.
type scenario struct {
	*History
	clock *manualClock
}

func (s scenario) advance(d time.Duration) { s.clock.at += d }

// addRun records the arrival of a POST request with an ID of its own, as changed by change if that is not nil.
func (s scenario) addRun(change func(*Run)) {
	run := Run{ID: fmt.Sprint("r", len(s.runs)), Service: "lending", Address: "s1", Serial: 2, Method: "POST", Path: "/lending/hold/1"}
	if change != nil {
		change(&run)
	}
	s.RecordRun(run)
}

func (s scenario) addOutcome(submission string, verdict wire.Verdict, serial uint64) {
	s.RecordOutcome(&wire.Outcome{Submission: submission, Verdict: verdict, Serial: serial})
}

// sealedBundle returns a packed bundle whose services have an allowance of 2 and the routes hold (POST) and search (GET).
func sealedBundle(serial uint64, services ...string) *wire.Sealed {
	b := &wire.Bundle{Serial: serial, Base: serial - 1, Common: &wire.Common{}}
	for _, name := range services {
		b.Services = append(b.Services, &wire.Service{Name: name, Allowance: 2, Routes: []*wire.Route{{Name: "hold", Method: "POST", Path: "/" + name + "/hold/{n}"}, {Name: "search", Method: "GET", Path: "/" + name + "/search/{n}"}}})
	}
	sealed, err := bundle.Encode(b)
	Expect(err).NotTo(HaveOccurred())
	return sealed
}

// addSearches records the first arrivals of so many GET requests, then repeated arrivals of the first ones.
func (s scenario) addSearches(distinct, repeated int) {
	for i := range distinct {
		s.addRun(func(r *Run) { r.ID, r.Method, r.Path = fmt.Sprint("q", i), "GET", "/lending/search/1" })
	}
	for i := range repeated {
		s.addRun(func(r *Run) { r.ID, r.Method, r.Path = fmt.Sprint("q", i), "GET", "/lending/search/1" })
	}
}

// addCalls records count calls, one per interval. All after the first answered ones are reported as not run.
func (s scenario) addCalls(count, answered int, interval time.Duration) {
	for i := range count {
		call := Call{ID: fmt.Sprint("c", len(s.Calls())), Started: s.clock.at, Ended: s.clock.at + time.Millisecond}
		if i >= answered {
			call.Outcome = "not-run"
		}
		s.RecordCall(call)
		s.advance(interval)
	}
}

const (
	accepted = wire.Verdict_TAKEN
	rejected = wire.Verdict_BOUNCED
)

var _ = ginkgo.Describe("the checker", func() {
	ginkgo.DescribeTable("given a history, when checked, then a violation is reported by its rule only, and a near miss by none",
		func(rule string, broken bool, record func(scenario)) {
			clock := &manualClock{at: time.Second}
			s := scenario{NewHistory(clock), clock}
			record(s)
			for _, verdict := range Check(s.History, DefaultBounds()) {
				if verdict.Rule == rule {
					Expect(verdict.Checked).To(BeNumerically(">", 0), "a rule that checked nothing proves nothing")
					Expect(len(verdict.Violations) > 0).To(Equal(broken), verdict.String())
				} else {
					Expect(verdict.Violations).To(BeEmpty(), "only the rule under test is violated")
				}
			}
		},
		ginkgo.Entry("a POST request that ran twice", RunOnce, true, func(s scenario) {
			s.RecordSigned("first", sealedBundle(2, "lending"))
			s.addRun(func(r *Run) { r.ID = "x" })
			s.addRun(func(r *Run) { r.ID = "x" })
		}),
		ginkgo.Entry("a GET request that ran twice, within the bound on repeats", RunOnce, false, func(s scenario) {
			s.addRun(nil)
			s.addSearches(10, 1)
		}),
		ginkgo.Entry("a request reported as not run that ran an hour later", NotRun, true, func(s scenario) {
			s.RecordCall(Call{ID: "x", Outcome: "not-run"})
			s.advance(time.Hour)
			s.addRun(func(r *Run) { r.ID = "x" })
		}),
		ginkgo.Entry("a request reported as not run that didn't run, and one with unknown outcome that did", NotRun, false, func(s scenario) {
			s.RecordCall(Call{ID: "x", Outcome: "not-run"})
			s.RecordCall(Call{ID: "y", Outcome: "unknown"})
			s.addRun(func(r *Run) { r.ID = "y" })
		}),
		ginkgo.Entry("an answer to another request", WholeAnswers, true, func(s scenario) {
			s.RecordCall(Call{ID: "x", Broken: "not whole: someone else's answer"})
		}),
		ginkgo.Entry("an incomplete answer that the client noticed", WholeAnswers, false, func(s scenario) {
			s.RecordCall(Call{ID: "x", Broken: "torn: unexpected EOF"})
		}),
		ginkgo.Entry("a request at another service than that of its path", AllowedServices, true, func(s scenario) {
			s.addRun(func(r *Run) { r.Service = "catalogue" })
		}),
		ginkgo.Entry("a request to a service to which no bundle routes it", AllowedServices, true, func(s scenario) {
			s.RecordSigned("first", sealedBundle(2, "catalogue"))
			s.addRun(nil)
		}),
		ginkgo.Entry("a request to a service to which an older bundle routes it", AllowedServices, false, func(s scenario) {
			s.RecordSigned("first", sealedBundle(1, "lending"))
			s.RecordSigned("second", sealedBundle(2, "catalogue"))
			s.addRun(nil)
		}),
		ginkgo.Entry("a node that would serve under an older bundle although it gets no requests", InForce, true, func(s scenario) {
			s.addOutcome("s", accepted, 3)
			s.advance(2100 * time.Millisecond)
			s.RecordSample(Sample{At: s.Now(), Node: "n", Serial: 2, Ready: true})
		}),
		ginkgo.Entry("a node with an older bundle that is not ready while cut off", InForce, false, func(s scenario) {
			s.addOutcome("s", accepted, 3)
			s.advance(2100 * time.Millisecond)
			s.RecordSample(Sample{At: s.Now(), Node: "n", Serial: 2})
		}),
		ginkgo.Entry("a reachable node that is not ready after the ack", InForce, true, func(s scenario) {
			s.addOutcome("s", accepted, 3)
			s.advance(2100 * time.Millisecond)
			s.RecordSample(Sample{At: s.Now(), Node: "n", Serial: 2, Calm: true})
		}),
		ginkgo.Entry("a reachable node that is not ready while the next bundle rolls out", InForce, false, func(s scenario) {
			s.addOutcome("s", accepted, 3)
			s.advance(3 * time.Second)
			s.RecordSample(Sample{At: s.Now(), Node: "n", Serial: 3, Calm: true})
			s.advance(time.Millisecond)
			s.addOutcome("t", accepted, 4)
		}),
		ginkgo.Entry("a request under an older bundle just before the deadline", InForce, false, func(s scenario) {
			s.addOutcome("s", accepted, 3)
			s.advance(1900 * time.Millisecond)
			s.addRun(nil)
			s.advance(200 * time.Millisecond)
			s.addRun(func(r *Run) { r.Serial = 3 })
			s.addOutcome("u", wire.Verdict_UNKNOWN, 2)
		}),
		ginkgo.Entry("a request that arrives under an older bundle too late", NoRegression, true, func(s scenario) {
			s.addRun(nil)
			s.advance(260 * time.Millisecond)
			s.addRun(func(r *Run) { r.Serial = 1 })
		}),
		ginkgo.Entry("a request sent under an older bundle too late that never arrived", NoRegression, true, func(s scenario) {
			s.addRun(nil)
			s.advance(260 * time.Millisecond)
			s.RecordSent(Sent{At: s.Now(), Node: "n", Serial: 1})
		}),
		ginkgo.Entry("a node that would serve under an older bundle too late", NoRegression, true, func(s scenario) {
			s.addRun(nil)
			s.advance(260 * time.Millisecond)
			s.RecordSample(Sample{At: s.Now(), Node: "n", Serial: 1, Ready: true})
		}),
		ginkgo.Entry("a request that arrives under an older bundle in time", NoRegression, false, func(s scenario) {
			s.addRun(nil)
			s.advance(240 * time.Millisecond)
			s.addRun(func(r *Run) { r.Serial = 1 })
		}),
		ginkgo.Entry("two submissions acked with the same serial number", SingleAck, true, func(s scenario) {
			s.addOutcome("a", accepted, 2)
			s.addOutcome("b", accepted, 2)
		}),
		ginkgo.Entry("one submission acked twice", SingleAck, false, func(s scenario) {
			s.addOutcome("a", accepted, 2)
			s.addOutcome("a", accepted, 2)
			s.addOutcome("b", rejected, 0)
		}),
		ginkgo.Entry("a rejection followed by an ack", SingleAck, true, func(s scenario) {
			s.addOutcome("a", rejected, 0)
			s.addOutcome("a", accepted, 2)
		}),
		ginkgo.Entry("a rejected bundle held by a node", RejectedNotInForce, true, func(s scenario) {
			s.RecordSigned("a", sealedBundle(2, "lending"))
			s.addOutcome("a", rejected, 0)
			s.RecordSample(Sample{At: s.Now(), Node: "n", Serial: 2, Digest: bundle.Digest(sealedBundle(2, "lending"))})
		}),
		ginkgo.Entry("an accepted bundle held while another one was rejected", RejectedNotInForce, false, func(s scenario) {
			s.RecordSigned("a", sealedBundle(2, "lending"))
			s.RecordSigned("b", sealedBundle(2, "catalogue"))
			s.addOutcome("a", rejected, 0)
			s.addOutcome("b", accepted, 2)
			s.RecordSample(Sample{At: s.Now(), Node: "n", Serial: 2, Digest: bundle.Digest(sealedBundle(2, "catalogue"))})
		}),
		ginkgo.Entry("a serial number in force that was never acked", RejectedNotInForce, true, func(s scenario) {
			s.addOutcome("a", rejected, 0)
			s.addRun(nil)
		}),
		ginkgo.Entry("a request 2.1 s after leaving", LeavingUpstreams, true, func(s scenario) {
			left := s.Now()
			s.advance(2100 * time.Millisecond)
			s.addRun(func(r *Run) { r.Leaving, r.Left = true, left })
		}),
		ginkgo.Entry("a request 1.9 s after leaving", LeavingUpstreams, false, func(s scenario) {
			left := s.Now()
			s.advance(1900 * time.Millisecond)
			s.addRun(func(r *Run) { r.Leaving, r.Left = true, left })
		}),
		ginkgo.Entry("an answer truncated during a planned stop", PlannedStops, true, func(s scenario) {
			end := s.RecordDisturbance("n", "stop", true)
			s.advance(time.Second)
			s.RecordCall(Call{ID: "x", Started: s.Now() - 2*time.Second, Ended: s.Now(), Broken: "torn: unexpected EOF"})
			end()
		}),
		ginkgo.Entry("an unknown outcome during a reload", PlannedStops, true, func(s scenario) {
			s.RecordDisturbance("n", "reload", true)()
			s.RecordCall(Call{ID: "x", Started: s.Now() - time.Second, Ended: s.Now(), Outcome: "unknown", Kind: "lost"})
		}),
		ginkgo.Entry("a deadline that passed during a planned stop, and an answer truncated while a process was killed", PlannedStops, false, func(s scenario) {
			s.RecordDisturbance("n", "stop", true)()
			s.RecordCall(Call{ID: "x", Started: s.Now() - time.Second, Ended: s.Now(), Outcome: "unknown", Kind: "expired"})
			s.advance(time.Minute)
			s.RecordDisturbance("m", "stop", true)()
			s.RecordDisturbance("k", "killed", false)()
			s.RecordCall(Call{ID: "y", Started: s.Now() - time.Second, Ended: s.Now(), Broken: "torn: reset"})
		}),
		ginkgo.Entry("repeats above a fifth of the first requests plus the allowance", Repeats, true, func(s scenario) {
			s.RecordSigned("first", sealedBundle(2, "lending"))
			s.addSearches(50, 13)
		}),
		ginkgo.Entry("repeats of exactly a fifth of the first requests plus the allowance", Repeats, false, func(s scenario) {
			s.RecordSigned("first", sealedBundle(2, "lending"))
			s.addSearches(50, 12)
		}),
		ginkgo.Entry("the newest acked bundle read back with an additional byte", Durability, true, func(s scenario) {
			s.RecordSigned("a", sealedBundle(2, "lending"))
			s.addOutcome("a", accepted, 2)
			s.advance(time.Second)
			altered := sealedBundle(2, "lending")
			altered.Parts[0].Body = append(altered.Parts[0].Body, 0)
			s.RecordReadback("d", 2, altered, nil)
		}),
		ginkgo.Entry("a bundle read back that is older than the newest acked one", Durability, true, func(s scenario) {
			s.addOutcome("a", accepted, 2)
			s.advance(time.Second)
			s.RecordReadback("d", 1, sealedBundle(1, "lending"), nil)
		}),
		ginkgo.Entry("the newest acked bundle read back unaltered", Durability, false, func(s scenario) {
			s.RecordSigned("a", sealedBundle(2, "lending"))
			s.addOutcome("a", accepted, 2)
			s.advance(time.Second)
			s.RecordReadback("d", 2, sealedBundle(2, "lending"), nil)
		}),
		ginkgo.Entry("less than a quarter answered 16 s after the return", Recovery, true, func(s scenario) {
			s.RecordReturn()
			s.addCalls(160, 0, 100*time.Millisecond)
			s.addCalls(40, 9, 100*time.Millisecond)
		}),
		ginkgo.Entry("more than a quarter answered from the 15th second on", Recovery, false, func(s scenario) {
			s.RecordReturn()
			s.addCalls(140, 0, 100*time.Millisecond)
			for range 10 {
				s.addCalls(10, 4, 100*time.Millisecond)
			}
		}),
	)

	ginkgo.It("given an empty history, when checked, then every rule reports that it had nothing to check", func() {
		verdicts := Check(NewHistory(&manualClock{}), DefaultBounds())
		Expect(verdicts).To(HaveLen(13))
		for _, verdict := range verdicts {
			Expect(verdict.String()).To(ContainSubstring("nothing to judge"))
			Expect(Vacuous(verdicts, verdict.Rule)).To(ConsistOf(verdict.Rule))
		}
	})
})
