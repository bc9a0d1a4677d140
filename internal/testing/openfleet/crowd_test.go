package openfleet

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func (f *Fleet) early(least float64, from time.Duration) {
	h := f.History
	h.mu.Lock()
	defer h.mu.Unlock()
	refused, early, told := 0, 0, 0
	for _, ask := range h.asks {
		each := h.told[ask.ID]
		if each == nil || ask.SentAt < from || ask.FirstID != ask.ID || !promised(each) {
			continue
		}
		refused++
		if each.EndedAt-ask.SentAt <= ask.LatencyTarget/4 {
			early++
		}
		if each.RetryAfter > 0 {
			told++
		}
	}
	ExpectWithOffset(1, refused).To(BeNumerically(">", 20), f.Description)
	ExpectWithOffset(1, float64(early)/float64(refused)).To(BeNumerically(">=", least), "%s: %d of %d refused early", f.Description, early, refused)
	ExpectWithOffset(1, told).To(Equal(refused), "%s: told when to come again", f.Description)
}

var _ = ginkgo.Describe("crowds", func() {
	slow := func(f *Fleet) {
		f.CapacityOf = func(string) (int, int) { return 2, 4 }
		f.Behaviors = []Behavior{{Prefix: "/return/", Base: 60 * time.Millisecond, Swing: 60 * time.Millisecond, Size: 200}, {Prefix: "/search/", Base: 60 * time.Millisecond, Swing: 60 * time.Millisecond, Size: 400}}
	}
	for _, each := range []struct{ what, host, path, method string }{
		{"mutations", "loans.example", "/return/", "POST"}, {"searches", "books.example", "/search/", "GET"},
	} {
		story("given half as many "+each.what+" again as upstreams can take, when they come, then those in excess are refused at once and told when, and most served ones are in aim", []uint64{1, 2}, func(f *Fleet) {
			slow(f)
			f.Workload = []RequestClass{{Method: each.method, Host: each.host, Path: each.path, Weight: 1, BodySize: 20}}
			raised(f)
			upstreams := len(f.NodesOf(map[string]string{"/return/": "loans", "/search/": "books"}[each.path]))
			rate := float64(upstreams*2) / 0.09
			f.StartLoad(0.6 * rate)
			f.Sleep(2 * time.Second)
			begun := f.Scope.Clock.Mono()
			f.StartLoad(0.9 * rate)
			f.Sleep(5 * time.Second)
			f.StopLoad()
			t := f.JobStats(begun+time.Second, 0, nil)
			Expect(t.SuccessRate()).To(BeNumerically(">", 0.55), "%s: %s", f.Description, t)
			Expect(float64(t.OnTime+t.OnTimeAfterRejection)/float64(t.Succeeded)).To(BeNumerically(">", 0.65), "%s: %s", f.Description, t)
			f.early(0.9, begun+time.Second)
			sound(f, RuleResponseIntegrity)
		})
	}

	story("given a crowd, when it is over, then all are served and in aim at once again", []uint64{1, 2}, func(f *Fleet) {
		slow(f)
		f.Workload = []RequestClass{{Method: "POST", Host: "loans.example", Path: "/return/", Weight: 1, BodySize: 20}, {Method: "GET", Host: "books.example", Path: "/search/", Weight: 1}}
		raised(f)
		f.StartVariableLoad(func(since time.Duration) float64 {
			if since > 2*time.Second && since < 5*time.Second {
				return 200
			}
			return 60
		})
		f.Sleep(8 * time.Second)
		f.StopLoad()
		t := f.JobStats(f.Scope.Clock.Mono()-2*time.Second, 0, nil)
		Expect(t.SuccessRate()).To(BeNumerically(">", 0.999), "%s: %s", f.Description, t)
		Expect(t.OnTimeRate()).To(BeNumerically(">", 0.95), "%s: %s", f.Description, t)
		sound(f, RuleAtMostOnce, RuleRejectedNotRun)
	})
})

var _ = ginkgo.Describe("the budget", func() {
	for _, each := range []struct {
		name    string
		fault   Fault
		share   float64
		of      []string
		rate    float64
		slowest float64
	}{
		{"lose half their answers", ConnReset, 0.5, everyService, 90, 1},
		{"lose every answer", ConnReset, 1, []string{"books"}, 90, 1},
		{"fall silent half the time", NoResponse, 0.5, []string{"books"}, 60, 1},
		{"fail half the time amid further calls", InternalError, 0.5, []string{"loans"}, 90, 1},
		{"are slow by turns", NoFault, 0, nil, 70, 8},
	} {
		storyOf("given upstreams that "+each.name+", when visitors come, then repeats and hedges stay within what is paid", 3, small, []uint64{1, 2}, func(f *Fleet) {
			raised(f)
			f.StartLoad(each.rate)
			f.Sleep(1500 * time.Millisecond)
			f.afflict(each.of, FaultRate{each.fault, each.share, 0})
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
			sound(f, RuleAtMostOnce, RuleRetryBudget)
		})
	}
})
