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

var _ = ginkgo.Describe("call tracker", func() {
	instance := &wire.Instance{Id: "u", Zone: "z"}
	var clock *simulation.ManualClock
	var spans []*wire.Span
	newTracker := func() *Tracker {
		clock, spans = &simulation.ManualClock{Now: time.Hour}, nil
		s := base.Scope{Clock: clock, Rand: random.Seeded(7), Journal: base.NewJournal(10)}
		return NewTracker(s, "node", tracing.NewSampler(s.Rand), func(span *wire.Span) { spans = append(spans, span) })
	}
	begin := func(t *Tracker, route string, left time.Duration) *Request {
		return t.Begin(forwarding.Metadata{Service: "desk", Route: route, Sampled: true}, clock.Now+left, left)
	}
	advance := func(d time.Duration) { clock.Now += d }

	ginkgo.It("given one request in flight, when it makes two calls at the same time, then both are attributed to it and its self time excludes their union", func() {
		t := newTracker()
		r := begin(t, "search", 3*time.Second)
		advance(20 * time.Millisecond)
		first := t.FindParent("licence", clock.Now+500*time.Millisecond, false)
		gomega.Expect(first).To(gomega.Equal(r.traceID + "." + r.spanID))
		t.RecordCall(first, clock.Now, clock.Now+40*time.Millisecond)
		t.RecordCall(t.FindParent("licence", clock.Now+500*time.Millisecond, false), clock.Now, clock.Now+60*time.Millisecond)
		advance(100 * time.Millisecond)
		t.End(r, instance, 200)
		gomega.Expect(spans).To(gomega.HaveLen(1))
		gomega.Expect(spans[0].DurationUs).To(gomega.BeEquivalentTo(120_000))
		gomega.Expect(spans[0].SelfUs).To(gomega.BeEquivalentTo(60_000))
		gomega.Expect(spans[0].Tags).NotTo(gomega.HaveKey(tracing.UncertainTag))
	})

	ginkgo.It("given two requests of a route in flight, when a call is made, then it is attributed to neither and the spans of both are tagged as uncertain", func() {
		t := newTracker()
		requests := []*Request{begin(t, "search", 3*time.Second), begin(t, "search", 2*time.Second)}
		gomega.Expect(t.FindParent("licence", clock.Now+500*time.Millisecond, false)).To(gomega.BeEmpty())
		for _, r := range requests {
			t.End(r, instance, 200)
		}
		for _, span := range spans {
			gomega.Expect(span.Tags).To(gomega.HaveKey(tracing.UncertainTag))
		}
	})

	ginkgo.It("given a route whose requests made no such call when alone, when one is in flight with a request of another route, then the call is attributed to the latter", func() {
		t := newTracker()
		for range minSoloRequests {
			t.End(begin(t, "loan", time.Second), instance, 200)
		}
		loan, search := begin(t, "loan", 4*time.Second), begin(t, "search", 3*time.Second)
		gomega.Expect(t.FindParent("licence", clock.Now+500*time.Millisecond, false)).To(gomega.Equal(search.traceID + "." + search.spanID))
		gomega.Expect(loan.uncertain).To(gomega.BeFalse())
	})

	ginkgo.It("given two requests of a route in flight, when a call inherits the deadline of one, then it is attributed to that one", func() {
		t := newTracker()
		first, second := begin(t, "search", 300*time.Millisecond), begin(t, "search", 3*time.Second)
		gomega.Expect(t.FindParent("licence", first.deadline, true)).To(gomega.Equal(first.traceID + "." + first.spanID))
		gomega.Expect(second.uncertain).To(gomega.BeFalse())
	})

	ginkgo.It("given requests at three rates with known calls, when calls are attributed, then none is attributed wrongly, and a larger share at lower rates", func() {
		shares := []float64{}
		for _, meanInterval := range []time.Duration{400 * time.Millisecond, 100 * time.Millisecond, 25 * time.Millisecond} {
			t := newTracker()
			rand := random.Seeded(11)
			type runningRequest struct {
				request *Request
				callAt  time.Duration
				endsAt  time.Duration
			}
			var inFlight []runningRequest
			attributed, wrong, made := 0, 0, 0
			for range 60_000 {
				advance(time.Millisecond)
				if rand.Float64() < float64(time.Millisecond)/float64(meanInterval) {
					route, callDelay := "search", 30*time.Millisecond
					if rand.Float64() < 0.3 {
						route, callDelay = "loan", time.Hour
					}
					inFlight = append(inFlight, runningRequest{begin(t, route, 3*time.Second), clock.Now + callDelay, clock.Now + 160*time.Millisecond})
				}
				inFlight = slices.DeleteFunc(inFlight, func(r runningRequest) bool {
					if clock.Now == r.callAt {
						made++
						switch t.FindParent("licence", clock.Now+500*time.Millisecond, false) {
						case r.request.traceID + "." + r.request.spanID:
							attributed++
						case "":
						default:
							wrong++
						}
					}
					if clock.Now >= r.endsAt {
						t.End(r.request, instance, 200)
						return true
					}
					return false
				})
			}
			gomega.Expect(wrong).To(gomega.BeZero())
			shares = append(shares, float64(attributed)/float64(made))
		}
		ginkgo.AddReportEntry("share attributed at 0.4, 1.6 and 6.4 requests in flight", shares)
		gomega.Expect(shares[0]).To(gomega.BeNumerically(">", 0.6))
		gomega.Expect(slices.IsSortedFunc(shares, func(a, b float64) int { return int(1e6 * (b - a)) })).To(gomega.BeTrue())
	})
})
