package controlplane

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

func (f *fleet) agree(serial uint64) {
	Expect(f.until(func() bool {
		for i, k := range f.keels {
			if k.moor != nil && (f.newest(i) != serial || k.moor.view.Load().serial() != serial || !k.moor.Settled()) {
				return false
			}
		}
		return true
	})).To(BeTrue(), "not all have serial %d", serial)
}

func (f *fleet) owner() int {
	for i, k := range f.keels {
		if k.moor != nil && k.moor.core.Load().replica.Mine(ChartKey) {
			return i
		}
	}
	return -1
}

var _ = ginkgo.Describe("proposing", func() {
	story("given a new fleet, when a chart is proposed, then it is taken within the ack bound and every keel has it soon", func(f *fleet) {
		begun := time.Now()
		Expect(f.taken(1, whole(7, 0))).To(BeTrue())
		Expect(time.Since(begun)).To(BeNumerically("<", 100*time.Millisecond))
		begun = time.Now()
		f.agree(7)
		Expect(time.Since(begun)).To(BeNumerically("<", 500*time.Millisecond))
	})

	story("given two proposals on one base at two keels at once, when both are answered, then one is taken and the other finds its base stale", func(f *fleet) {
		on := uint64(0)
		for round := range 12 {
			type said struct {
				p       *wire.ChartProposal
				outcome *wire.ChartOutcome
			}
			answers := make(chan said, 2)
			for i := range 2 {
				p := whole(on+1+uint64(f.scope.Rand.Below(3)), on, fmt.Sprintf("/p%d/%d/", round, i))
				from := (round + i) % 3
				go func() { answers <- said{p, f.insist(from, p)} }()
			}
			taken := 0
			for range 2 {
				answer := <-answers
				if answer.outcome.Kind == "" {
					taken++
					on = answer.p.Chart.Serial
				} else {
					Expect(answer.outcome.Kind).To(Equal(string(base.StaleBase)))
				}
			}
			Expect(taken).To(Equal(1))
		}
		f.agree(on)
	})

	story("given an answer that was lost, when the same is sent to another keel, then it is taken again, also after a newer one, and nothing changes", func(f *fleet) {
		Expect(f.taken(0, whole(2, 0))).To(BeTrue())
		Expect(f.taken(1, whole(2, 0))).To(BeTrue())
		Expect(f.taken(2, whole(4, 2, "/b/"))).To(BeTrue())
		Expect(f.taken(1, whole(2, 0))).To(BeTrue())
		Expect(f.taken(0, whole(4, 2, "/b/"))).To(BeTrue())
		f.agree(4)
		rival := f.insist(0, whole(4, 2, "/c/"))
		Expect(rival.Kind).To(Equal(string(base.StaleBase)), "another content under the number that won")
	})

	story("given a caller that gives up at any moment, when it asks another keel, then the answer fits what is in force", func(f *fleet) {
		on := uint64(0)
		for round := range 20 {
			p := whole(on+1, on, fmt.Sprintf("/p%d/", round))
			rival := whole(on+1, on, fmt.Sprintf("/rival%d/", round))
			ctx, cancel := context.WithTimeout(f.scope, time.Duration(f.scope.Rand.Below(12))*time.Millisecond)
			_, _ = f.keels[round%3].moor.Propose(ctx, p)
			cancel()
			first, second := f.insist(round+1, rival), f.insist(round+2, p)
			Expect([]string{first.Kind, second.Kind}).To(ConsistOf("", string(base.StaleBase)))
			on++
			f.agree(on)
		}
	})

	story("given an owner killed in the middle of a change, when the same is sent to others, then it is answered clearly and what was acked stays", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		on := uint64(1)
		for round := range 6 {
			owner := f.owner()
			Expect(owner).To(BeNumerically(">=", 0))
			p := whole(on+1, on, fmt.Sprintf("/p%d/", round))
			go func() { _, _ = f.propose(owner, p) }()
			time.Sleep(time.Duration(f.scope.Rand.Below(5000)) * time.Microsecond)
			f.powerLoss(owner)
			begun := time.Now()
			Expect(f.insist(owner+1, p).Kind).To(BeEmpty())
			Expect(time.Since(begun)).To(BeNumerically("<", 4*time.Second))
			on++
			f.raise(owner, false)
			f.agree(on)
		}
	})

	story("given a change that only the owner's disk has, when the owner is gone, then it is taken or lost for good, never both", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		owner := f.owner()
		for i := range f.keels {
			if i != owner {
				f.keels[i].disk.Fill(true)
			}
		}
		_, err := f.propose(owner, whole(2, 1, "/half/"))
		Expect(err).To(HaveOccurred())
		f.kill(owner)
		for _, k := range f.keels {
			k.disk.Fill(false)
		}
		Expect(f.insist(owner+1, whole(2, 1, "/rival/")).Kind).To(BeEmpty())
		f.raise(owner, false)
		f.agree(2)
		Expect(f.insist(owner, whole(2, 1, "/half/")).Kind).To(Equal(string(base.StaleBase)))
		Expect(f.insist(owner, whole(2, 1, "/rival/")).Kind).To(BeEmpty())
	})

	story("given a half-written change and nobody who asks again, when a while has passed, then it is settled either way and keels agree", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		owner := f.owner()
		for i := range f.keels {
			if i != owner {
				f.keels[i].disk.Fill(true)
			}
		}
		_, err := f.propose(owner, whole(2, 1, "/half/"))
		Expect(err).To(HaveOccurred())
		for _, k := range f.keels {
			k.disk.Fill(false)
		}
		Expect(f.within(4*time.Second, func() bool {
			same, settled := 0, f.keels[0].moor.view.Load()
			for _, k := range f.keels {
				if held := k.moor.core.Load().replica.Held(ChartKey); proto.Equal(held, settled.entry) {
					same++
				}
				if !k.moor.Settled() || k.moor.view.Load().serial() != settled.serial() {
					return false
				}
			}
			return same >= 2
		})).To(BeTrue())
	})

	story("given an overtaken owner that doesn't know, when it is asked on the newest base, then it doesn't call it stale", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		owner := f.owner()
		other, third := (owner+1)%3, (owner+2)%3
		f.cut(owner, other)
		f.cut(owner, third)
		Expect(f.insist(other, whole(2, 1, "/b/")).Kind).To(BeEmpty())
		f.world.HealAll()
		outcome, err := f.propose(owner, whole(3, 2, "/c/"))
		if err == nil {
			Expect(outcome.Kind).To(BeEmpty())
		}
		Expect(f.insist(owner, whole(3, 2, "/c/")).Kind).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("what is invalid", func() {
	story("given a chart in force, when something invalid is proposed, then all its faults are told and nothing changes", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		spoil := func(serial, on uint64, how func(c *wire.Chart)) *wire.ChartProposal {
			p := whole(serial, on, "/b/")
			how(p.Chart)
			return p
		}
		change := func(serial, on uint64, how func(c *wire.ChartChange)) *wire.ChartProposal {
			c := &wire.ChartChange{Serial: serial, Base: on}
			how(c)
			return &wire.ChartProposal{Change: c}
		}
		cases := []struct {
			p    *wire.ChartProposal
			kind base.Kind
			many int
		}{
			{&wire.ChartProposal{}, base.Malformed, 1},
			{&wire.ChartProposal{Chart: whole(6, 5).Chart, Change: &wire.ChartChange{Serial: 6, Base: 5}}, base.Malformed, 1},
			{whole(6, 4), base.StaleBase, 1},
			{whole(6, 0), base.StaleBase, 1},
			{whole(5, 5, "/b/"), base.OutOfRange, 1},
			{whole(4, 5), base.OutOfRange, 1},
			{whole(0, 5), base.OutOfRange, 1},
			{spoil(6, 5, func(c *wire.Chart) { c.Routes[0].Service = service("nobody") }), base.Dangling, 1},
			{spoil(6, 5, func(c *wire.Chart) { c.Routes[1].Prefix = "/" }), base.Overlapping, 1},
			{spoil(6, 5, func(c *wire.Chart) { c.Routes[1].Tries = 0 }), base.OutOfRange, 1},
			{spoil(6, 5, func(c *wire.Chart) { c.Routes[1].Name = c.Routes[0].Name }), base.Duplicate, 1},
			{spoil(6, 5, func(c *wire.Chart) { c.Routes[0].Service, c.Routes[1].Tries = service("nobody"), 0 }), "", 2},
			{change(6, 5, func(c *wire.ChartChange) { c.DropServices = []string{"loans"} }), base.Dangling, 1},
			{change(6, 4, func(c *wire.ChartChange) { c.DropServices = []string{"loans"} }), base.StaleBase, 1},
			{change(5, 5, func(c *wire.ChartChange) {}), base.OutOfRange, 1},
		}
		for n, each := range cases {
			outcome, err := f.propose(n%3, each.p)
			Expect(err).NotTo(HaveOccurred())
			Expect(outcome.Kind).NotTo(BeEmpty(), "case %d", n)
			if each.kind != "" {
				Expect(outcome.Kind).To(Equal(string(each.kind)), "case %d: %v", n, outcome.Reasons)
			}
			Expect(len(outcome.Reasons)).To(BeNumerically(">=", each.many), "case %d", n)
		}
		f.agree(5)
		Expect(f.taken(1, change(9, 5, func(c *wire.ChartChange) { c.Routes = whole(1, 0, "/new/").Chart.Routes[1:] }))).To(BeTrue())
		f.agree(9)
		chart, err := f.keels[2].moor.Chart(f.scope)
		Expect(err).NotTo(HaveOccurred())
		Expect(chart.Base).To(Equal(uint64(5)))
		Expect(chart.Routes).To(HaveLen(2))
		Expect(proto.Equal(chart.Limits, whole(1, 0).Chart.Limits)).To(BeTrue())
	})
})

var _ = ginkgo.Describe("trouble", func() {
	story("given a core cut one from two, when the one is asked, then it never acks and says that it isn't settled, and keeps what it knows", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		f.agree(1)
		alone := f.scope.Rand.Below(3)
		f.cut(alone, (alone+1)%3)
		f.cut(alone, (alone+2)%3)
		Expect(f.insist((alone+1)%3, whole(2, 1, "/b/")).Kind).To(BeEmpty())
		for _, longest := range []time.Duration{time.Second, time.Second, time.Second, time.Millisecond} {
			begun := time.Now()
			_, err := f.propose(alone, whole(2, 1, "/c/"))
			Expect(err).To(HaveOccurred())
			Expect(time.Since(begun)).To(BeNumerically("<=", longest))
			time.Sleep(time.Second)
		}
		_, err := f.keels[alone].moor.Chart(f.scope)
		Expect(err).To(HaveOccurred(), "it can't know the newest")
		reply, err := f.hail(alone, &wire.HailRequest{Wants: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Settled).To(BeFalse())
		Expect(reply.Chart.GetSerial()).To(Equal(uint64(1)))
		reply, err = f.hail((alone+1)%3, &wire.HailRequest{Wants: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Settled).To(BeTrue())
		Expect(reply.Chart.GetSerial()).To(Equal(uint64(2)))
		f.world.HealAll()
		f.agree(2)
		Expect(f.insist(alone, whole(2, 1, "/c/")).Kind).To(Equal(string(base.StaleBase)))
	})

	story("given a keel cut off before the first chart, when it is asked for the newest, then it doesn't say that there is none", func(f *fleet) {
		f.cut(2, 0)
		f.cut(2, 1)
		Expect(f.insist(0, whole(1, 0)).Kind).To(BeEmpty())
		_, err := f.keels[2].moor.Chart(f.scope)
		Expect(err).To(HaveOccurred())
		f.world.HealAll()
		f.agree(1)
	})

	story("given a stalled or full disk on the owner, when charts are proposed at any keel, then they are taken in a second each", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		on := uint64(1)
		for round, trouble := range []func(k *keel) func(){
			func(k *keel) func() { return k.disk.Stall() },
			func(k *keel) func() { k.disk.Fill(true); return func() { k.disk.Fill(false) } },
		} {
			owner := f.owner()
			release := trouble(f.keels[owner])
			for i := range 6 {
				begun := time.Now()
				Expect(f.insist(owner+i, whole(on+1, on, fmt.Sprintf("/p%d/%d/", round, i))).Kind).To(BeEmpty())
				Expect(time.Since(begun)).To(BeNumerically("<", 900*time.Millisecond), "round %d, %d", round, i)
				on++
			}
			release()
			f.agree(on)
		}
	})

	story("given a stalled disk on a keel that owns nothing, when it alone is asked, then another keel does it", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		owner := f.owner()
		asked := (owner + 1) % 3
		release := f.keels[asked].disk.Stall()
		defer release()
		f.kill(owner)
		begun := time.Now()
		_, err := f.propose(asked, whole(2, 1))
		Expect(err).To(HaveOccurred(), "one disk of three")
		Expect(time.Since(begun)).To(BeNumerically("<", 1200*time.Millisecond))
		f.raise(owner, false)
		Expect(f.until(f.keels[owner].moor.Settled)).To(BeTrue())
		begun = time.Now()
		Expect(f.taken(asked, whole(2, 1))).To(BeTrue())
		Expect(time.Since(begun)).To(BeNumerically("<", 900*time.Millisecond))
	})

	story("given that all lose power right after an ack, when they are back, then the acked chart is there", func(f *fleet) {
		on := uint64(0)
		for round := range 8 {
			p := whole(on+1, on, fmt.Sprintf("/p%d/", round))
			Expect(f.insist(round, p).Kind).To(BeEmpty())
			on++
			next := whole(on+1, on, fmt.Sprintf("/lost%d/", round))
			go func() { _, _ = f.propose(round%3, next) }()
			time.Sleep(time.Duration(f.scope.Rand.Below(4000)) * time.Microsecond)
			for i := range f.keels {
				f.powerLoss(i)
			}
			time.Sleep(time.Duration(f.scope.Rand.Below(1000)) * time.Millisecond)
			for i := range f.keels {
				f.raise(i, false)
			}
			begun := time.Now()
			Expect(f.until(func() bool { return f.newest(round%3) >= on })).To(BeTrue())
			Expect(time.Since(begun)).To(BeNumerically("<", 3*time.Second))
			on = f.newest(round % 3)
		}
		f.agree(on)
	})
})
