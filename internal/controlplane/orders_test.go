package controlplane

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/proto/wire"
)

func partial(serial, on uint64, prefix string) *wire.ConfigurationProposal {
	return &wire.ConfigurationProposal{Change: &wire.ConfigurationChange{Serial: serial, Base: on, Routes: []*wire.ConfigurationRoute{
		{Name: "r-partial", Host: "b.example", Prefix: prefix, CutoffMs: 2000, AimMs: 500, Tries: 2, Service: service("loans")},
	}}}
}

// climb has orders taken one on top of the other.
func (f *fleet) climb(from, to uint64) {
	for serial := from; serial <= to; serial++ {
		Expect(f.insist(int(serial)%len(f.controllers), partial(serial, serial-1, fmt.Sprintf("/p%d/", serial))).Kind).To(BeEmpty())
	}
}

var _ = ginkgo.Describe("an order that is sent again", func() {
	story("given hundreds of later orders, when an old one is sent again anywhere, then it is acknowledged again and nothing changes", func(f *fleet) {
		first := whole(1, 0)
		Expect(f.taken(0, first)).To(BeTrue())
		f.climb(2, 300)
		for i := range f.controllers {
			Expect(f.insist(i, first).Kind).To(BeEmpty())
			Expect(f.insist(i, partial(2, 1, "/p2/")).Kind).To(BeEmpty())
			Expect(f.insist(i, partial(2, 1, "/other/")).Kind).To(Equal(string(base.StaleBase)), "another order under the same number lost")
		}
		f.agree(300)
	})

	story("given an order taken, when every member has been wiped in turn, then it is still known", func(f *fleet) {
		first := whole(1, 0)
		Expect(f.taken(0, first)).To(BeTrue())
		f.climb(2, 80)
		for i := range f.controllers {
			f.wipe(i)
			f.raise(i, false)
			f.agree(80)
		}
		for i := range f.controllers {
			Expect(f.insist(i, first).Kind).To(BeEmpty())
			Expect(f.insist(i, whole(1, 0, "/rival/")).Kind).To(Equal(string(base.StaleBase)))
		}
	})

	story("given eight operators on one base and one number, when each answer is lost once, then one is taken and the others are told so", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		on := uint64(1)
		for round := range 6 {
			kinds := make(chan string, 8)
			begun := time.Now()
			for each := range 8 {
				p := partial(on+1, on, fmt.Sprintf("/round%d/%d/", round, each))
				if each%2 == 1 {
					p = whole(on+1, on, fmt.Sprintf("/round%d/%d/", round, each))
				}
				go func() {
					_, _ = f.propose((each+1)%3, p)
					kinds <- f.insist(each%3, p).Kind
				}()
			}
			won := 0
			for range 8 {
				if kind := <-kinds; kind == "" {
					won++
				} else {
					Expect(kind).To(Equal(string(base.StaleBase)))
				}
			}
			Expect(won).To(Equal(1))
			Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
			on++
		}
		f.agree(on)
	})
})

var _ = ginkgo.Describe("the orders remembered", func() {
	head := func(orders int) *wire.ConfigurationHead {
		head := &wire.ConfigurationHead{}
		for serial := range uint64(orders) {
			head = &wire.ConfigurationHead{Orders: remember(head, order{10 + 2*serial, serial})}
		}
		return head
	}

	ginkgo.It("given as many as are kept, when the oldest comes again, then it is known, and an unseen one beneath it is not called taken", func() {
		full := head(ordersRemembered)
		Expect(lookUp(full, order{10, 0})).To(Equal(taken))
		Expect(lookUp(full, order{10, 1})).To(Equal(unseen))
		Expect(lookUp(full, order{9, 0})).To(Equal(unseen))
	})

	ginkgo.It("given one more than are kept, when the oldest comes again, then nobody claims to know", func() {
		over := head(ordersRemembered + 1)
		Expect(lookUp(over, order{10, 0})).To(Equal(forgotten))
		Expect(lookUp(over, order{10, 7})).To(Equal(forgotten))
		Expect(lookUp(over, order{12, 1})).To(Equal(taken))
		Expect(lookUp(over, order{13, 1})).To(Equal(unseen))
		Expect(over.Orders.Serials).To(HaveLen(ordersRemembered))
	})

	ginkgo.It("given the edge, when a forgotten order is judged, then there is no clear answer, and a newer stale one is refused", func() {
		over := head(ordersRemembered + 1)
		over.Configuration = &wire.Configuration{Serial: over.Orders.Serials[ordersRemembered-1]}
		next, outcome := decideOrder(over, whole(10, 0))
		Expect(next).To(BeNil())
		Expect(outcome).To(BeNil())
		_, outcome = decideOrder(over, whole(15, 14))
		Expect(outcome.Kind).To(Equal(string(base.StaleBase)))
	})

	ginkgo.It("given a head of the version before the last, when an order in its marks comes again, then it is known", func() {
		p := whole(7, 0)
		old := &wire.ConfigurationHead{Configuration: p.Configuration, Marks: []*wire.ConfigurationMark{{Serial: 7, Digest: config.Digest(p)}}}
		Expect(lookUp(old, orderOf(p))).To(Equal(taken))
		Expect(lookUp(old, orderOf(whole(6, 0)))).To(Equal(unseen))
	})
})
