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
		if each == nil || ask.At < from || ask.First != ask.ID || !promised(each) {
			continue
		}
		refused++
		if each.At-ask.At <= ask.Aim/4 {
			early++
		}
		if each.Again > 0 {
			told++
		}
	}
	ExpectWithOffset(1, refused).To(BeNumerically(">", 20), f.Story)
	ExpectWithOffset(1, float64(early)/float64(refused)).To(BeNumerically(">=", least), "%s: %d of %d refused early", f.Story, early, refused)
	ExpectWithOffset(1, told).To(Equal(refused), "%s: told when to come again", f.Story)
}

var _ = ginkgo.Describe("crowds", func() {
	slow := func(f *Fleet) {
		f.Size = func(string) (int, int) { return 2, 4 }
		f.Habits = []Habit{{Prefix: "/return/", Base: 60 * time.Millisecond, Swing: 60 * time.Millisecond, Size: 200}, {Prefix: "/search/", Base: 60 * time.Millisecond, Swing: 60 * time.Millisecond, Size: 400}}
	}
	for _, each := range []struct{ what, host, path, method string }{
		{"mutations", "loans.example", "/return/", "POST"}, {"searches", "books.example", "/search/", "GET"},
	} {
		story("given half as many "+each.what+" again as upstreams can take, when they come, then those in excess are refused at once and told when, and most served ones are in aim", []uint64{1, 2}, func(f *Fleet) {
			slow(f)
			f.Plan = []Plan{{Method: each.method, Host: each.host, Path: each.path, Part: 1, Body: 20}}
			raised(f)
			upstreams := len(f.Of(map[string]string{"/return/": "loans", "/search/": "books"}[each.path]))
			rate := float64(upstreams*2) / 0.09
			f.Visit(0.6 * rate)
			f.Pass(2 * time.Second)
			begun := f.Scope.Clock.Mono()
			f.Visit(0.9 * rate)
			f.Pass(5 * time.Second)
			f.Away()
			t := f.Tally(begun+time.Second, 0, nil)
			Expect(t.Share()).To(BeNumerically(">", 0.55), "%s: %s", f.Story, t)
			Expect(float64(t.InAim+t.Retold)/float64(t.Served)).To(BeNumerically(">", 0.65), "%s: %s", f.Story, t)
			f.early(0.9, begun+time.Second)
			sound(f, Mixed)
		})
	}

	story("given a crowd, when it is over, then all are served and in aim at once again", []uint64{1, 2}, func(f *Fleet) {
		slow(f)
		f.Plan = []Plan{{Method: "POST", Host: "loans.example", Path: "/return/", Part: 1, Body: 20}, {Method: "GET", Host: "books.example", Path: "/search/", Part: 1}}
		raised(f)
		f.VisitBy(func(since time.Duration) float64 {
			if since > 2*time.Second && since < 5*time.Second {
				return 200
			}
			return 60
		})
		f.Pass(8 * time.Second)
		f.Away()
		t := f.Tally(f.Scope.Clock.Mono()-2*time.Second, 0, nil)
		Expect(t.Share()).To(BeNumerically(">", 0.999), "%s: %s", f.Story, t)
		Expect(t.Aimed()).To(BeNumerically(">", 0.95), "%s: %s", f.Story, t)
		sound(f, Twice, Refused)
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
		{"lose half their answers", Reset, 0.5, everyService, 90, 1},
		{"lose every answer", Reset, 1, []string{"books"}, 90, 1},
		{"fall silent half the time", Silent, 0.5, []string{"books"}, 60, 1},
		{"fail half the time amid further calls", Failing, 0.5, []string{"loans"}, 90, 1},
		{"are slow by turns", Sound, 0, nil, 70, 8},
	} {
		storyOf("given upstreams that "+each.name+", when visitors come, then repeats and hedges stay within what is paid", 3, small, []uint64{1, 2}, func(f *Fleet) {
			raised(f)
			f.Visit(each.rate)
			f.Pass(1500 * time.Millisecond)
			f.afflict(each.of, Trouble{each.fault, each.share, 0})
			for i := range 4 {
				for j, m := range f.Nodes {
					if each.slowest > 1 && j%4 == i%4 {
						m.Upstream.SetSpeed(each.slowest)
					} else {
						m.Upstream.SetSpeed(1)
					}
				}
				f.Pass(1100 * time.Millisecond)
			}
			sound(f, Twice, Budget)
		})
	}
})
