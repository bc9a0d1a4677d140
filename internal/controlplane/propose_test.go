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
		for i, k := range f.controllers {
			if k.server != nil && (f.newest(i) != serial || k.server.view.Load().serial() != serial || !k.server.Settled()) {
				return false
			}
		}
		return true
	})).To(BeTrue(), "not all have serial %d", serial)
}

func (f *fleet) owner() int {
	for i, k := range f.controllers {
		if k.server != nil && k.server.core.Load().replica.Owns(ConfigurationKey) {
			return i
		}
	}
	return -1
}

var _ = ginkgo.Describe("proposing", func() {
	story("given a new fleet, when a configuration is proposed, then it is taken within the ack bound and every control machine has it soon", func(f *fleet) {
		begun := time.Now()
		Expect(f.taken(1, whole(7, 0))).To(BeTrue())
		Expect(time.Since(begun)).To(BeNumerically("<", 100*time.Millisecond))
		begun = time.Now()
		f.agree(7)
		Expect(time.Since(begun)).To(BeNumerically("<", 500*time.Millisecond))
	})

	story("given two proposals on one base at two control machines at once, when both are answered, then one is taken and the other finds its base stale", func(f *fleet) {
		on := uint64(0)
		for round := range 12 {
			type said struct {
				p       *wire.ConfigurationProposal
				outcome *wire.ConfigurationOutcome
			}
			answers := make(chan said, 2)
			for i := range 2 {
				p := whole(on+1+uint64(f.scope.Rand.IntN(3)), on, fmt.Sprintf("/p%d/%d/", round, i))
				from := (round + i) % 3
				go func() { answers <- said{p, f.insist(from, p)} }()
			}
			taken := 0
			for range 2 {
				answer := <-answers
				if answer.outcome.Kind == "" {
					taken++
					on = answer.p.Configuration.Serial
				} else {
					Expect(answer.outcome.Kind).To(Equal(string(base.StaleBase)))
				}
			}
			Expect(taken).To(Equal(1))
		}
		f.agree(on)
	})

	story("given an answer that was lost, when the same is sent to another control machine, then it is taken again, also after a newer one, and nothing changes", func(f *fleet) {
		Expect(f.taken(0, whole(2, 0))).To(BeTrue())
		Expect(f.taken(1, whole(2, 0))).To(BeTrue())
		Expect(f.taken(2, whole(4, 2, "/b/"))).To(BeTrue())
		Expect(f.taken(1, whole(2, 0))).To(BeTrue())
		Expect(f.taken(0, whole(4, 2, "/b/"))).To(BeTrue())
		f.agree(4)
		rival := f.insist(0, whole(4, 2, "/c/"))
		Expect(rival.Kind).To(Equal(string(base.StaleBase)), "another content under the number that won")
	})

	story("given a caller that gives up at any moment, when it asks another control machine, then the answer fits what is in force", func(f *fleet) {
		on := uint64(0)
		for round := range 20 {
			p := whole(on+1, on, fmt.Sprintf("/p%d/", round))
			rival := whole(on+1, on, fmt.Sprintf("/rival%d/", round))
			ctx, cancel := context.WithTimeout(f.scope, time.Duration(f.scope.Rand.IntN(12))*time.Millisecond)
			_, _ = f.controllers[round%3].server.Propose(ctx, p)
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
			time.Sleep(time.Duration(f.scope.Rand.IntN(5000)) * time.Microsecond)
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
		for i := range f.controllers {
			if i != owner {
				f.controllers[i].disk.SetFull(true)
			}
		}
		_, err := f.propose(owner, whole(2, 1, "/half/"))
		Expect(err).To(HaveOccurred())
		f.kill(owner)
		for _, k := range f.controllers {
			k.disk.SetFull(false)
		}
		Expect(f.insist(owner+1, whole(2, 1, "/rival/")).Kind).To(BeEmpty())
		f.raise(owner, false)
		f.agree(2)
		Expect(f.insist(owner, whole(2, 1, "/half/")).Kind).To(Equal(string(base.StaleBase)))
		Expect(f.insist(owner, whole(2, 1, "/rival/")).Kind).To(BeEmpty())
	})

	story("given a half-written change and nobody who asks again, when a while has passed, then it is settled either way and control machines agree", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		owner := f.owner()
		for i := range f.controllers {
			if i != owner {
				f.controllers[i].disk.SetFull(true)
			}
		}
		_, err := f.propose(owner, whole(2, 1, "/half/"))
		Expect(err).To(HaveOccurred())
		for _, k := range f.controllers {
			k.disk.SetFull(false)
		}
		Expect(f.within(4*time.Second, func() bool {
			same, settled := 0, f.controllers[0].server.view.Load()
			for _, k := range f.controllers {
				if held := k.server.core.Load().replica.Accepted(ConfigurationKey); proto.Equal(held, settled.entry) {
					same++
				}
				if !k.server.Settled() || k.server.view.Load().serial() != settled.serial() {
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
	story("given a configuration in force, when something invalid is proposed, then all its faults are told and nothing changes", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		spoil := func(serial, on uint64, how func(c *wire.Configuration)) *wire.ConfigurationProposal {
			p := whole(serial, on, "/b/")
			how(p.Configuration)
			return p
		}
		change := func(serial, on uint64, how func(c *wire.ConfigurationChange)) *wire.ConfigurationProposal {
			c := &wire.ConfigurationChange{Serial: serial, Base: on}
			how(c)
			return &wire.ConfigurationProposal{Change: c}
		}
		cases := []struct {
			p    *wire.ConfigurationProposal
			kind base.Kind
			many int
		}{
			{&wire.ConfigurationProposal{}, base.Malformed, 1},
			{&wire.ConfigurationProposal{Configuration: whole(6, 5).Configuration, Change: &wire.ConfigurationChange{Serial: 6, Base: 5}}, base.Malformed, 1},
			{whole(6, 4), base.StaleBase, 1},
			{whole(6, 0), base.StaleBase, 1},
			{whole(5, 5, "/b/"), base.OutOfRange, 1},
			{whole(4, 5), base.OutOfRange, 1},
			{whole(0, 5), base.OutOfRange, 1},
			{spoil(6, 5, func(c *wire.Configuration) { c.Routes[0].Service = service("nobody") }), base.DanglingReference, 1},
			{spoil(6, 5, func(c *wire.Configuration) { c.Routes[1].Prefix = "/" }), base.Overlapping, 1},
			{spoil(6, 5, func(c *wire.Configuration) { c.Routes[1].Tries = 0 }), base.OutOfRange, 1},
			{spoil(6, 5, func(c *wire.Configuration) { c.Routes[1].Name = c.Routes[0].Name }), base.Duplicate, 1},
			{spoil(6, 5, func(c *wire.Configuration) { c.Routes[0].Service, c.Routes[1].Tries = service("nobody"), 0 }), "", 2},
			{change(6, 5, func(c *wire.ConfigurationChange) { c.DropServices = []string{"loans"} }), base.DanglingReference, 1},
			{change(6, 4, func(c *wire.ConfigurationChange) { c.DropServices = []string{"loans"} }), base.StaleBase, 1},
			{change(5, 5, func(c *wire.ConfigurationChange) {}), base.OutOfRange, 1},
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
		Expect(f.taken(1, change(9, 5, func(c *wire.ConfigurationChange) { c.Routes = whole(1, 0, "/new/").Configuration.Routes[1:] }))).To(BeTrue())
		f.agree(9)
		configuration, err := f.controllers[2].server.Configuration(f.scope)
		Expect(err).NotTo(HaveOccurred())
		Expect(configuration.Base).To(Equal(uint64(5)))
		Expect(configuration.Routes).To(HaveLen(2))
		Expect(proto.Equal(configuration.Limits, whole(1, 0).Configuration.Limits)).To(BeTrue())
	})
})

var _ = ginkgo.Describe("trouble", func() {
	story("given a core cut one from two, when the one is asked, then it never acks and says that it isn't settled, and keeps what it knows", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		f.agree(1)
		alone := f.scope.Rand.IntN(3)
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
		_, err := f.controllers[alone].server.Configuration(f.scope)
		Expect(err).To(HaveOccurred(), "it can't know the newest")
		reply, err := f.poll(alone, &wire.PollRequest{Wants: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Settled).To(BeFalse())
		Expect(reply.Configuration.GetSerial()).To(Equal(uint64(1)))
		reply, err = f.poll((alone+1)%3, &wire.PollRequest{Wants: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Settled).To(BeTrue())
		Expect(reply.Configuration.GetSerial()).To(Equal(uint64(2)))
		f.world.HealAll()
		f.agree(2)
		Expect(f.insist(alone, whole(2, 1, "/c/")).Kind).To(Equal(string(base.StaleBase)))
	})

	story("given a control machine cut off before the first configuration, when it is asked for the newest, then it doesn't say that there is none", func(f *fleet) {
		f.cut(2, 0)
		f.cut(2, 1)
		Expect(f.insist(0, whole(1, 0)).Kind).To(BeEmpty())
		_, err := f.controllers[2].server.Configuration(f.scope)
		Expect(err).To(HaveOccurred())
		f.world.HealAll()
		f.agree(1)
	})

	story("given a stalled or full disk on the owner, when configurations are proposed at any control machine, then they are taken in a second each", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		on := uint64(1)
		for round, trouble := range []func(k *controller) func(){
			func(k *controller) func() { return k.disk.Stall() },
			func(k *controller) func() { k.disk.SetFull(true); return func() { k.disk.SetFull(false) } },
		} {
			owner := f.owner()
			release := trouble(f.controllers[owner])
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

	story("given a stalled disk on a control machine that owns nothing, when it alone is asked, then another control machine does it", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		owner := f.owner()
		asked := (owner + 1) % 3
		release := f.controllers[asked].disk.Stall()
		defer release()
		f.kill(owner)
		begun := time.Now()
		_, err := f.propose(asked, whole(2, 1))
		Expect(err).To(HaveOccurred(), "one disk of three")
		Expect(time.Since(begun)).To(BeNumerically("<", 1200*time.Millisecond))
		f.raise(owner, false)
		Expect(f.until(f.controllers[owner].server.Settled)).To(BeTrue())
		begun = time.Now()
		Expect(f.taken(asked, whole(2, 1))).To(BeTrue())
		Expect(time.Since(begun)).To(BeNumerically("<", 900*time.Millisecond))
	})

	story("given that all lose power right after an ack, when they are back, then the acked configuration is there", func(f *fleet) {
		on := uint64(0)
		for round := range 8 {
			p := whole(on+1, on, fmt.Sprintf("/p%d/", round))
			Expect(f.insist(round, p).Kind).To(BeEmpty())
			on++
			next := whole(on+1, on, fmt.Sprintf("/lost%d/", round))
			go func() { _, _ = f.propose(round%3, next) }()
			time.Sleep(time.Duration(f.scope.Rand.IntN(4000)) * time.Microsecond)
			for i := range f.controllers {
				f.powerLoss(i)
			}
			time.Sleep(time.Duration(f.scope.Rand.IntN(1000)) * time.Millisecond)
			for i := range f.controllers {
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
