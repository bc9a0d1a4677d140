package listednode

import (
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/testing/simnet"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("self time", func() {
	ginkgo.It("given intervals that overlap or exceed the period, when their covered time is computed, then nothing counts twice", func() {
		ms := func(from, to int) interval {
			return interval{time.Duration(from) * time.Millisecond, time.Duration(to) * time.Millisecond}
		}
		Expect(coveredTime([]interval{ms(20, 40), ms(10, 30), ms(35, 38), ms(90, 200), ms(-5, 2)}, 0, 100*time.Millisecond)).To(Equal(42 * time.Millisecond))
	})
})

// routeWithFurtherCall returns a route that declares one further call with the given keys.
func routeWithFurtherCall(keys ...*wire.KeyMatch) bundle.RouteMatch {
	return bundle.RouteMatch{Service: &wire.Service{Name: "lending"}, Route: &wire.Route{Name: "borrow", Further: []*wire.Further{{Service: "catalogue", Route: "count", Keys: keys}}}}
}

var _ = ginkgo.Describe("the call tracker", func() {
	callee := bundle.RouteMatch{Service: &wire.Service{Name: "catalogue"}, Route: &wire.Route{Name: "count"}}
	begin := func(t *CallTracker, span string, match bundle.RouteMatch, fieldValue string) *callInProgress {
		c := &callInProgress{spanID: span, match: match, instance: &instance{}, trail: &wire.Trail{Trace: "t" + span}, field: func(string) string { return fieldValue }}
		t.Begin(c)
		return c
	}
	newCall := func(header string) *http.Request {
		r := httptest.NewRequest("GET", "/count/7", nil)
		r.Header.Set("Traceparent", header)
		return r
	}
	key := &wire.KeyMatch{Parent: "path:book", Child: "path:book"}

	ginkgo.It("given several requests in flight, when a call carries the trace header of one, then that one is the parent", func() {
		t := NewCallTracker(simnet.NewClock(time.Now()))
		begin(t, "aaaa", routeWithFurtherCall(), "7")
		begin(t, "bbbb", routeWithFurtherCall(), "7")
		Expect(t.FindParent(newCall("00-x-bbbb-01"), callee, nil, "Traceparent").Parent.spanID).To(Equal("bbbb"))
	})
	ginkgo.It("given several requests in flight, when the key fields of a call match one, then that one is the parent", func() {
		t := NewCallTracker(simnet.NewClock(time.Now()))
		begin(t, "aaaa", routeWithFurtherCall(key), "7")
		begin(t, "bbbb", routeWithFurtherCall(key), "8")
		attribution := t.FindParent(newCall(""), callee, map[string]string{"book": "8"}, "Traceparent")
		Expect(attribution.Parent.spanID).To(Equal("bbbb"))
	})
	ginkgo.It("given two candidates, when a call comes, then it is ambiguous and no parent is guessed", func() {
		t := NewCallTracker(simnet.NewClock(time.Now()))
		first, second := begin(t, "aaaa", routeWithFurtherCall(), "7"), begin(t, "bbbb", routeWithFurtherCall(), "7")
		attribution := t.FindParent(newCall(""), callee, nil, "Traceparent")
		Expect(attribution.Certain).To(BeFalse())
		Expect(attribution.Candidates).To(Equal([]string{"aaaa", "bbbb"}))
		_, uncertain := t.End(first)
		Expect(uncertain).To(BeTrue())
		t.End(second)
		Expect(t.FindParent(newCall(""), callee, nil, "Traceparent")).To(Equal(Attribution{}))
	})
	ginkgo.It("given a route whose further calls would be ambiguous, when two requests come, then they run one at a time unless concurrency is allowed or the header is passed on", func() {
		runInBubble(func(s base.Scope) {
			t := NewCallTracker(s.Clock)
			match := routeWithFurtherCall()
			release, fault := t.Serialize(s, &callInProgress{match: match, instance: &instance{}}, s.Clock.Mono()+time.Minute, true)
			Expect(fault).To(BeNil())
			bounded, cancel := s.WithTimeout(time.Second)
			defer cancel()
			_, fault = t.Serialize(bounded, &callInProgress{match: match, instance: &instance{}}, s.Clock.Mono()+time.Minute, true)
			Expect(fault.Kind).To(Equal(base.Expired))
			startedAt := s.Clock.Mono()
			_, fault = t.Serialize(s, &callInProgress{match: match, instance: &instance{}}, startedAt+time.Minute, false)
			Expect(fault.Kind).To(Equal(base.Contended), "a request that may not wait is rejected at once")
			Expect(s.Clock.Mono()).To(Equal(startedAt))
			concurrent := routeWithFurtherCall()
			concurrent.Route.Together = true
			releaseConcurrent, fault := t.Serialize(s, &callInProgress{match: concurrent, instance: &instance{}}, s.Clock.Mono()+time.Minute, true)
			Expect(fault).To(BeNil())
			releaseConcurrent()
			releasePassing, fault := t.Serialize(s, &callInProgress{match: match, instance: &instance{passesTraceHeader: true}}, s.Clock.Mono()+time.Minute, true)
			Expect(fault).To(BeNil())
			releasePassing()
			release()
			releaseAgain, fault := t.Serialize(s, &callInProgress{match: match, instance: &instance{}}, s.Clock.Mono()+time.Minute, true)
			Expect(fault).To(BeNil())
			time.Sleep(time.Second)
			releaseAgain()
			releaseHeld, fault := t.Serialize(s, &callInProgress{match: match, instance: &instance{}}, s.Clock.Mono()+time.Minute, true)
			Expect(fault).To(BeNil())
			_, fault = t.Serialize(s, &callInProgress{match: match, instance: &instance{}}, s.Clock.Mono()+100*time.Millisecond, true)
			Expect(fault.Kind).To(Equal(base.Contended), "a request is rejected at once if its wait would exceed the deadline")
			releaseHeld()
			Expect(t.queues).To(BeEmpty(), "queues without users are removed")
		})
	})
	ginkgo.It("given a further call that is declared to come at most once, when it has arrived, then the next request may run and is the only candidate for its call", func() {
		runInBubble(func(s base.Scope) {
			t := NewCallTracker(s.Clock)
			match := routeWithFurtherCall()
			match.Route.Further[0].Most = 1
			first := &callInProgress{match: match, instance: &instance{}, spanID: "aaaa", field: func(string) string { return "" }}
			second := &callInProgress{match: match, instance: &instance{}, spanID: "bbbb", field: func(string) string { return "" }}
			release, fault := t.Serialize(s, first, s.Clock.Mono()+time.Minute, true)
			Expect(fault).To(BeNil())
			t.Begin(first)
			Expect(t.FindParent(newCall(""), callee, nil, "Traceparent").Parent.spanID).To(Equal("aaaa"))
			releaseNext, fault := t.Serialize(s, second, s.Clock.Mono()+time.Second, true)
			Expect(fault).To(BeNil())
			t.Begin(second)
			Expect(t.FindParent(newCall(""), callee, nil, "Traceparent").Parent.spanID).To(Equal("bbbb"))
			Expect(t.FindParent(newCall(""), callee, nil, "Traceparent")).To(Equal(Attribution{}), "a call beyond the declared number has no parent")
			release()
			releaseNext()
		})
	})
	ginkgo.It("given one request in flight, when a call with another key comes, then the request is not its parent", func() {
		t := NewCallTracker(simnet.NewClock(time.Now()))
		begin(t, "aaaa", routeWithFurtherCall(key), "7")
		Expect(t.FindParent(newCall(""), callee, map[string]string{"book": "8"}, "Traceparent")).To(Equal(Attribution{}))
	})
})
