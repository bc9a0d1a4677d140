package controlclient

import (
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("a node's first configuration", func() {
	// observedSerials returns the serials that a node has in force one after the other during a period.
	observedSerials := func(n *testNode, period time.Duration) (seen []uint64) {
		for startedAt := time.Now(); time.Since(startedAt) < period; time.Sleep(time.Millisecond) {
			if now := n.Serial(); len(seen) == 0 || seen[len(seen)-1] != now {
				seen = append(seen, now)
			}
		}
		return seen
	}

	spec("given controllers with a majority, when a node starts, then its first configuration is confirmed within a few round trips", func(s *testbed) {
		n := s.startNode(1, addresses(s.startControllers(3)))
		Expect(s.WaitUntil(time.Second, n.Confirmed)).To(BeNumerically("<", 30*time.Millisecond))
		Expect(n.Ready()).To(BeTrue())
		Expect(n.Confirmed()).To(BeTrue())
	})

	spec("given 620 routes, 80 peers and a link of 0.25 Mbit/s, when a node starts with four controllers, then its first configuration is confirmed before it would serve an unconfirmed one", func(s *testbed) {
		all := s.startControllers(4)
		for _, c := range all {
			c.update(func() { c.extraRoutes, c.knownPeers = 620, 80 })
		}
		s.World.SetBandwidth("10.9.1.1", 0.25e6/8)
		n := s.startNode(1, addresses(all))
		Expect(s.WaitUntil(30*time.Second, n.Confirmed)).To(BeNumerically("<", contact/2))
		Expect(n.Table().Configuration().Routes).To(HaveLen(623))
	})

	spec("given 620 routes and a link of 0.5 Mbit/s, when the configuration changes, then it is in force within a quarter of the in-force bound", func(s *testbed) {
		all := s.startControllers(3)
		for _, c := range all {
			c.update(func() { c.extraRoutes = 620 })
		}
		s.World.SetBandwidth("10.9.1.1", 0.5e6/8)
		n := s.startNode(1, addresses(all))
		s.WaitUntil(10*time.Second, n.Confirmed)
		time.Sleep(5 * time.Second)
		setSerial(7, all...)
		Expect(s.WaitUntil(30*time.Second, func() bool { return n.Serial() == 7 })).To(BeNumerically("<", inForce/4))
	})

	spec("given a controller without a majority that replies first, when a node starts, then it waits for the confirmed configuration of another controller", func(s *testbed) {
		all := s.startControllers(3)
		removeMajority(all[0])
		setSerial(7, all[1:]...)
		for _, c := range all[1:] {
			c.update(func() { c.nextReplyDelay = 700 * time.Millisecond })
		}
		n := s.startNode(1, addresses(all))
		Expect(observedSerials(n, 4*time.Second)).To(Equal([]uint64{0, 7}))
		Expect(n.Confirmed()).To(BeTrue())
	})

	spec("given a controller suspended between its majority round and its reply, when a newer configuration is acknowledged meanwhile, then its confirmation is ignored", func(s *testbed) {
		c := s.startController(1)
		c.update(func() { c.nextReplyDelay = 1100 * time.Millisecond })
		n := s.startNode(1, addresses([]*fakeController{c}))
		time.Sleep(50 * time.Millisecond)
		setSerial(7, c)
		Expect(observedSerials(n, 4*time.Second)).To(Equal([]uint64{0, 7}))
	})

	spec("given a confirmation that arrives within its validity, when it is applied, then no further one is needed", func(s *testbed) {
		c := s.startController(1)
		c.update(func() { c.nextReplyDelay = 900 * time.Millisecond })
		n := s.startNode(1, addresses([]*fakeController{c}))
		Expect(s.WaitUntil(3*time.Second, n.Confirmed)).To(BeNumerically("~", 900*time.Millisecond, 60*time.Millisecond))
	})

	spec("given only a controller without a majority, when a node starts, then it serves the old configuration as unconfirmed after half the contact bound, and the new one as soon as there is a majority", func(s *testbed) {
		c := s.startController(1)
		removeMajority(c)
		n := s.startNode(1, addresses([]*fakeController{c}))
		waited := s.WaitUntil(5*time.Second, n.Ready)
		Expect(waited).To(BeNumerically("~", 1500*time.Millisecond, 20*time.Millisecond))
		Expect(n.Serial()).To(Equal(uint64(5)))
		Expect(n.Confirmed()).To(BeFalse())
		var events []string
		for _, event := range n.scope.Journal.Last("", 400) {
			events = append(events, strings.TrimSpace(event.Topic+" "+event.Detail))
		}
		Expect(events).To(ContainElement("in-force unconfirmed"))
		time.Sleep(20 * time.Second)
		Expect(n.Confirmed()).To(BeFalse())
		c.update(func() { Expect(c.configurationsSent).To(Equal(1), "the configuration is sent only once") })
		c.update(func() { c.serial, c.hasMajority = 9, true })
		Expect(s.WaitUntil(3*time.Second, func() bool { return n.Serial() == 9 && n.Confirmed() })).To(BeNumerically("<", 100*time.Millisecond))
	})

	spec("given an unconfirmed configuration in force, when a majority confirms it, then it is marked confirmed without being sent again", func(s *testbed) {
		c := s.startController(1)
		removeMajority(c)
		n := s.startNode(1, addresses([]*fakeController{c}))
		s.WaitUntil(5*time.Second, n.Ready)
		table := n.Table()
		c.update(func() { c.hasMajority = true })
		Expect(s.WaitUntil(3*time.Second, n.Confirmed)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(n.Table()).To(BeIdenticalTo(table))
	})

	spec("given an unconfirmed configuration that was never in force, when a majority confirms an older one, then the node reverts to that one", func(s *testbed) {
		c := s.startController(1)
		setSerial(9, c)
		removeMajority(c)
		n := s.startNode(1, addresses([]*fakeController{c}))
		s.WaitUntil(5*time.Second, n.Ready)
		Expect(n.Serial()).To(Equal(uint64(9)))
		c.update(func() { c.serial, c.hasMajority = 7, true })
		s.WaitUntil(3*time.Second, n.Confirmed)
		Expect(n.Serial()).To(Equal(uint64(7)))
	})

	spec("given an unconfirmed configuration, when an older one is confirmed in reply to a request sent before it arrived, then the node does not revert", func(s *testbed) {
		n := s.startNode(1, absentController)
		n.startedAt -= time.Minute
		n.Adopt(testConfiguration(7), false)
		Expect(n.Serial()).To(Equal(uint64(7)))
		n.applyPollReply(&wire.PollRequest{Confirm: true, Serial: 3}, nil, &wire.PollReply{Confirmed: true, Serial: 5, Configuration: testConfiguration(5)}, n.scope.Clock.Mono())
		Expect(n.Serial()).To(Equal(uint64(7)))
		n.applyPollReply(&wire.PollRequest{Confirm: true, Serial: 6}, nil, &wire.PollReply{Confirmed: true, Serial: 5, Configuration: testConfiguration(5)}, n.scope.Clock.Mono())
		Expect(n.Serial()).To(Equal(uint64(7)))
	})

	spec("given a confirmed configuration, when controllers send newer and older ones, then the node adopts a newer one from any controller and never an older one", func(s *testbed) {
		n := s.startNode(1, absentController)
		n.Adopt(testConfiguration(5), true)
		n.applyPollReply(&wire.PollRequest{Serial: 5}, nil, &wire.PollReply{Serial: 7, Configuration: testConfiguration(7)}, n.scope.Clock.Mono()-time.Minute)
		Expect(n.Serial()).To(Equal(uint64(7)))
		n.applyPollReply(&wire.PollRequest{Confirm: true, Serial: 7}, nil, &wire.PollReply{Confirmed: true, Serial: 5, Configuration: testConfiguration(5)}, n.scope.Clock.Mono())
		n.applyPollReply(&wire.PollRequest{Confirm: true, Serial: 0}, nil, &wire.PollReply{Confirmed: true, Serial: 5, Configuration: testConfiguration(5)}, n.scope.Clock.Mono())
		Expect(n.Serial()).To(Equal(uint64(7)))
		Expect(n.Confirmed()).To(BeTrue())
	})
})
