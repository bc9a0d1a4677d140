package controlclient

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("the selection of controllers", func() {
	spec("given three seeds without a majority, when a node starts, then it finds a controller with a majority among those that they list", func(s *testbed) {
		all := s.startControllers(7)
		removeMajority(all[:3]...)
		setSerial(9, all[3:]...)
		n := s.startNode(1, addresses(all[:3]))
		Expect(s.WaitUntil(3*time.Second, n.Confirmed)).To(BeNumerically("<", contact/2), "before it would serve an unconfirmed configuration")
		Expect(n.Serial()).To(Equal(uint64(9)))
	})

	spec("given two unreachable seeds out of three, when a node starts, then it soon polls three reachable controllers, and the unreachable ones cause no delay", func(s *testbed) {
		all := s.startControllers(5)
		for _, c := range all[:2] {
			for i := range 3 {
				s.World.Cut(fmt.Sprintf("10.9.1.%d", i+1), c.ip)
				s.World.Cut(c.ip, fmt.Sprintf("10.9.1.%d", i+1))
			}
		}
		n := s.startNode(1, addresses(all[:3]))
		Expect(s.WaitUntil(3*time.Second, n.Confirmed)).To(BeNumerically("<", 50*time.Millisecond))
		setSerial(7, all[2:]...)
		Expect(s.WaitUntil(3*time.Second, func() bool { return n.Serial() == 7 })).To(BeNumerically("<", 100*time.Millisecond))
		reachable := addresses(all[2:])
		Expect(s.WaitUntil(2*contact, func() bool {
			return len(n.polledAddresses()) == 3 && containsAll(n.polledAddresses(), reachable)
		})).To(BeNumerically("<", 2*contact))
		time.Sleep(20 * time.Second)
		Expect(containsAll(n.polledAddresses(), reachable)).To(BeTrue())
	})

	spec("given five controllers, when two of the polled ones lose their majority, then the node polls the others within the contact bound and learns of changes in time", func(s *testbed) {
		all := s.startControllers(5)
		n := s.startNode(1, addresses(all[:3]))
		s.WaitUntil(time.Second, n.Confirmed)
		time.Sleep(3 * time.Second)
		for _, c := range all {
			if containsAll([]string{c.address()}, n.polledAddresses()[:2]) {
				removeMajority(c)
			}
		}
		s.WaitUntil(contact, func() bool { return false })
		for _, c := range all {
			c.update(func() {
				if c.hasMajority {
					c.serial = 9
				}
			})
		}
		Expect(s.WaitUntil(3*time.Second, func() bool { return n.Serial() == 9 })).To(BeNumerically("<", 100*time.Millisecond))
		Expect(s.WaitUntil(contact, func() bool {
			for _, c := range all {
				if !c.hasMajority && containsAll([]string{c.address()}, n.polledAddresses()) {
					return false
				}
			}
			return true
		})).To(BeNumerically("<", contact))
	})

	spec("given seven controllers, when all three polled ones lose their majority at once, then the node finds one with a majority within the contact bound", func(s *testbed) {
		all := s.startControllers(7)
		n := s.startNode(1, addresses(all[:3]))
		s.WaitUntil(time.Second, n.Confirmed)
		time.Sleep(5 * time.Second)
		polled := n.polledAddresses()
		for _, c := range all {
			if containsAll([]string{c.address()}, polled) {
				removeMajority(c)
			} else {
				setSerial(9, c)
			}
		}
		Expect(s.WaitUntil(3*contact, func() bool { return n.Serial() == 9 })).To(BeNumerically("<", contact))
	})

	spec("given controllers that are replaced one after the other by ones at new addresses, when minutes pass, then running and newly started nodes poll the new ones", func(s *testbed) {
		all := s.startControllers(3)
		oldAddresses := addresses(all)
		n := s.startNode(1, oldAddresses)
		s.WaitUntil(time.Second, n.Confirmed)
		for turn := range 6 {
			replacement := s.startController(10 + turn)
			removed := all[0]
			all = append(all[1:], replacement)
			listEachOther(all)
			removed.server.Close()
			time.Sleep(20 * time.Second)
			setSerial(uint64(20+turn), all...)
			Expect(s.WaitUntil(5*time.Second, func() bool { return n.Serial() == uint64(20+turn) })).To(BeNumerically("<", 100*time.Millisecond), "turn %d", turn)
			Expect(n.polledAddresses()).To(ConsistOf(addresses(all)), "turn %d", turn)
		}
		n.sink.Enqueue(&wire.Span{Id: "late"})
		time.Sleep(3 * time.Second)
		spansStored := 0
		for _, c := range all {
			spans, _ := c.spans.Recent(0, 10)
			spansStored += len(spans)
		}
		Expect(spansStored).To(Equal(2), "spans are sent to the new controllers")
		lateNode := s.startNode(2, []string{oldAddresses[0], oldAddresses[1], all[0].address()})
		Expect(s.WaitUntil(contact, lateNode.Confirmed)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(s.WaitUntil(3*contact, func() bool { return containsAll(lateNode.polledAddresses(), addresses(all)) })).To(BeNumerically("<", 3*contact))
	})

	spec("given that all controllers have stopped, when new ones start at the seeds or the seeds are replaced, then the node finds them", func(s *testbed) {
		all := s.startControllers(5)
		n := s.startNode(1, addresses(all[:2]))
		s.WaitUntil(time.Second, n.Confirmed)
		time.Sleep(5 * time.Second)
		for _, c := range all {
			c.server.Close()
		}
		time.Sleep(time.Minute)
		restarted := s.startController(1)
		setSerial(7, restarted)
		Expect(s.WaitUntil(time.Minute, func() bool { return n.Serial() == 7 })).To(BeNumerically("<", 5*contact))
		restarted.server.Close()
		time.Sleep(time.Minute)
		elsewhere := s.startController(40)
		setSerial(9, elsewhere)
		n.SetSeeds(addresses([]*fakeController{elsewhere}))
		Expect(s.WaitUntil(time.Minute, func() bool { return n.Serial() == 9 })).To(BeNumerically("<", 2*contact))
	})

	spec("given a list of very many controllers, when a node receives it, then it remembers a bounded number including the seeds, and polls three", func(s *testbed) {
		c := s.startController(1)
		c.update(func() {
			for i := range 300 {
				c.listed = append(c.listed, fmt.Sprintf("10.9.%d.%d:7005", 100+i/200, i%200+1))
			}
		})
		n := s.startNode(1, addresses([]*fakeController{c}))
		s.WaitUntil(time.Second, n.Confirmed)
		for turn := range 6 {
			time.Sleep(10 * time.Second)
			c.update(func() {
				for i := range c.listed[1:] {
					c.listed[1+i] = fmt.Sprintf("10.9.%d.%d:7005", 110+turn, i%200+1)
				}
			})
		}
		n.directory.mu.Lock()
		defer n.directory.mu.Unlock()
		Expect(len(n.directory.entries)).To(BeNumerically("<=", maxEntries))
		Expect(n.directory.entries).To(HaveKey(c.address()))
		Expect(n.directory.countPolled()).To(Equal(maxPolls))
		Expect(n.directory.entries[c.address()].polled).To(BeTrue(), "the only controller that replies is never replaced")
	})

	spec("given a controller with a majority and a lagging one that lists controllers gone long ago, when a node polls both, then it uses only the list of the former", func(s *testbed) {
		all := s.startControllers(4)
		lagging := s.startController(9)
		removeMajority(lagging)
		lagging.update(func() {
			lagging.listed = []string{lagging.address(), "10.9.0.201:7005", "10.9.0.202:7005"}
			lagging.nextReplyDelay = 100 * time.Millisecond
		})
		n := s.startNode(1, []string{all[0].address(), lagging.address()})
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			n.directory.mu.Lock()
			Expect(n.directory.entries).NotTo(HaveKey("10.9.0.201:7005"))
			n.directory.mu.Unlock()
		}
		Expect(containsAll(n.polledAddresses(), addresses(all))).To(BeTrue())
	})

	spec("given a controller with a majority, when only controllers of old lists are left, then they are not polled", func(s *testbed) {
		d := newDirectory(s.Clock, random.Seeded(1), contact, []string{"a:1"})
		now := uint64(0)
		Expect(d.selectPolls(false)).To(Equal([]string{"a:1"}))
		d.recordReply("a:1", &now, []string{"a:1", "old:1", "old:2"})
		time.Sleep(2 * contact)
		d.recordReply("a:1", &now, []string{"a:1", "b:1"})
		start, _ := d.selectPolls(false)
		Expect(start).To(Equal([]string{"b:1"}))
		time.Sleep(contact)
		start, _ = d.selectPolls(false)
		Expect(start).To(HaveLen(1), "if no controller has had a majority for long, those of old lists are polled too")
	})

	spec("given that no controller has a majority, when time passes, then the node keeps polling at least one that replies", func(s *testbed) {
		all := s.startControllers(5)
		n := s.startNode(1, addresses(all[:3]))
		s.WaitUntil(time.Second, n.Confirmed)
		removeMajority(all...)
		for _, c := range all[2:] {
			c.server.Close()
		}
		time.Sleep(10 * time.Second)
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			Expect(n.polledAddresses()).To(ContainElement(BeElementOf(addresses(all[:2]))))
		}
	})

	spec("given an unreachable controller, when a node polls it for a minute, then the number of dials in flight stays bounded", func(s *testbed) {
		countingNet := &dialCountingNet{}
		s.Wrap = func(net base.Net) base.Net {
			countingNet.Net = net
			return countingNet
		}
		s.World.Cut("10.9.1.1", "10.9.0.1")
		s.startNode(1, absentController)
		time.Sleep(time.Minute)
		Expect(countingNet.maxInFlight.Load()).To(And(BeNumerically(">=", 1), BeNumerically("<=", 4)))
	})
})

// containsAll reports whether all contains each element of some.
func containsAll(some, all []string) bool {
	matched, err := ContainElements(some).Match(all)
	return err == nil && matched
}

// dialCountingNet counts the dials in flight and their maximum.
type dialCountingNet struct {
	base.Net
	inFlight, maxInFlight atomic.Int64
}

func (c *dialCountingNet) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	inFlight := c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	for previous := c.maxInFlight.Load(); inFlight > previous && !c.maxInFlight.CompareAndSwap(previous, inFlight); previous = c.maxInFlight.Load() {
	}
	return c.Net.Dial(ctx, network, address)
}
