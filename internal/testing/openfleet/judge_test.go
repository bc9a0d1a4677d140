package openfleet

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/testing/judge"
	"curlewreach/proto/wire"
)

type still struct{}

func (still) Wall() time.Time     { return time.Time{} }
func (still) Mono() time.Duration { return time.Minute }

const second = time.Second

func planted() *History {
	h := NewHistory(still{})
	h.sent = []*Proposal{
		{Configuration: &wire.Configuration{Serial: 3, Routes: []*wire.ConfigurationRoute{{Name: "a", Host: "h", Prefix: "/a/", Service: to("s")}, {Name: "b", Host: "h", Prefix: "/b/", Service: to("s")}}, Services: []*wire.ConfigurationService{{Name: "s"}, {Name: "t"}}}, SentAt: 0, AckedAt: second},
		{Configuration: &wire.Configuration{Serial: 5, Base: 3, Routes: []*wire.ConfigurationRoute{{Name: "a", Host: "h", Prefix: "/a/", Service: to("t")}}, Services: []*wire.ConfigurationService{{Name: "s"}, {Name: "t"}}}, SentAt: 20 * second, AckedAt: 21 * second},
	}
	return h
}

func (h *History) plant(id string, at time.Duration, repeat wire.Repeat, told *Outcome, arrivals ...*Arrival) *Attempt {
	ask := &Attempt{SentAt: at, ID: id, FirstID: id, Node: "n", Service: "s", Method: "GET", Host: "h", Target: "/a/x", Digest: "d", Repeat: repeat, Deadline: at + 2*second, LatencyTarget: second}
	h.asks = append(h.asks, ask)
	if told != nil {
		told.ID = id
		if told.EndedAt == 0 {
			told.EndedAt = at + second/2
		}
		h.told[id] = told
	}
	for _, each := range arrivals {
		each.ID, each.Method, each.Host, each.Target, each.Digest, each.Caller = id, ask.Method, ask.Host, ask.Target, ask.Digest, ask.Service
		if each.Service == "" {
			each.Service, each.Instance = "s", "i"
		}
		h.arrivals = append(h.arrivals, each)
	}
	return ask
}

func came(at time.Duration) *Arrival { return &Arrival{ArrivedAt: at, Executed: true, Status: 200} }

func cameTo(service string, at time.Duration) *Arrival {
	return &Arrival{ArrivedAt: at, Executed: true, Status: 200, Service: service, Instance: "i-" + service}
}

var _ = ginkgo.Describe("the judge", func() {
	good := func() *Outcome { return &Outcome{Status: 200, Sealed: true, RequestRead: true} }
	ginkgo.DescribeTable("given a history, when it is judged, then what was planted is found and nothing else",
		func(rule string, plant func(h *History)) {
			h := planted()
			plant(h)
			found := map[string]bool{}
			for _, verdict := range Check(h) {
				if len(verdict.Violations) > 0 {
					found[verdict.Rule] = true
				}
			}
			if rule == "" {
				Expect(found).To(BeEmpty())
				return
			}
			Expect(found).To(HaveKey(rule))
		},
		ginkgo.Entry("a mutation run twice", RuleAtMostOnce, func(h *History) { h.plant("x", 3*second, wire.Repeat_ONCE, good(), came(3*second), came(4*second)) }),
		ginkgo.Entry("a search run twice", "", func(h *History) {
			h.plant("x", 3*second, wire.Repeat_REPEATABLE, good(), came(3*second), came(4*second))
		}),
		ginkgo.Entry("a mutation turned away, then run", "", func(h *History) {
			h.plant("x", 3*second, wire.Repeat_ONCE, good(), &Arrival{ArrivedAt: 3 * second}, came(4*second))
		}),
		ginkgo.Entry("a refusal that ran", RuleRejectedNotRun, func(h *History) { h.plant("x", 3*second, wire.Repeat_ONCE, &Outcome{Status: 503}, came(3*second)) }),
		ginkgo.Entry("a refusal that ran later", RuleRejectedNotRun, func(h *History) { h.plant("x", 3*second, wire.Repeat_ONCE, &Outcome{Status: 429}, came(9*second)) }),
		ginkgo.Entry("a refusal that was turned away", "", func(h *History) {
			h.plant("x", 3*second, wire.Repeat_ONCE, &Outcome{Status: 503}, &Arrival{ArrivedAt: 3 * second})
		}),
		ginkgo.Entry("an answer of another", RuleResponseIntegrity, func(h *History) {
			h.plant("x", 3*second, wire.Repeat_ONCE, &Outcome{Status: 200, Mismatch: "the answer of y"}, came(3*second))
		}),
		ginkgo.Entry("a success no upstream gave", RuleResponseIntegrity, func(h *History) {
			h.plant("x", 3*second, wire.Repeat_ONCE, good(), &Arrival{ArrivedAt: 3 * second, Executed: true, Status: 500})
		}),
		ginkgo.Entry("bytes that nobody waits for", RuleResponseIntegrity, func(h *History) { h.strays = []string{"c"} }),
		ginkgo.Entry("a run nobody asked", RuleRequestIntegrity, func(h *History) { h.arrivals = []*Arrival{{ID: "z", Service: "s", Executed: true}} }),
		ginkgo.Entry("a changed body", RuleRequestIntegrity, func(h *History) { h.plant("x", 3*second, 0, good(), came(3*second)).Digest = "other" }),
		ginkgo.Entry("a caller that is another", RuleRequestIntegrity, func(h *History) { h.plant("x", 3*second, 0, good(), came(3*second)).Service = "t" }),
		ginkgo.Entry("a service that no configuration names", RuleRouting, func(h *History) { h.plant("x", 3*second, 0, good(), cameTo("u", 3*second)) }),
		ginkgo.Entry("an arrival long after leaving", RuleDrain, func(h *History) {
			h.left = []Departure{{"i", 3 * second}}
			h.plant("x", 6*second, 0, good(), came(6*second))
		}),
		ginkgo.Entry("an arrival soon after leaving, and one sent away late", "", func(h *History) {
			h.left = []Departure{{"i", 3 * second}}
			h.plant("x", 4*second, 0, good(), came(4*second))
			h.plant("y", 6*second, 0, nil, &Arrival{ArrivedAt: 6 * second, Misdirected: true})
		}),
		ginkgo.Entry("a break in a stop", RuleGracefulStop, func(h *History) {
			h.spells = []*judge.Disturbance{{Node: "n", Planned: true, From: 3 * second, Until: 9 * second}}
			h.plant("x", 4*second, 0, &Outcome{TransportError: "EOF", RequestRead: true}, came(4*second))
		}),
		ginkgo.Entry("an answer of one's own while an upstream works, in a stop", RuleGracefulStop, func(h *History) {
			h.spells = []*judge.Disturbance{{Node: "n", Planned: true, From: 3 * second, Until: 9 * second}}
			h.plant("x", 4*second, 0, &Outcome{Status: 502, RequestRead: true}, &Arrival{ArrivedAt: 4 * second, Executed: true, CallerGone: true})
		}),
		ginkgo.Entry("breaks in a stop that were not read, the upstream's own, at the deadline or amid trouble", "", func(h *History) {
			h.spells = []*judge.Disturbance{{Node: "n", Planned: true, From: 3 * second, Until: 30 * second}, {Node: "m", From: 20 * second, Until: 21 * second}}
			h.plant("x", 4*second, 0, &Outcome{TransportError: "EOF"})
			h.plant("y", 4*second, 0, &Outcome{TransportError: "EOF", RequestRead: true}, &Arrival{ArrivedAt: 4 * second, Executed: true, ResponseBroken: true})
			h.plant("z", 4*second, 0, &Outcome{TransportError: "timeout", RequestRead: true, EndedAt: 6 * second}, came(4*second))
			h.plant("w", 19*second, 0, &Outcome{TransportError: "EOF", RequestRead: true, EndedAt: 20 * second}, came(19*second))
		}),
		ginkgo.Entry("a run by the old service long after the ack", RuleConfigInForce, func(h *History) { h.plant("x", 24*second, 0, good(), came(24*second)) }),
		ginkgo.Entry("a run by the old service soon after the ack", "", func(h *History) { h.plant("x", 22*second, 0, good(), came(22*second)) }),
		ginkgo.Entry("a 404 though the route stands", RuleConfigInForce, func(h *History) { h.plant("x", 24*second, 0, &Outcome{Status: 404}) }),
		ginkgo.Entry("a dropped route that still runs", RuleConfigInForce, func(h *History) {
			h.plant("x", 24*second, 0, good(), came(24*second)).Target = "/b/x"
			h.arrivals[0].Target = "/b/x"
		}),
		ginkgo.Entry("a refused configuration in force", RuleConfigInForce, func(h *History) {
			h.sent[1].AckedAt, h.sent[1].Rejected = -1, true
			h.plant("x", 24*second, 0, good(), cameTo("t", 24*second))
		}),
		ginkgo.Entry("a life that goes back", RuleNoConfigRollback, func(h *History) {
			h.plant("x", 21*second, 0, good(), cameTo("t", 21*second))
			h.plant("y", 21*second+second/2, 0, good(), came(21*second+second/2))
		}),
		ginkgo.Entry("two lives apart, and one within the slack", "", func(h *History) {
			h.plant("x", 21*second, 0, good(), cameTo("t", 21*second))
			h.plant("y", 21*second+second/2, 0, good(), came(21*second+second/2)).Incarnation = 2
			h.plant("z", 21*second+second/10, 0, good(), came(21*second+second/10))
		}),
		ginkgo.Entry("two acks on one base", RuleProposalConflict, func(h *History) {
			h.sent = append(h.sent, &Proposal{Configuration: &wire.Configuration{Serial: 6, Base: 3}, SentAt: 20 * second, AckedAt: 21 * second})
		}),
		ginkgo.Entry("a bad configuration acked", RuleProposalConflict, func(h *History) { h.sent[1].Invalid = true }),
		ginkgo.Entry("an older configuration read back", RuleConfigDurability, func(h *History) { h.reads = []ConfigRead{{At: 40 * second, Configuration: h.sent[0].Configuration}} }),
		ginkgo.Entry("another configuration read back", RuleConfigDurability, func(h *History) {
			h.reads = []ConfigRead{{At: 40 * second, Configuration: &wire.Configuration{Serial: 5}}}
		}),
		ginkgo.Entry("the newest configuration read back", "", func(h *History) { h.reads = []ConfigRead{{At: 40 * second, Configuration: h.sent[1].Configuration}} }),
		ginkgo.Entry("many repeats", RuleRetryBudget, func(h *History) {
			for i := range 40 {
				at := 3*second + time.Duration(i)*second/20
				h.plant(string(rune('a'+i)), at, wire.Repeat_REPEATABLE, good(), came(at), came(at+second/100))
			}
		}),
		ginkgo.Entry("calls of many repeated runs", RuleRetryBudget, func(h *History) {
			for i := range 40 {
				at := 3*second + time.Duration(i)*second/20
				h.plant(string(rune('a'+i)), at, wire.Repeat_REPEATABLE, good(), came(at)).DuringRetry = true
			}
		}),
		ginkgo.Entry("a fifth of repeats and the slack", "", func(h *History) {
			for i := range 40 {
				at := 3*second + time.Duration(i)*second/20
				arrivals := []*Arrival{came(at)}
				if i < 25 {
					arrivals = append(arrivals, came(at+second/100))
				}
				h.plant(string(rune('a'+i)), at, wire.Repeat_REPEATABLE, good(), arrivals...)
			}
		}),
		ginkgo.Entry("proper requests denied", RuleFewClientErrors, func(h *History) {
			for i := range 9 {
				h.plant(string(rune('a'+i)), 4*second, 0, &Outcome{Status: 400})
			}
		}),
	)
})
