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

var _ = ginkgo.Describe("the search for control machines", func() {
	story("given three seeds that are all cut off, when a node starts beside them, then it finds one with a majority among those they list", func(s *stand) {
		all := s.controls(7)
		cutOff(all[:3]...)
		raise(9, all[3:]...)
		n := s.node(1, addresses(all[:3]))
		Expect(s.WaitUntil(3*time.Second, n.Confirmed)).To(BeNumerically("<", contact/2), "before it would serve the old")
		Expect(n.Serial()).To(Equal(uint64(9)))
	})

	story("given seeds two of which are dark, when a node starts, then it soon asks three that live, and the dark ones delay nothing", func(s *stand) {
		all := s.controls(5)
		for _, c := range all[:2] {
			for i := range 3 {
				s.World.Cut(fmt.Sprintf("10.9.1.%d", i+1), c.ip)
				s.World.Cut(c.ip, fmt.Sprintf("10.9.1.%d", i+1))
			}
		}
		n := s.node(1, addresses(all[:3]))
		Expect(s.WaitUntil(3*time.Second, n.Confirmed)).To(BeNumerically("<", 50*time.Millisecond))
		raise(7, all[2:]...)
		Expect(s.WaitUntil(3*time.Second, func() bool { return n.Serial() == 7 })).To(BeNumerically("<", 100*time.Millisecond))
		live := addresses(all[2:])
		Expect(s.WaitUntil(2*contact, func() bool {
			return len(n.polled()) == 3 && subset(n.polled(), live)
		})).To(BeNumerically("<", 2*contact))
		time.Sleep(20 * time.Second)
		Expect(subset(n.polled(), live)).To(BeTrue())
	})

	story("given five, when those a node asks lose their majority, then it asks the others within the contact bound and is told of changes in time", func(s *stand) {
		all := s.controls(5)
		n := s.node(1, addresses(all[:3]))
		s.WaitUntil(time.Second, n.Confirmed)
		time.Sleep(3 * time.Second)
		for _, c := range all {
			if subset([]string{c.address()}, n.polled()[:2]) {
				cutOff(c)
			}
		}
		s.WaitUntil(contact, func() bool { return false })
		for _, c := range all {
			c.set(func() {
				if c.confirmed {
					c.serial = 9
				}
			})
		}
		Expect(s.WaitUntil(3*time.Second, func() bool { return n.Serial() == 9 })).To(BeNumerically("<", 100*time.Millisecond))
		Expect(s.WaitUntil(contact, func() bool {
			for _, c := range all {
				if !c.confirmed && subset([]string{c.address()}, n.polled()) {
					return false
				}
			}
			return true
		})).To(BeNumerically("<", contact))
	})

	story("given seven, when all three that a node asks lose their majority at once, then it finds one with a majority within the contact bound", func(s *stand) {
		all := s.controls(7)
		n := s.node(1, addresses(all[:3]))
		s.WaitUntil(time.Second, n.Confirmed)
		time.Sleep(5 * time.Second)
		asked := n.polled()
		for _, c := range all {
			if subset([]string{c.address()}, asked) {
				cutOff(c)
			} else {
				raise(9, c)
			}
		}
		Expect(s.WaitUntil(3*contact, func() bool { return n.Serial() == 9 })).To(BeNumerically("<", contact))
	})

	story("given control machines that are all replaced in turn, at new addresses, when minutes pass, then running nodes and newly started ones follow", func(s *stand) {
		all := s.controls(3)
		old := addresses(all)
		n := s.node(1, old)
		s.WaitUntil(time.Second, n.Confirmed)
		for turn := range 6 {
			fresh := s.control(10 + turn)
			gone := all[0]
			all = append(all[1:], fresh)
			relist(all)
			gone.door.Close()
			time.Sleep(20 * time.Second)
			raise(uint64(20+turn), all...)
			Expect(s.WaitUntil(5*time.Second, func() bool { return n.Serial() == uint64(20+turn) })).To(BeNumerically("<", 100*time.Millisecond), "turn %d", turn)
			Expect(n.polled()).To(ConsistOf(addresses(all)), "turn %d", turn)
		}
		n.sink.Enqueue(&wire.Span{Id: "late"})
		time.Sleep(3 * time.Second)
		kept := 0
		for _, c := range all {
			spans, _ := c.spans.Recent(0, 10)
			kept += len(spans)
		}
		Expect(kept).To(Equal(2), "spans follow the set")
		late := s.node(2, []string{old[0], old[1], all[0].address()})
		Expect(s.WaitUntil(contact, late.Confirmed)).To(BeNumerically("<", 100*time.Millisecond))
		Expect(s.WaitUntil(3*contact, func() bool { return subset(late.polled(), addresses(all)) })).To(BeNumerically("<", 3*contact))
	})

	story("given that all are gone, when new ones stand at the seeds, or the settings name new seeds, then the node finds them", func(s *stand) {
		all := s.controls(5)
		n := s.node(1, addresses(all[:2]))
		s.WaitUntil(time.Second, n.Confirmed)
		time.Sleep(5 * time.Second)
		for _, c := range all {
			c.door.Close()
		}
		time.Sleep(time.Minute)
		again := s.control(1)
		raise(7, again)
		Expect(s.WaitUntil(time.Minute, func() bool { return n.Serial() == 7 })).To(BeNumerically("<", 5*contact))
		again.door.Close()
		time.Sleep(time.Minute)
		elsewhere := s.control(40)
		raise(9, elsewhere)
		n.SetSeeds(addresses([]*standControl{elsewhere}))
		Expect(s.WaitUntil(time.Minute, func() bool { return n.Serial() == 9 })).To(BeNumerically("<", 2*contact))
	})

	story("given a list of very many, when a node is told of it, then it remembers a bounded number, the seeds always, and asks three", func(s *stand) {
		c := s.control(1)
		c.set(func() {
			for i := range 300 {
				c.list = append(c.list, fmt.Sprintf("10.9.%d.%d:7005", 100+i/200, i%200+1))
			}
		})
		n := s.node(1, addresses([]*standControl{c}))
		s.WaitUntil(time.Second, n.Confirmed)
		for turn := range 6 {
			time.Sleep(10 * time.Second)
			c.set(func() {
				for i := range c.list[1:] {
					c.list[1+i] = fmt.Sprintf("10.9.%d.%d:7005", 110+turn, i%200+1)
				}
			})
		}
		n.directory.mu.Lock()
		defer n.directory.mu.Unlock()
		Expect(len(n.directory.entries)).To(BeNumerically("<=", knownMost))
		Expect(n.directory.entries).To(HaveKey(c.address()))
		Expect(n.directory.asked()).To(Equal(pollsMost))
		Expect(n.directory.entries[c.address()].polled).To(BeTrue(), "the only one that answers is never given up")
	})

	story("given one with a majority and one that lags and lists what is long gone, when a node hears both, then it believes the former's list", func(s *stand) {
		all := s.controls(4)
		laggard := s.control(9)
		cutOff(laggard)
		laggard.set(func() {
			laggard.list = []string{laggard.address(), "10.9.0.201:7005", "10.9.0.202:7005"}
			laggard.freeze = 100 * time.Millisecond
		})
		n := s.node(1, []string{all[0].address(), laggard.address()})
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			n.directory.mu.Lock()
			Expect(n.directory.entries).NotTo(HaveKey("10.9.0.201:7005"))
			n.directory.mu.Unlock()
		}
		Expect(subset(n.polled(), addresses(all))).To(BeTrue())
	})

	story("given one with a majority to guide the node, when only those of old lists are left to fill a place, then it stays free", func(s *stand) {
		d := newDirectory(s.Clock, random.Seeded(1), contact, []string{"a:1"})
		now := uint64(0)
		Expect(d.choose(false)).To(Equal([]string{"a:1"}))
		d.recordAnswer("a:1", &now, []string{"a:1", "old:1", "old:2"})
		time.Sleep(2 * contact)
		d.recordAnswer("a:1", &now, []string{"a:1", "b:1"})
		start, _ := d.choose(false)
		Expect(start).To(Equal([]string{"b:1"}))
		time.Sleep(contact)
		start, _ = d.choose(false)
		Expect(start).To(HaveLen(1), "with no majority heard of for long, those of old lists are tried too")
	})

	story("given a core without a majority anywhere, when time passes, then the node goes on hearing of its peers from one that answers", func(s *stand) {
		all := s.controls(5)
		n := s.node(1, addresses(all[:3]))
		s.WaitUntil(time.Second, n.Confirmed)
		cutOff(all...)
		for _, c := range all[2:] {
			c.door.Close()
		}
		time.Sleep(10 * time.Second)
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			Expect(n.polled()).To(ContainElement(BeElementOf(addresses(all[:2]))))
		}
	})

	story("given a dark control machine, when a node asks it for a minute, then its calls leave no dials behind", func(s *stand) {
		counted := &countedNet{}
		s.Wrap = func(net base.Net) base.Net {
			counted.Net = net
			return counted
		}
		s.World.Cut("10.9.1.1", "10.9.0.1")
		s.node(1, noControllers)
		time.Sleep(time.Minute)
		Expect(counted.most.Load()).To(And(BeNumerically(">=", 1), BeNumerically("<=", 4)))
	})
})

func subset(some, all []string) bool {
	matched, err := ContainElements(some).Match(all)
	return err == nil && matched
}

// countedNet counts the dials under way.
type countedNet struct {
	base.Net
	now, most atomic.Int64
}

func (c *countedNet) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	now := c.now.Add(1)
	defer c.now.Add(-1)
	for most := c.most.Load(); now > most && !c.most.CompareAndSwap(most, now); most = c.most.Load() {
	}
	return c.Net.Dial(ctx, network, address)
}
