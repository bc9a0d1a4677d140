package openfleet

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/testing/judge"
	"curlewreach/proto/wire"
)

// fixedClock is a clock whose times never change.
type fixedClock struct{}

func (fixedClock) Wall() time.Time     { return time.Time{} }
func (fixedClock) Mono() time.Duration { return time.Minute }

const second = time.Second

// newTestHistory returns a History with two accepted configurations: serial 3 routes /a/ and /b/ to service "s", serial
// 5, acknowledged at 21 s, routes /a/ to service "t" only.
func newTestHistory() *History {
	h := NewHistory(fixedClock{})
	h.proposals = []*Proposal{
		{Configuration: &wire.Configuration{Serial: 3, Routes: []*wire.ConfigurationRoute{{Name: "a", Host: "h", Prefix: "/a/", Service: stringPtr("s")}, {Name: "b", Host: "h", Prefix: "/b/", Service: stringPtr("s")}}, Services: []*wire.ConfigurationService{{Name: "s"}, {Name: "t"}}}, SentAt: 0, AckedAt: second},
		{Configuration: &wire.Configuration{Serial: 5, Base: 3, Routes: []*wire.ConfigurationRoute{{Name: "a", Host: "h", Prefix: "/a/", Service: stringPtr("t")}}, Services: []*wire.ConfigurationService{{Name: "s"}, {Name: "t"}}}, SentAt: 20 * second, AckedAt: 21 * second},
	}
	return h
}

// addAttempt adds an attempt with its outcome and arrivals, and fills in what they have in common. An outcome without a
// time ends 0.5 s after the attempt was sent; an arrival without a service is one at service "s".
func (h *History) addAttempt(id string, at time.Duration, repeat wire.Repeat, outcome *Outcome, arrivals ...*Arrival) *Attempt {
	attempt := &Attempt{SentAt: at, ID: id, FirstID: id, Node: "n", Service: "s", Method: "GET", Host: "h", Target: "/a/x", Digest: "d", Repeat: repeat, Deadline: at + 2*second, LatencyTarget: second}
	h.attempts = append(h.attempts, attempt)
	if outcome != nil {
		outcome.ID = id
		if outcome.EndedAt == 0 {
			outcome.EndedAt = at + second/2
		}
		h.outcomes[id] = outcome
	}
	for _, each := range arrivals {
		each.ID, each.Method, each.Host, each.Target, each.Digest, each.Caller = id, attempt.Method, attempt.Host, attempt.Target, attempt.Digest, attempt.Service
		if each.Service == "" {
			each.Service, each.Instance = "s", "i"
		}
		h.arrivals = append(h.arrivals, each)
	}
	return attempt
}

// executedAt returns an arrival at service "s" that was executed successfully.
func executedAt(at time.Duration) *Arrival {
	return &Arrival{ArrivedAt: at, Executed: true, Status: 200}
}

// executedBy returns an arrival at a service that was executed successfully.
func executedBy(service string, at time.Duration) *Arrival {
	return &Arrival{ArrivedAt: at, Executed: true, Status: 200, Service: service, Instance: "i-" + service}
}

var _ = ginkgo.Describe("the rules of Check", func() {
	success := func() *Outcome { return &Outcome{Status: 200, Sealed: true, RequestRead: true} }
	ginkgo.DescribeTable("given a history, when it is checked, then the violated rule is found, or none if there is no violation",
		func(rule string, fill func(h *History)) {
			h := newTestHistory()
			fill(h)
			violated := map[string]bool{}
			for _, verdict := range Check(h) {
				if len(verdict.Violations) > 0 {
					violated[verdict.Rule] = true
				}
			}
			if rule == "" {
				Expect(violated).To(BeEmpty())
				return
			}
			Expect(violated).To(HaveKey(rule))
		},
		ginkgo.Entry("a mutation executed twice", RuleAtMostOnce, func(h *History) {
			h.addAttempt("x", 3*second, wire.Repeat_ONCE, success(), executedAt(3*second), executedAt(4*second))
		}),
		ginkgo.Entry("a search executed twice", "", func(h *History) {
			h.addAttempt("x", 3*second, wire.Repeat_REPEATABLE, success(), executedAt(3*second), executedAt(4*second))
		}),
		ginkgo.Entry("a mutation that arrived without being executed, then executed", "", func(h *History) {
			h.addAttempt("x", 3*second, wire.Repeat_ONCE, success(), &Arrival{ArrivedAt: 3 * second}, executedAt(4*second))
		}),
		ginkgo.Entry("a rejected attempt that was executed", RuleRejectedNotRun, func(h *History) {
			h.addAttempt("x", 3*second, wire.Repeat_ONCE, &Outcome{Status: 503}, executedAt(3*second))
		}),
		ginkgo.Entry("a rejected attempt that was executed later", RuleRejectedNotRun, func(h *History) {
			h.addAttempt("x", 3*second, wire.Repeat_ONCE, &Outcome{Status: 429}, executedAt(9*second))
		}),
		ginkgo.Entry("a rejected attempt that was not executed", "", func(h *History) {
			h.addAttempt("x", 3*second, wire.Repeat_ONCE, &Outcome{Status: 503}, &Arrival{ArrivedAt: 3 * second})
		}),
		ginkgo.Entry("the response to another request", RuleResponseIntegrity, func(h *History) {
			h.addAttempt("x", 3*second, wire.Repeat_ONCE, &Outcome{Status: 200, Mismatch: "the response to y"}, executedAt(3*second))
		}),
		ginkgo.Entry("a success that no upstream sent", RuleResponseIntegrity, func(h *History) {
			h.addAttempt("x", 3*second, wire.Repeat_ONCE, success(), &Arrival{ArrivedAt: 3 * second, Executed: true, Status: 500})
		}),
		ginkgo.Entry("bytes on an idle connection", RuleResponseIntegrity, func(h *History) { h.strayBytes = []string{"c"} }),
		ginkgo.Entry("an arrival that no client sent", RuleRequestIntegrity, func(h *History) { h.arrivals = []*Arrival{{ID: "z", Service: "s", Executed: true}} }),
		ginkgo.Entry("a changed body", RuleRequestIntegrity, func(h *History) { h.addAttempt("x", 3*second, 0, success(), executedAt(3*second)).Digest = "other" }),
		ginkgo.Entry("a wrong caller", RuleRequestIntegrity, func(h *History) { h.addAttempt("x", 3*second, 0, success(), executedAt(3*second)).Service = "t" }),
		ginkgo.Entry("a service to which no configuration routes the request", RuleRouting, func(h *History) { h.addAttempt("x", 3*second, 0, success(), executedBy("u", 3*second)) }),
		ginkgo.Entry("an arrival long after the departure", RuleDrain, func(h *History) {
			h.departures = []Departure{{"i", 3 * second}}
			h.addAttempt("x", 6*second, 0, success(), executedAt(6*second))
		}),
		ginkgo.Entry("an arrival soon after the departure, and a misdirected one later", "", func(h *History) {
			h.departures = []Departure{{"i", 3 * second}}
			h.addAttempt("x", 4*second, 0, success(), executedAt(4*second))
			h.addAttempt("y", 6*second, 0, nil, &Arrival{ArrivedAt: 6 * second, Misdirected: true})
		}),
		ginkgo.Entry("a transport error during a graceful stop", RuleGracefulStop, func(h *History) {
			h.disturbances = []*judge.Disturbance{{Node: "n", Planned: true, From: 3 * second, Until: 9 * second}}
			h.addAttempt("x", 4*second, 0, &Outcome{TransportError: "EOF", RequestRead: true}, executedAt(4*second))
		}),
		ginkgo.Entry("a node's own response while an upstream executes the request, during a graceful stop", RuleGracefulStop, func(h *History) {
			h.disturbances = []*judge.Disturbance{{Node: "n", Planned: true, From: 3 * second, Until: 9 * second}}
			h.addAttempt("x", 4*second, 0, &Outcome{Status: 502, RequestRead: true}, &Arrival{ArrivedAt: 4 * second, Executed: true, CallerGone: true})
		}),
		ginkgo.Entry("transport errors during a graceful stop with the request unread, broken by the upstream, at the deadline or during another disturbance", "", func(h *History) {
			h.disturbances = []*judge.Disturbance{{Node: "n", Planned: true, From: 3 * second, Until: 30 * second}, {Node: "m", From: 20 * second, Until: 21 * second}}
			h.addAttempt("x", 4*second, 0, &Outcome{TransportError: "EOF"})
			h.addAttempt("y", 4*second, 0, &Outcome{TransportError: "EOF", RequestRead: true}, &Arrival{ArrivedAt: 4 * second, Executed: true, ResponseBroken: true})
			h.addAttempt("z", 4*second, 0, &Outcome{TransportError: "timeout", RequestRead: true, EndedAt: 6 * second}, executedAt(4*second))
			h.addAttempt("w", 19*second, 0, &Outcome{TransportError: "EOF", RequestRead: true, EndedAt: 20 * second}, executedAt(19*second))
		}),
		ginkgo.Entry("an execution by the old service long after the acknowledgement", RuleConfigInForce, func(h *History) { h.addAttempt("x", 24*second, 0, success(), executedAt(24*second)) }),
		ginkgo.Entry("an execution by the old service soon after the acknowledgement", "", func(h *History) { h.addAttempt("x", 22*second, 0, success(), executedAt(22*second)) }),
		ginkgo.Entry("a 404 although the route exists", RuleConfigInForce, func(h *History) { h.addAttempt("x", 24*second, 0, &Outcome{Status: 404}) }),
		ginkgo.Entry("an execution by a removed route", RuleConfigInForce, func(h *History) {
			h.addAttempt("x", 24*second, 0, success(), executedAt(24*second)).Target = "/b/x"
			h.arrivals[0].Target = "/b/x"
		}),
		ginkgo.Entry("a rejected configuration in force", RuleConfigInForce, func(h *History) {
			h.proposals[1].AckedAt, h.proposals[1].Rejected = -1, true
			h.addAttempt("x", 24*second, 0, success(), executedBy("t", 24*second))
		}),
		ginkgo.Entry("a node that returns to an older configuration", RuleNoConfigRollback, func(h *History) {
			h.addAttempt("x", 21*second, 0, success(), executedBy("t", 21*second))
			h.addAttempt("y", 21*second+second/2, 0, success(), executedAt(21*second+second/2))
		}),
		ginkgo.Entry("an older configuration after a restart, and one within the slack", "", func(h *History) {
			h.addAttempt("x", 21*second, 0, success(), executedBy("t", 21*second))
			h.addAttempt("y", 21*second+second/2, 0, success(), executedAt(21*second+second/2)).Incarnation = 2
			h.addAttempt("z", 21*second+second/10, 0, success(), executedAt(21*second+second/10))
		}),
		ginkgo.Entry("two configurations acknowledged with one base", RuleProposalConflict, func(h *History) {
			h.proposals = append(h.proposals, &Proposal{Configuration: &wire.Configuration{Serial: 6, Base: 3}, SentAt: 20 * second, AckedAt: 21 * second})
		}),
		ginkgo.Entry("an invalid configuration acknowledged", RuleProposalConflict, func(h *History) { h.proposals[1].Invalid = true }),
		ginkgo.Entry("an older configuration read back", RuleConfigDurability, func(h *History) {
			h.configReads = []ConfigRead{{At: 40 * second, Configuration: h.proposals[0].Configuration}}
		}),
		ginkgo.Entry("another configuration read back", RuleConfigDurability, func(h *History) {
			h.configReads = []ConfigRead{{At: 40 * second, Configuration: &wire.Configuration{Serial: 5}}}
		}),
		ginkgo.Entry("the newest configuration read back", "", func(h *History) {
			h.configReads = []ConfigRead{{At: 40 * second, Configuration: h.proposals[1].Configuration}}
		}),
		ginkgo.Entry("many retries", RuleRetryBudget, func(h *History) {
			for i := range 40 {
				at := 3*second + time.Duration(i)*second/20
				h.addAttempt(string(rune('a'+i)), at, wire.Repeat_REPEATABLE, success(), executedAt(at), executedAt(at+second/100))
			}
		}),
		ginkgo.Entry("many calls made during retries", RuleRetryBudget, func(h *History) {
			for i := range 40 {
				at := 3*second + time.Duration(i)*second/20
				h.addAttempt(string(rune('a'+i)), at, wire.Repeat_REPEATABLE, success(), executedAt(at)).DuringRetry = true
			}
		}),
		ginkgo.Entry("retries up to a fifth of the requests and the slack", "", func(h *History) {
			for i := range 40 {
				at := 3*second + time.Duration(i)*second/20
				arrivals := []*Arrival{executedAt(at)}
				if i < 25 {
					arrivals = append(arrivals, executedAt(at+second/100))
				}
				h.addAttempt(string(rune('a'+i)), at, wire.Repeat_REPEATABLE, success(), arrivals...)
			}
		}),
		ginkgo.Entry("valid requests rejected", RuleFewClientErrors, func(h *History) {
			for i := range 9 {
				h.addAttempt(string(rune('a'+i)), 4*second, 0, &Outcome{Status: 400})
			}
		}),
	)
})
