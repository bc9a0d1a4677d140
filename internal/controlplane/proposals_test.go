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

// changeProposal proposes to add or replace one route.
func changeProposal(serial, baseSerial uint64, prefix string) *wire.ConfigurationProposal {
	return &wire.ConfigurationProposal{Change: &wire.ConfigurationChange{Serial: serial, Base: baseSerial, Routes: []*wire.ConfigurationRoute{
		{Name: "r-partial", Host: "b.example", Prefix: prefix, CutoffMs: 2000, AimMs: 500, Tries: 2, Service: serviceName("loans")},
	}}}
}

// commitRange commits one change for each serial of a range, each based on the one before.
func (f *fleet) commitRange(from, to uint64) {
	for serial := from; serial <= to; serial++ {
		Expect(f.proposeUntilAnswered(int(serial)%len(f.controllers), changeProposal(serial, serial-1, fmt.Sprintf("/p%d/", serial))).Kind).To(BeEmpty())
	}
}

var _ = ginkgo.Describe("a proposal that is sent again", func() {
	scenario("given hundreds of later proposals, when an old one is sent again to any control machine, then it is acknowledged again and nothing changes", func(f *fleet) {
		first := fullProposal(1, 0)
		Expect(f.commits(0, first)).To(BeTrue())
		f.commitRange(2, 300)
		for i := range f.controllers {
			Expect(f.proposeUntilAnswered(i, first).Kind).To(BeEmpty())
			Expect(f.proposeUntilAnswered(i, changeProposal(2, 1, "/p2/")).Kind).To(BeEmpty())
			Expect(f.proposeUntilAnswered(i, changeProposal(2, 1, "/other/")).Kind).To(Equal(string(base.StaleBase)), "another proposal with the same serial was rejected")
		}
		f.expectAgreement(300)
	})

	scenario("given a committed proposal, when every control machine has been wiped in turn, then the proposal is still known", func(f *fleet) {
		first := fullProposal(1, 0)
		Expect(f.commits(0, first)).To(BeTrue())
		f.commitRange(2, 80)
		for i := range f.controllers {
			f.wipe(i)
			f.start(i, false)
			f.expectAgreement(80)
		}
		for i := range f.controllers {
			Expect(f.proposeUntilAnswered(i, first).Kind).To(BeEmpty())
			Expect(f.proposeUntilAnswered(i, fullProposal(1, 0, "/rival/")).Kind).To(Equal(string(base.StaleBase)))
		}
	})

	scenario("given eight operators that propose the same serial on the same base, when each answer is lost once, then one proposal is committed and the others are rejected as stale", func(f *fleet) {
		Expect(f.commits(0, fullProposal(1, 0))).To(BeTrue())
		newest := uint64(1)
		for round := range 6 {
			kinds := make(chan string, 8)
			began := time.Now()
			for each := range 8 {
				p := changeProposal(newest+1, newest, fmt.Sprintf("/round%d/%d/", round, each))
				if each%2 == 1 {
					p = fullProposal(newest+1, newest, fmt.Sprintf("/round%d/%d/", round, each))
				}
				go func() {
					_, _ = f.propose((each+1)%3, p)
					kinds <- f.proposeUntilAnswered(each%3, p).Kind
				}()
			}
			committed := 0
			for range 8 {
				if kind := <-kinds; kind == "" {
					committed++
				} else {
					Expect(kind).To(Equal(string(base.StaleBase)))
				}
			}
			Expect(committed).To(Equal(1))
			Expect(time.Since(began)).To(BeNumerically("<", time.Second))
			newest++
		}
		f.expectAgreement(newest)
	})
})

var _ = ginkgo.Describe("the remembered proposals", func() {
	head := func(orders int) *wire.ConfigurationHead {
		head := &wire.ConfigurationHead{}
		for serial := range uint64(orders) {
			head = &wire.ConfigurationHead{Orders: rememberProposal(head, proposalID{10 + 2*serial, serial})}
		}
		return head
	}

	ginkgo.It("given as many proposals as are remembered, when the oldest is looked up, then it is known, and unknown ones with the same or a lower serial are not taken for committed", func() {
		full := head(maxRememberedProposals)
		Expect(lookUpProposal(full, proposalID{10, 0})).To(Equal(committed))
		Expect(lookUpProposal(full, proposalID{10, 1})).To(Equal(notCommitted))
		Expect(lookUpProposal(full, proposalID{9, 0})).To(Equal(notCommitted))
	})

	ginkgo.It("given more proposals than are remembered, when the oldest is looked up, then its state is unknown", func() {
		over := head(maxRememberedProposals + 1)
		Expect(lookUpProposal(over, proposalID{10, 0})).To(Equal(forgotten))
		Expect(lookUpProposal(over, proposalID{10, 7})).To(Equal(forgotten))
		Expect(lookUpProposal(over, proposalID{12, 1})).To(Equal(committed))
		Expect(lookUpProposal(over, proposalID{13, 1})).To(Equal(notCommitted))
		Expect(over.Orders.Serials).To(HaveLen(maxRememberedProposals))
	})

	ginkgo.It("given more proposals than are remembered, when a forgotten one is decided, then there is no outcome, and a newer one on a stale base is rejected", func() {
		over := head(maxRememberedProposals + 1)
		over.Configuration = &wire.Configuration{Serial: over.Orders.Serials[maxRememberedProposals-1]}
		next, outcome := decideProposal(over, fullProposal(10, 0))
		Expect(next).To(BeNil())
		Expect(outcome).To(BeNil())
		_, outcome = decideProposal(over, fullProposal(15, 14))
		Expect(outcome.Kind).To(Equal(string(base.StaleBase)))
	})

	ginkgo.It("given a head written by the version before the last, when a proposal in its marks is looked up, then it is known", func() {
		p := fullProposal(7, 0)
		old := &wire.ConfigurationHead{Configuration: p.Configuration, Marks: []*wire.ConfigurationMark{{Serial: 7, Digest: config.Digest(p)}}}
		Expect(lookUpProposal(old, proposalIDOf(p))).To(Equal(committed))
		Expect(lookUpProposal(old, proposalIDOf(fullProposal(6, 0)))).To(Equal(notCommitted))
	})
})
