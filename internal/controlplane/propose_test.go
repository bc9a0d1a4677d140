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

// agreeOn reports whether every running control machine reads, serves and has settled on the configuration with a
// serial.
func (f *fleet) agreeOn(serial uint64) bool {
	for i, c := range f.controllers {
		if c.server != nil && (f.newestSerial(i) != serial || c.server.configuration.Load().serial() != serial || !c.server.Settled()) {
			return false
		}
	}
	return true
}

// expectAgreement waits until every running control machine reads, serves and has settled on the configuration
// with a serial.
func (f *fleet) expectAgreement(serial uint64) {
	Expect(f.eventually(func() bool { return f.agreeOn(serial) })).To(BeTrue(), "not all have serial %d", serial)
}

// ownerIndex returns the index of the control machine that owns the configuration's register, or -1.
func (f *fleet) ownerIndex() int {
	for i, c := range f.controllers {
		if c.server != nil && c.server.core.Load().replica.Owns(ConfigurationKey) {
			return i
		}
	}
	return -1
}

var _ = ginkgo.Describe("proposing", func() {
	scenario("given a new fleet, when a configuration is proposed, then it is committed within 100 ms and every control machine serves it within 500 ms", func(f *fleet) {
		began := time.Now()
		Expect(f.commits(1, fullProposal(7, 0))).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
		began = time.Now()
		f.expectAgreement(7)
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
	})

	scenario("given two concurrent proposals on the same base at two control machines, when both are answered, then one is committed and the other is rejected as stale", func(f *fleet) {
		newest := uint64(0)
		for round := range 12 {
			type answered struct {
				p       *wire.ConfigurationProposal
				outcome *wire.ConfigurationOutcome
			}
			answers := make(chan answered, 2)
			for i := range 2 {
				p := fullProposal(newest+1+uint64(f.scope.Rand.IntN(3)), newest, fmt.Sprintf("/p%d/%d/", round, i))
				from := (round + i) % 3
				go func() { answers <- answered{p, f.proposeUntilAnswered(from, p)} }()
			}
			committed := 0
			for range 2 {
				answer := <-answers
				if answer.outcome.Kind == "" {
					committed++
					newest = answer.p.Configuration.Serial
				} else {
					Expect(answer.outcome.Kind).To(Equal(string(base.StaleBase)))
				}
			}
			Expect(committed).To(Equal(1))
		}
		f.expectAgreement(newest)
	})

	scenario("given a lost answer, when the same proposal is sent to another control machine, then it is acknowledged again, even after a newer one, and nothing changes", func(f *fleet) {
		Expect(f.commits(0, fullProposal(2, 0))).To(BeTrue())
		Expect(f.commits(1, fullProposal(2, 0))).To(BeTrue())
		Expect(f.commits(2, fullProposal(4, 2, "/b/"))).To(BeTrue())
		Expect(f.commits(1, fullProposal(2, 0))).To(BeTrue())
		Expect(f.commits(0, fullProposal(4, 2, "/b/"))).To(BeTrue())
		f.expectAgreement(4)
		rival := f.proposeUntilAnswered(0, fullProposal(4, 2, "/c/"))
		Expect(rival.Kind).To(Equal(string(base.StaleBase)), "different content under the committed serial")
	})

	scenario("given a caller that times out at a random moment, when it repeats the proposal at another control machine, then the answer agrees with the committed configuration", func(f *fleet) {
		newest := uint64(0)
		for round := range 20 {
			p := fullProposal(newest+1, newest, fmt.Sprintf("/p%d/", round))
			rival := fullProposal(newest+1, newest, fmt.Sprintf("/rival%d/", round))
			ctx, cancel := context.WithTimeout(f.scope, time.Duration(f.scope.Rand.IntN(12))*time.Millisecond)
			_, _ = f.controllers[round%3].server.Propose(ctx, p)
			cancel()
			first, second := f.proposeUntilAnswered(round+1, rival), f.proposeUntilAnswered(round+2, p)
			Expect([]string{first.Kind, second.Kind}).To(ConsistOf("", string(base.StaleBase)))
			newest++
			f.expectAgreement(newest)
		}
	})

	scenario("given an owner that loses power during a change, when the same proposal is sent to another control machine, then it is committed in time and no acknowledged change is lost", func(f *fleet) {
		Expect(f.commits(0, fullProposal(1, 0))).To(BeTrue())
		newest := uint64(1)
		for round := range 6 {
			owner := f.ownerIndex()
			Expect(owner).To(BeNumerically(">=", 0))
			p := fullProposal(newest+1, newest, fmt.Sprintf("/p%d/", round))
			go func() { _, _ = f.propose(owner, p) }()
			time.Sleep(time.Duration(f.scope.Rand.IntN(5000)) * time.Microsecond)
			f.powerLoss(owner)
			began := time.Now()
			Expect(f.proposeUntilAnswered(owner+1, p).Kind).To(BeEmpty())
			Expect(time.Since(began)).To(BeNumerically("<", 4*time.Second))
			newest++
			f.start(owner, false)
			f.expectAgreement(newest)
		}
	})

	scenario("given a change that only the owner's disk has, when the owner is down and a rival is committed, then the change stays rejected after the owner's restart", func(f *fleet) {
		Expect(f.commits(0, fullProposal(1, 0))).To(BeTrue())
		owner := f.ownerIndex()
		for i := range f.controllers {
			if i != owner {
				f.controllers[i].disk.SetFull(true)
			}
		}
		_, err := f.propose(owner, fullProposal(2, 1, "/half/"))
		Expect(err).To(HaveOccurred())
		f.kill(owner)
		for _, c := range f.controllers {
			c.disk.SetFull(false)
		}
		Expect(f.proposeUntilAnswered(owner+1, fullProposal(2, 1, "/rival/")).Kind).To(BeEmpty())
		f.start(owner, false)
		f.expectAgreement(2)
		Expect(f.proposeUntilAnswered(owner, fullProposal(2, 1, "/half/")).Kind).To(Equal(string(base.StaleBase)))
		Expect(f.proposeUntilAnswered(owner, fullProposal(2, 1, "/rival/")).Kind).To(BeEmpty())
	})

	scenario("given a change on one disk that nobody proposes again, when four seconds have passed, then a majority of control machines agrees on whether it is committed", func(f *fleet) {
		Expect(f.commits(0, fullProposal(1, 0))).To(BeTrue())
		owner := f.ownerIndex()
		for i := range f.controllers {
			if i != owner {
				f.controllers[i].disk.SetFull(true)
			}
		}
		_, err := f.propose(owner, fullProposal(2, 1, "/half/"))
		Expect(err).To(HaveOccurred())
		for _, c := range f.controllers {
			c.disk.SetFull(false)
		}
		Expect(f.eventuallyWithin(4*time.Second, func() bool {
			same, settled := 0, f.controllers[0].server.configuration.Load()
			for _, c := range f.controllers {
				if held := c.server.core.Load().replica.Accepted(ConfigurationKey); proto.Equal(held, settled.version) {
					same++
				}
				if !c.server.Settled() || c.server.configuration.Load().serial() != settled.serial() {
					return false
				}
			}
			return same >= 2
		})).To(BeTrue())
	})

	scenario("given a former owner that doesn't know of its successor, when it gets a proposal on the newest base, then it doesn't reject it as stale", func(f *fleet) {
		Expect(f.commits(0, fullProposal(1, 0))).To(BeTrue())
		owner := f.ownerIndex()
		other, third := (owner+1)%3, (owner+2)%3
		f.cut(owner, other)
		f.cut(owner, third)
		Expect(f.proposeUntilAnswered(other, fullProposal(2, 1, "/b/")).Kind).To(BeEmpty())
		f.network.HealAll()
		outcome, err := f.propose(owner, fullProposal(3, 2, "/c/"))
		if err == nil {
			Expect(outcome.Kind).To(BeEmpty())
		}
		Expect(f.proposeUntilAnswered(owner, fullProposal(3, 2, "/c/")).Kind).To(BeEmpty())
	})
})

var _ = ginkgo.Describe("invalid proposals", func() {
	scenario("given a committed configuration, when something invalid is proposed, then all its faults are reported and nothing changes", func(f *fleet) {
		Expect(f.commits(0, fullProposal(5, 0))).To(BeTrue())
		withFault := func(serial, baseSerial uint64, apply func(c *wire.Configuration)) *wire.ConfigurationProposal {
			p := fullProposal(serial, baseSerial, "/b/")
			apply(p.Configuration)
			return p
		}
		change := func(serial, baseSerial uint64, apply func(c *wire.ConfigurationChange)) *wire.ConfigurationProposal {
			c := &wire.ConfigurationChange{Serial: serial, Base: baseSerial}
			apply(c)
			return &wire.ConfigurationProposal{Change: c}
		}
		cases := []struct {
			p          *wire.ConfigurationProposal
			kind       base.Kind
			minReasons int
		}{
			{&wire.ConfigurationProposal{}, base.Malformed, 1},
			{&wire.ConfigurationProposal{Configuration: fullProposal(6, 5).Configuration, Change: &wire.ConfigurationChange{Serial: 6, Base: 5}}, base.Malformed, 1},
			{fullProposal(6, 4), base.StaleBase, 1},
			{fullProposal(6, 0), base.StaleBase, 1},
			{fullProposal(5, 5, "/b/"), base.OutOfRange, 1},
			{fullProposal(4, 5), base.OutOfRange, 1},
			{fullProposal(0, 5), base.OutOfRange, 1},
			{withFault(6, 5, func(c *wire.Configuration) { c.Routes[0].Service = serviceName("nobody") }), base.DanglingReference, 1},
			{withFault(6, 5, func(c *wire.Configuration) { c.Routes[1].Prefix = "/" }), base.Overlapping, 1},
			{withFault(6, 5, func(c *wire.Configuration) { c.Routes[1].Tries = 0 }), base.OutOfRange, 1},
			{withFault(6, 5, func(c *wire.Configuration) { c.Routes[1].Name = c.Routes[0].Name }), base.Duplicate, 1},
			{withFault(6, 5, func(c *wire.Configuration) { c.Routes[0].Service, c.Routes[1].Tries = serviceName("nobody"), 0 }), "", 2},
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
			Expect(len(outcome.Reasons)).To(BeNumerically(">=", each.minReasons), "case %d", n)
		}
		f.expectAgreement(5)
		Expect(f.commits(1, change(9, 5, func(c *wire.ConfigurationChange) { c.Routes = fullProposal(1, 0, "/new/").Configuration.Routes[1:] }))).To(BeTrue())
		f.expectAgreement(9)
		configuration, err := f.controllers[2].server.Configuration(f.scope)
		Expect(err).NotTo(HaveOccurred())
		Expect(configuration.Base).To(Equal(uint64(5)))
		Expect(configuration.Routes).To(HaveLen(2))
		Expect(proto.Equal(configuration.Limits, fullProposal(1, 0).Configuration.Limits)).To(BeTrue())
	})
})

var _ = ginkgo.Describe("partitions and disk failures", func() {
	scenario("given one control machine partitioned from the other two, when it gets proposals, then it never acknowledges one, reports that it isn't settled and keeps serving what it knows", func(f *fleet) {
		Expect(f.commits(0, fullProposal(1, 0))).To(BeTrue())
		f.expectAgreement(1)
		alone := f.scope.Rand.IntN(3)
		f.cut(alone, (alone+1)%3)
		f.cut(alone, (alone+2)%3)
		Expect(f.proposeUntilAnswered((alone+1)%3, fullProposal(2, 1, "/b/")).Kind).To(BeEmpty())
		for _, limit := range []time.Duration{time.Second, time.Second, time.Second, time.Millisecond} {
			began := time.Now()
			_, err := f.propose(alone, fullProposal(2, 1, "/c/"))
			Expect(err).To(HaveOccurred())
			Expect(time.Since(began)).To(BeNumerically("<=", limit))
			time.Sleep(time.Second)
		}
		_, err := f.controllers[alone].server.Configuration(f.scope)
		Expect(err).To(HaveOccurred(), "without a majority the newest configuration is unknown")
		reply, err := f.poll(alone, &wire.PollRequest{Wants: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Settled).To(BeFalse())
		Expect(reply.Configuration.GetSerial()).To(Equal(uint64(1)))
		reply, err = f.poll((alone+1)%3, &wire.PollRequest{Wants: true})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Settled).To(BeTrue())
		Expect(reply.Configuration.GetSerial()).To(Equal(uint64(2)))
		f.network.HealAll()
		f.expectAgreement(2)
		Expect(f.proposeUntilAnswered(alone, fullProposal(2, 1, "/c/")).Kind).To(Equal(string(base.StaleBase)))
	})

	scenario("given a control machine partitioned before the first configuration, when it is asked for the newest, then it fails instead of answering that there is none", func(f *fleet) {
		f.cut(2, 0)
		f.cut(2, 1)
		Expect(f.proposeUntilAnswered(0, fullProposal(1, 0)).Kind).To(BeEmpty())
		_, err := f.controllers[2].server.Configuration(f.scope)
		Expect(err).To(HaveOccurred())
		f.network.HealAll()
		f.expectAgreement(1)
	})

	scenario("given a stalled or full disk on the owner, when configurations are proposed at any control machine, then each is committed within a second", func(f *fleet) {
		Expect(f.commits(0, fullProposal(1, 0))).To(BeTrue())
		newest := uint64(1)
		for round, injectFault := range []func(c *controller) func(){
			func(c *controller) func() { return c.disk.Stall() },
			func(c *controller) func() { c.disk.SetFull(true); return func() { c.disk.SetFull(false) } },
		} {
			owner := f.ownerIndex()
			release := injectFault(f.controllers[owner])
			for i := range 6 {
				began := time.Now()
				Expect(f.proposeUntilAnswered(owner+i, fullProposal(newest+1, newest, fmt.Sprintf("/p%d/%d/", round, i))).Kind).To(BeEmpty())
				Expect(time.Since(began)).To(BeNumerically("<", 900*time.Millisecond), "round %d, %d", round, i)
				newest++
			}
			release()
			f.expectAgreement(newest)
		}
	})

	scenario("given a control machine with a stalled disk that isn't the owner, when it gets a proposal, then another control machine commits it", func(f *fleet) {
		Expect(f.commits(0, fullProposal(1, 0))).To(BeTrue())
		owner := f.ownerIndex()
		stalled := (owner + 1) % 3
		release := f.controllers[stalled].disk.Stall()
		defer release()
		f.kill(owner)
		began := time.Now()
		_, err := f.propose(stalled, fullProposal(2, 1))
		Expect(err).To(HaveOccurred(), "only one disk of three works")
		Expect(time.Since(began)).To(BeNumerically("<", 1200*time.Millisecond))
		f.start(owner, false)
		Expect(f.eventually(f.controllers[owner].server.Settled)).To(BeTrue())
		began = time.Now()
		Expect(f.commits(stalled, fullProposal(2, 1))).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 900*time.Millisecond))
	})

	scenario("given that all control machines lose power right after an acknowledgement, when they restart, then the acknowledged configuration is there", func(f *fleet) {
		newest := uint64(0)
		for round := range 8 {
			p := fullProposal(newest+1, newest, fmt.Sprintf("/p%d/", round))
			Expect(f.proposeUntilAnswered(round, p).Kind).To(BeEmpty())
			newest++
			next := fullProposal(newest+1, newest, fmt.Sprintf("/lost%d/", round))
			go func() { _, _ = f.propose(round%3, next) }()
			time.Sleep(time.Duration(f.scope.Rand.IntN(4000)) * time.Microsecond)
			for i := range f.controllers {
				f.powerLoss(i)
			}
			time.Sleep(time.Duration(f.scope.Rand.IntN(1000)) * time.Millisecond)
			for i := range f.controllers {
				f.start(i, false)
			}
			began := time.Now()
			Expect(f.eventually(func() bool { return f.newestSerial(round%3) >= newest })).To(BeTrue())
			Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
			newest = f.newestSerial(round % 3)
		}
		f.expectAgreement(newest)
	})
})
