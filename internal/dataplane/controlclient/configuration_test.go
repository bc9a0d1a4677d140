package controlclient

import (
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("a node's first configuration", func() {
	// serials notes every configuration that a node has in force, until the time is over.
	serials := func(n *node, longest time.Duration) (seen []uint64) {
		for began := time.Now(); time.Since(began) < longest; time.Sleep(time.Millisecond) {
			if now := n.Serial(); len(seen) == 0 || seen[len(seen)-1] != now {
				seen = append(seen, now)
			}
		}
		return seen
	}

	story("given a majority, when a node starts, then its first configuration is confirmed within a few round trips", func(s *stand) {
		n := s.node(1, addresses(s.controls(3)))
		Expect(s.WaitUntil(time.Second, n.Confirmed)).To(BeNumerically("<", 30*time.Millisecond))
		Expect(n.Ready()).To(BeTrue())
		Expect(n.Confirmed()).To(BeTrue())
	})

	story("given 620 routes, 80 peers and a link of 0.25 Mbit/s, when a node starts beside four control machines, then its first configuration is confirmed before it would serve an unconfirmed one", func(s *stand) {
		all := s.controls(4)
		for _, c := range all {
			c.set(func() { c.routes, c.peers = 620, 80 })
		}
		s.World.SetBandwidth("10.9.1.1", 0.25e6/8)
		n := s.node(1, addresses(all))
		Expect(s.WaitUntil(30*time.Second, n.Confirmed)).To(BeNumerically("<", contact/2))
		Expect(n.Table().Configuration().Routes).To(HaveLen(623))
	})

	story("given 620 routes and a link of 0.5 Mbit/s, when the configuration changes, then it is in force within the bound", func(s *stand) {
		all := s.controls(3)
		for _, c := range all {
			c.set(func() { c.routes = 620 })
		}
		s.World.SetBandwidth("10.9.1.1", 0.5e6/8)
		n := s.node(1, addresses(all))
		s.WaitUntil(10*time.Second, n.Confirmed)
		time.Sleep(5 * time.Second)
		raise(7, all...)
		Expect(s.WaitUntil(30*time.Second, func() bool { return n.Serial() == 7 })).To(BeNumerically("<", inForce/4))
	})

	story("given one that is cut off and answers first, when a node starts beside it, then it waits for the confirmed configuration of another", func(s *stand) {
		all := s.controls(3)
		cutOff(all[0])
		raise(7, all[1:]...)
		for _, c := range all[1:] {
			c.set(func() { c.freeze = 700 * time.Millisecond })
		}
		n := s.node(1, addresses(all))
		Expect(serials(n, 4*time.Second)).To(Equal([]uint64{0, 7}))
		Expect(n.Confirmed()).To(BeTrue())
	})

	story("given a control machine that stands still between its majority and its answer, when a newer configuration came meanwhile, then its confirmation is worth nothing", func(s *stand) {
		c := s.control(1)
		c.set(func() { c.freeze = 1100 * time.Millisecond })
		n := s.node(1, addresses([]*standControl{c}))
		time.Sleep(50 * time.Millisecond)
		raise(7, c)
		Expect(serials(n, 4*time.Second)).To(Equal([]uint64{0, 7}))
	})

	story("given a confirmation that came in time, when it is taken, then the next is not asked for", func(s *stand) {
		c := s.control(1)
		c.set(func() { c.freeze = 900 * time.Millisecond })
		n := s.node(1, addresses([]*standControl{c}))
		Expect(s.WaitUntil(3*time.Second, n.Confirmed)).To(BeNumerically("~", 900*time.Millisecond, 60*time.Millisecond))
	})

	story("given only one that is cut off, when a node starts, then it serves the old configuration after half the contact bound, marked unconfirmed, and moves on at once when a majority is heard", func(s *stand) {
		c := s.control(1)
		cutOff(c)
		n := s.node(1, addresses([]*standControl{c}))
		waited := s.WaitUntil(5*time.Second, n.Ready)
		Expect(waited).To(BeNumerically("~", 1500*time.Millisecond, 20*time.Millisecond))
		Expect(n.Serial()).To(Equal(uint64(5)))
		Expect(n.Confirmed()).To(BeFalse())
		var noted []string
		for _, event := range n.scope.Journal.Last("", 400) {
			noted = append(noted, strings.TrimSpace(event.Topic+" "+event.Detail))
		}
		Expect(noted).To(ContainElement("in-force unconfirmed"))
		time.Sleep(20 * time.Second)
		Expect(n.Confirmed()).To(BeFalse())
		c.set(func() { Expect(c.configurations).To(Equal(1), "it isn't sent again and again") })
		c.set(func() { c.serial, c.confirmed = 9, true })
		Expect(s.WaitUntil(3*time.Second, func() bool { return n.Serial() == 9 && n.Confirmed() })).To(BeNumerically("<", 100*time.Millisecond))
	})

	story("given an unconfirmed configuration in force, when a majority confirms it, then it is confirmed without being sent again", func(s *stand) {
		c := s.control(1)
		cutOff(c)
		n := s.node(1, addresses([]*standControl{c}))
		s.WaitUntil(5*time.Second, n.Ready)
		table := n.Table()
		c.set(func() { c.confirmed = true })
		Expect(s.WaitUntil(3*time.Second, n.Confirmed)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(n.Table()).To(BeIdenticalTo(table))
	})

	story("given an unconfirmed configuration that was never in force, when a majority tells of an older one, then the node goes straight to that", func(s *stand) {
		c := s.control(1)
		raise(9, c)
		cutOff(c)
		n := s.node(1, addresses([]*standControl{c}))
		s.WaitUntil(5*time.Second, n.Ready)
		Expect(n.Serial()).To(Equal(uint64(9)))
		c.set(func() { c.serial, c.confirmed = 7, true })
		s.WaitUntil(3*time.Second, n.Confirmed)
		Expect(n.Serial()).To(Equal(uint64(7)))
	})

	story("given an unconfirmed configuration, when an older one is confirmed to a question from before it came, then the node doesn't go back", func(s *stand) {
		n := s.node(1, noControllers)
		n.startedAt -= time.Minute
		n.Adopt(aConfiguration(7), false)
		Expect(n.Serial()).To(Equal(uint64(7)))
		n.applyPollReply(&wire.PollRequest{Confirm: true, Serial: 3}, nil, &wire.PollReply{Confirmed: true, Serial: 5, Configuration: aConfiguration(5)}, n.scope.Clock.Mono())
		Expect(n.Serial()).To(Equal(uint64(7)))
		n.applyPollReply(&wire.PollRequest{Confirm: true, Serial: 6}, nil, &wire.PollReply{Confirmed: true, Serial: 5, Configuration: aConfiguration(5)}, n.scope.Clock.Mono())
		Expect(n.Serial()).To(Equal(uint64(7)))
	})

	story("given a confirmed configuration, when others tell of newer and older ones, then it takes the newer from anyone and never an older", func(s *stand) {
		n := s.node(1, noControllers)
		n.Adopt(aConfiguration(5), true)
		n.applyPollReply(&wire.PollRequest{Serial: 5}, nil, &wire.PollReply{Serial: 7, Configuration: aConfiguration(7)}, n.scope.Clock.Mono()-time.Minute)
		Expect(n.Serial()).To(Equal(uint64(7)))
		n.applyPollReply(&wire.PollRequest{Confirm: true, Serial: 7}, nil, &wire.PollReply{Confirmed: true, Serial: 5, Configuration: aConfiguration(5)}, n.scope.Clock.Mono())
		n.applyPollReply(&wire.PollRequest{Confirm: true, Serial: 0}, nil, &wire.PollReply{Confirmed: true, Serial: 5, Configuration: aConfiguration(5)}, n.scope.Clock.Mono())
		Expect(n.Serial()).To(Equal(uint64(7)))
		Expect(n.Confirmed()).To(BeTrue())
	})
})
