package config

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("a route", func() {
	ginkgo.It("given weights, when services are picked evenly, then each gets its part and one of no weight gets none", func() {
		r := NewRoute(&wire.ConfigurationRoute{Destinations: []*wire.Destination{{Service: "none"}, {Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "last"}}})
		got := map[string]int{}
		for i := range 1000 {
			got[r.PickService(float64(i)/1000)]++
		}
		Expect(got).To(Equal(map[string]int{"a": 900, "b": 100}))
		Expect(r.PickService(1)).To(Equal("b"))
		Expect(r.RoutesTo("a")).To(BeTrue())
		Expect(r.RoutesTo("none")).To(BeFalse())
	})
	ginkgo.It("given one service, when it is asked, then that is picked and its figures are told", func() {
		r := NewRoute(example().Routes[1])
		Expect(r.PickService(0.99)).To(Equal("ledger"))
		Expect(r.RoutesTo("desk")).To(BeFalse())
		Expect(r.Name()).To(Equal("loan"))
		Expect(r.Timeout()).To(Equal(4 * time.Second))
		Expect(r.LatencyTarget()).To(Equal(600 * time.Millisecond))
		Expect(r.MaxAttempts()).To(Equal(2))
		Expect(r.Repeatable()).To(BeFalse())
	})
	ginkgo.It("given each kind, when it is asked, then only what may be repeated is", func() {
		of := func(kind wire.Repeat) *Route { return NewRoute(&wire.ConfigurationRoute{Repeat: kind}) }
		Expect(of(wire.Repeat_REPEATABLE).Repeatable()).To(BeTrue())
		Expect(of(wire.Repeat_REPEATABLE).Bulk()).To(BeFalse())
		Expect(of(wire.Repeat_BULK).Repeatable()).To(BeTrue())
		Expect(of(wire.Repeat_BULK).Bulk()).To(BeTrue())
		Expect(of(wire.Repeat_ONCE).PickService(0)).To(BeEmpty())
	})
	ginkgo.It("given a cutoff beyond all bounds, when it is asked, then it stays a span", func() {
		Expect(NewRoute(&wire.ConfigurationRoute{CutoffMs: 1e300}).Timeout()).To(Equal(longest))
	})
})
