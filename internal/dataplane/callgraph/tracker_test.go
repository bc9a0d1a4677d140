package callgraph

import (
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/random"
	"curlewreach/internal/testing/simulation"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("ties", func() {
	instance := &wire.Instance{Id: "u", Zone: "z"}
	var clock *simulation.ManualClock
	var spans []*wire.Span
	fresh := func() *Tracker {
		clock, spans = &simulation.ManualClock{Now: time.Hour}, nil
		s := base.Scope{Clock: clock, Rand: random.Seeded(7), Journal: base.NewJournal(10)}
		return NewTracker(s, "node", tracing.NewSampler(s.Rand), func(span *wire.Span) { spans = append(spans, span) })
	}
	board := func(t *Tracker, route string, left time.Duration) *Request {
		return t.Begin(forwarding.Metadata{Service: "desk", Route: route, Sampled: true}, clock.Now+left, left)
	}
	pass := func(d time.Duration) { clock.Now += d }

	ginkgo.It("given one request at work, when it makes two calls at once, then both are tied and its self time leaves out their union", func() {
		t := fresh()
		f := board(t, "search", 3*time.Second)
		pass(20 * time.Millisecond)
		first := t.FindParent("licence", clock.Now+500*time.Millisecond, false)
		gomega.Expect(first).To(gomega.Equal(f.trace + "." + f.span))
		t.RecordCall(first, clock.Now, clock.Now+40*time.Millisecond)
		t.RecordCall(t.FindParent("licence", clock.Now+500*time.Millisecond, false), clock.Now, clock.Now+60*time.Millisecond)
		pass(100 * time.Millisecond)
		t.End(f, instance, 200)
		gomega.Expect(spans).To(gomega.HaveLen(1))
		gomega.Expect(spans[0].DurationUs).To(gomega.BeEquivalentTo(120_000))
		gomega.Expect(spans[0].SelfUs).To(gomega.BeEquivalentTo(60_000))
		gomega.Expect(spans[0].Tags).NotTo(gomega.HaveKey(tracing.UncertainTag))
	})

	ginkgo.It("given two requests of a kind at work, when a call comes, then it is tied to neither and both say they are unsure", func() {
		t := fresh()
		flights := []*Request{board(t, "search", 3*time.Second), board(t, "search", 2*time.Second)}
		gomega.Expect(t.FindParent("licence", clock.Now+500*time.Millisecond, false)).To(gomega.BeEmpty())
		for _, f := range flights {
			t.End(f, instance, 200)
		}
		for _, span := range spans {
			gomega.Expect(span.Tags).To(gomega.HaveKey(tracing.UncertainTag))
		}
	})

	ginkgo.It("given a route that made no such call when alone, when it runs beside one that does, then the call is tied to that one", func() {
		t := fresh()
		for range fewestAlone {
			t.End(board(t, "loan", time.Second), instance, 200)
		}
		loan, search := board(t, "loan", 4*time.Second), board(t, "search", 3*time.Second)
		gomega.Expect(t.FindParent("licence", clock.Now+500*time.Millisecond, false)).To(gomega.Equal(search.trace + "." + search.span))
		gomega.Expect(loan.unsure).To(gomega.BeFalse())
	})

	ginkgo.It("given two of a kind, when the call's time left is bound by one of them, then its deadline tells which", func() {
		t := fresh()
		near, far := board(t, "search", 300*time.Millisecond), board(t, "search", 3*time.Second)
		gomega.Expect(t.FindParent("licence", near.until, true)).To(gomega.Equal(near.trace + "." + near.span))
		gomega.Expect(far.unsure).To(gomega.BeFalse())
	})

	ginkgo.It("given a desk under load whose truth is known, when calls are tied, then none wrongly, and more the calmer it is", func() {
		shares := []float64{}
		for _, every := range []time.Duration{400 * time.Millisecond, 100 * time.Millisecond, 25 * time.Millisecond} {
			t := fresh()
			rand := random.Seeded(11)
			type running struct {
				f     *Request
				calls time.Duration
				ends  time.Duration
			}
			var at []running
			tied, wrong, made := 0, 0, 0
			for range 60_000 {
				pass(time.Millisecond)
				if rand.Float64() < float64(time.Millisecond)/float64(every) {
					route, calls := "search", 30*time.Millisecond
					if rand.Float64() < 0.3 {
						route, calls = "loan", time.Hour
					}
					at = append(at, running{board(t, route, 3*time.Second), clock.Now + calls, clock.Now + 160*time.Millisecond})
				}
				at = slices.DeleteFunc(at, func(r running) bool {
					if clock.Now == r.calls {
						made++
						switch t.FindParent("licence", clock.Now+500*time.Millisecond, false) {
						case r.f.trace + "." + r.f.span:
							tied++
						case "":
						default:
							wrong++
						}
					}
					if clock.Now >= r.ends {
						t.End(r.f, instance, 200)
						return true
					}
					return false
				})
			}
			gomega.Expect(wrong).To(gomega.BeZero())
			shares = append(shares, float64(tied)/float64(made))
		}
		ginkgo.AddReportEntry("share tied at 0.4, 1.6 and 6.4 requests at work", shares)
		gomega.Expect(shares[0]).To(gomega.BeNumerically(">", 0.6))
		gomega.Expect(slices.IsSortedFunc(shares, func(a, b float64) int { return int(1e6 * (b - a)) })).To(gomega.BeTrue())
	})
})
