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
	ginkgo.It("given overlapping and stray intervals, when united, then nothing counts twice", func() {
		ms := func(from, till int) interval {
			return interval{time.Duration(from) * time.Millisecond, time.Duration(till) * time.Millisecond}
		}
		Expect(union([]interval{ms(20, 40), ms(10, 30), ms(35, 38), ms(90, 200), ms(-5, 2)}, 0, 100*time.Millisecond)).To(Equal(42 * time.Millisecond))
	})
})

func further(keys ...*wire.KeyMatch) bundle.RouteMatch {
	return bundle.RouteMatch{Service: &wire.Service{Name: "lending"}, Route: &wire.Route{Name: "borrow", Further: []*wire.Further{{Service: "catalogue", Route: "count", Keys: keys}}}}
}

var _ = ginkgo.Describe("tying further calls to parents", func() {
	child := bundle.RouteMatch{Service: &wire.Service{Name: "catalogue"}, Route: &wire.Route{Name: "count"}}
	aloft := func(t *CallTracker, span string, way bundle.RouteMatch, book string) *callInProgress {
		f := &callInProgress{span: span, way: way, seat: &instance{}, trail: &wire.Trail{Trace: "t" + span}, fields: func(string) string { return book }}
		t.Begin(f)
		return f
	}
	call := func(header string) *http.Request {
		r := httptest.NewRequest("GET", "/count/7", nil)
		r.Header.Set("Traceparent", header)
		return r
	}
	key := &wire.KeyMatch{Parent: "path:book", Child: "path:book"}

	ginkgo.It("given the header passed on, when several are in flight, then the parent is exact", func() {
		t := NewCallTracker(simnet.NewClock(time.Now()))
		aloft(t, "aaaa", further(), "7")
		aloft(t, "bbbb", further(), "7")
		Expect(t.FindParent(call("00-x-bbbb-01"), child, nil, "Traceparent").Parent.span).To(Equal("bbbb"))
	})
	ginkgo.It("given equal key fields, when several are in flight, then the one candidate is the parent", func() {
		t := NewCallTracker(simnet.NewClock(time.Now()))
		aloft(t, "aaaa", further(key), "7")
		aloft(t, "bbbb", further(key), "8")
		tie := t.FindParent(call(""), child, map[string]string{"book": "8"}, "Traceparent")
		Expect(tie.Parent.span).To(Equal("bbbb"))
	})
	ginkgo.It("given two candidates, when a call comes, then it is ambiguous and never guessed", func() {
		t := NewCallTracker(simnet.NewClock(time.Now()))
		one, two := aloft(t, "aaaa", further(), "7"), aloft(t, "bbbb", further(), "7")
		tie := t.FindParent(call(""), child, nil, "Traceparent")
		Expect(tie.Certain).To(BeFalse())
		Expect(tie.Candidates).To(Equal([]string{"aaaa", "bbbb"}))
		_, uncertain := t.End(one)
		Expect(uncertain).To(BeTrue())
		t.End(two)
		Expect(t.FindParent(call(""), child, nil, "Traceparent")).To(Equal(Attribution{}))
	})
	ginkgo.It("given a route whose further calls would be ambiguous, when two come, then they are kept apart unless told otherwise", func() {
		bubble(func(s base.Scope) {
			t := NewCallTracker(s.Clock)
			way := further()
			leave, fault := t.Serialize(s, &callInProgress{way: way, seat: &instance{}}, s.Clock.Mono()+time.Minute, true)
			Expect(fault).To(BeNil())
			hurried, cancel := s.WithTimeout(time.Second)
			defer cancel()
			_, fault = t.Serialize(hurried, &callInProgress{way: way, seat: &instance{}}, s.Clock.Mono()+time.Minute, true)
			Expect(fault.Kind).To(Equal(base.Expired))
			begun := s.Clock.Mono()
			_, fault = t.Serialize(s, &callInProgress{way: way, seat: &instance{}}, begun+time.Minute, false)
			Expect(fault.Kind).To(Equal(base.Contended), "who may still go elsewhere is turned back at once")
			Expect(s.Clock.Mono()).To(Equal(begun))
			together := further()
			together.Route.Together = true
			free, fault := t.Serialize(s, &callInProgress{way: together, seat: &instance{}}, s.Clock.Mono()+time.Minute, true)
			Expect(fault).To(BeNil())
			free()
			passing, fault := t.Serialize(s, &callInProgress{way: way, seat: &instance{passes: true}}, s.Clock.Mono()+time.Minute, true)
			Expect(fault).To(BeNil())
			passing()
			leave()
			again, fault := t.Serialize(s, &callInProgress{way: way, seat: &instance{}}, s.Clock.Mono()+time.Minute, true)
			Expect(fault).To(BeNil())
			time.Sleep(time.Second)
			again()
			held, fault := t.Serialize(s, &callInProgress{way: way, seat: &instance{}}, s.Clock.Mono()+time.Minute, true)
			Expect(fault).To(BeNil())
			_, fault = t.Serialize(s, &callInProgress{way: way, seat: &instance{}}, s.Clock.Mono()+100*time.Millisecond, true)
			Expect(fault.Kind).To(Equal(base.Contended), "a wait that can't end in time is turned back at once")
			held()
			Expect(t.apart).To(BeEmpty(), "nothing is kept for keys no longer waited for")
		})
	})
	ginkgo.It("given a further call declared to come once, when it has arrived, then the next has the turn and its call is the only candidate's", func() {
		bubble(func(s base.Scope) {
			t := NewCallTracker(s.Clock)
			way := further()
			way.Route.Further[0].Most = 1
			first := &callInProgress{way: way, seat: &instance{}, span: "aaaa", fields: func(string) string { return "" }}
			second := &callInProgress{way: way, seat: &instance{}, span: "bbbb", fields: func(string) string { return "" }}
			leave, fault := t.Serialize(s, first, s.Clock.Mono()+time.Minute, true)
			Expect(fault).To(BeNil())
			t.Begin(first)
			Expect(t.FindParent(call(""), child, nil, "Traceparent").Parent.span).To(Equal("aaaa"))
			next, fault := t.Serialize(s, second, s.Clock.Mono()+time.Second, true)
			Expect(fault).To(BeNil())
			t.Begin(second)
			Expect(t.FindParent(call(""), child, nil, "Traceparent").Parent.span).To(Equal("bbbb"))
			Expect(t.FindParent(call(""), child, nil, "Traceparent")).To(Equal(Attribution{}), "a call beyond what was declared is tied to nobody")
			leave()
			next()
		})
	})
	ginkgo.It("given one request in flight, when a call of another key comes, then it is not tied to it by accident", func() {
		t := NewCallTracker(simnet.NewClock(time.Now()))
		aloft(t, "aaaa", further(key), "7")
		Expect(t.FindParent(call(""), child, map[string]string{"book": "8"}, "Traceparent")).To(Equal(Attribution{}))
	})
})
