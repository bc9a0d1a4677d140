package openfleet

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// expectRefusedAtOnce looks at the first attempts since from that were rejected as not run. It expects more than 20, all
// with a Retry-After, and that at least minShare of them were rejected within atOnce, so without having waited.
func (f *Fleet) expectRefusedAtOnce(minShare float64, from time.Duration) {
	h := f.History
	h.mu.Lock()
	defer h.mu.Unlock()
	rejected, quick, withRetryAfter := 0, 0, 0
	for _, attempt := range h.attempts {
		outcome := h.outcomes[attempt.ID]
		if outcome == nil || attempt.SentAt < from || attempt.FirstID != attempt.ID || !rejectedBeforeExecution(outcome) {
			continue
		}
		rejected++
		if outcome.EndedAt-attempt.SentAt <= atOnce {
			quick++
		}
		if outcome.RetryAfter > 0 {
			withRetryAfter++
		}
	}
	ExpectWithOffset(1, rejected).To(BeNumerically(">", 20), f.Description)
	ExpectWithOffset(1, float64(quick)/float64(rejected)).To(BeNumerically(">=", minShare), "%s: %d of %d rejected at once", f.Description, quick, rejected)
	ExpectWithOffset(1, withRetryAfter).To(Equal(rejected), "%s: rejections with Retry-After", f.Description)
}

var _ = ginkgo.Describe("overload", func() {
	slow := func(f *Fleet) {
		f.CapacityOf = func(string) (int, int) { return 2, 4 }
		f.Behaviors = []Behavior{{Prefix: "/return/", Base: 60 * time.Millisecond, Swing: 60 * time.Millisecond, Size: 200}, {Prefix: "/search/", Base: 60 * time.Millisecond, Swing: 60 * time.Millisecond, Size: 400}}
	}
	for _, each := range []struct{ what, host, path, method string }{
		{"mutations", "loans.example", "/return/", "POST"}, {"searches", "books.example", "/search/", "GET"},
	} {
		spec("given "+each.what+" at one and a half times the capacity of upstreams, when clients send them, then the excess is rejected at once with a Retry-After, and what is accepted is answered in time", []uint64{1, 2}, func(f *Fleet) {
			slow(f)
			f.Workload = []RequestClass{{Method: each.method, Host: each.host, Path: each.path, Weight: 1, BodySize: 20}}
			startAll(f)
			upstreams := len(f.NodesOf(map[string]string{"/return/": "loans", "/search/": "books"}[each.path]))
			rate := float64(upstreams*2) / 0.09
			f.StartLoad(0.6 * rate)
			f.Sleep(2 * time.Second)
			start := f.Scope.Clock.Mono()
			f.StartLoad(0.9 * rate)
			f.Sleep(5 * time.Second)
			f.StopLoad()
			stats := f.JobStats(start+time.Second, 0, nil)
			Expect(stats.SuccessRate()).To(BeNumerically(">", 0.55), "%s: %s", f.Description, stats)
			Expect(float64(stats.AnsweredInTime)/float64(stats.Succeeded)).To(BeNumerically(">", 0.95), "%s: %s", f.Description, stats)
			f.expectRefusedAtOnce(0.9, start+time.Second)
			checkHistory(f, RuleResponseIntegrity)
		})
	}

	spec("given an overload, when it ends, then jobs succeed on time again at once", []uint64{1, 2}, func(f *Fleet) {
		slow(f)
		f.Workload = []RequestClass{{Method: "POST", Host: "loans.example", Path: "/return/", Weight: 1, BodySize: 20}, {Method: "GET", Host: "books.example", Path: "/search/", Weight: 1}}
		startAll(f)
		f.StartVariableLoad(func(since time.Duration) float64 {
			if since > 2*time.Second && since < 5*time.Second {
				return 200
			}
			return 60
		})
		f.Sleep(8 * time.Second)
		f.StopLoad()
		stats := f.JobStats(f.Scope.Clock.Mono()-2*time.Second, 0, nil)
		Expect(stats.SuccessRate()).To(BeNumerically(">", 0.999), "%s: %s", f.Description, stats)
		Expect(stats.OnTimeRate()).To(BeNumerically(">", 0.95), "%s: %s", f.Description, stats)
		checkHistory(f, RuleAtMostOnce, RuleRejectedNotRun)
	})
})

var _ = ginkgo.Describe("the retry budget", func() {
	for _, each := range []struct {
		name    string
		fault   Fault
		share   float64
		of      []string
		rate    float64
		slowest float64
	}{
		{"reset half of their connections instead of responding", ConnReset, 0.5, allServices, 90, 1},
		{"reset every connection instead of responding", ConnReset, 1, []string{"books"}, 90, 1},
		{"don't respond to half of the requests", NoResponse, 0.5, []string{"books"}, 60, 1},
		{"fail half of the requests after their own calls", InternalError, 0.5, []string{"loans"}, 90, 1},
		{"are slow in turn", NoFault, 0, nil, 70, 8},
	} {
		specWith("given upstreams that "+each.name+", when clients send requests, then retries and hedged requests stay within the budget", 3, smallServices, []uint64{1, 2}, func(f *Fleet) {
			startAll(f)
			f.StartLoad(each.rate)
			f.Sleep(1500 * time.Millisecond)
			f.setFaults(each.of, FaultRate{each.fault, each.share, 0})
			for i := range 4 {
				for j, m := range f.Nodes {
					if each.slowest > 1 && j%4 == i%4 {
						m.Upstream.SetSlowdown(each.slowest)
					} else {
						m.Upstream.SetSlowdown(1)
					}
				}
				f.Sleep(1100 * time.Millisecond)
			}
			checkHistory(f, RuleAtMostOnce, RuleRetryBudget)
		})
	}
})
