package controlplane

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// firstConfiguration is what a node asks that holds nothing yet.
func firstConfiguration(number uint64) *wire.PollRequest {
	return &wire.PollRequest{NodeStatus: nodeStatus("n1", number), Wants: true, Confirm: true, WaitMs: 600}
}

// isolate cuts a control machine from the others, not from nodes.
func (f *fleet) isolate(i int) {
	for j := range f.controllers {
		if j != i {
			f.cut(i, j)
		}
	}
}

var _ = ginkgo.Describe("a question for a confirmed configuration", func() {
	story("given a majority, when a node asks, then it is answered at once with the newest configuration, confirmed", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		for i := range f.controllers {
			begun := time.Now()
			reply, err := f.poll(i, firstConfiguration(1))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Confirmed).To(BeTrue())
			Expect(reply.Configuration.GetSerial()).To(Equal(uint64(5)))
			Expect(time.Since(begun)).To(BeNumerically("<", 30*time.Millisecond))
		}
	})

	story("given a cut just made, when a node asks within the time that the last majority used to count, then nothing is confirmed", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		Expect(f.until(f.controllers[1].server.Settled)).To(BeTrue())
		f.isolate(1)
		Expect(f.controllers[1].server.Settled()).To(BeTrue(), "its last majority was heard just now")
		Expect(f.taken(0, whole(7, 5))).To(BeTrue())
		reply, err := f.poll(1, firstConfiguration(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Serial).To(Equal(uint64(5)))
		Expect(reply.Confirmed || reply.Settled).To(BeFalse())
		Expect(reply.Controllers).To(HaveLen(3), "it tells where else to ask")
		Expect(reply.MajorityMs).NotTo(BeNil())
	})

	story("given a cut in one direction only, when a node asks the one that hears no answers, then nothing is confirmed", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		for j := range f.controllers[1:] {
			f.world.Cut(ip(j+1), ip(0))
		}
		Expect(f.until(func() bool { return f.taken(1, whole(7, 5)) })).To(BeTrue())
		reply, err := f.poll(0, firstConfiguration(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Confirmed).To(BeFalse())
	})

	story("given one that is cut off, when a node that holds its configuration waits there and the cut heals, then it is told the newest, confirmed", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		f.isolate(1)
		Expect(f.taken(0, whole(7, 5))).To(BeTrue())
		first, err := f.poll(1, firstConfiguration(1))
		Expect(err).NotTo(HaveOccurred())
		go func() {
			time.Sleep(900 * time.Millisecond)
			f.world.HealAll()
		}()
		ask := firstConfiguration(2)
		ask.Controller, ask.Serial, ask.Registry, ask.WaitMs = first.Controller, 5, first.Registry, 2000
		begun := time.Now()
		reply, err := f.poll(1, ask)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Confirmed).To(BeTrue())
		Expect(reply.Configuration.GetSerial()).To(Equal(uint64(7)))
		Expect(time.Since(begun)).To(BeNumerically("~", 1200*time.Millisecond, 300*time.Millisecond))
	})

	story("given a clock that steps both ways, when a node asks one that is cut off, then nothing is confirmed", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		f.isolate(1)
		for _, step := range []time.Duration{-time.Minute, 2 * time.Minute} {
			f.controllers[1].clock.Jump(step)
			reply, err := f.poll(1, firstConfiguration(1))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Confirmed).To(BeFalse())
		}
	})

	story("given a dark control machine, when a node asks another, then the dark one doesn't hold the confirmation up", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		f.isolate(2)
		time.Sleep(3 * time.Second)
		begun := time.Now()
		reply, err := f.poll(0, firstConfiguration(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Confirmed).To(BeTrue())
		Expect(time.Since(begun)).To(BeNumerically("<", 50*time.Millisecond))
	})

	story("given one that lost its disk and has not recovered, when a node asks it, then nothing is confirmed and no majority is claimed", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		f.powerLoss(1)
		f.controllers[1].disk.Wipe()
		f.isolate(1)
		f.raise(1, false)
		time.Sleep(2 * time.Second)
		reply, err := f.poll(1, firstConfiguration(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Confirmed).To(BeFalse())
		Expect(reply.MajorityMs).To(BeNil())
	})

	story("given a change that one of two in reach holds and a third that is dark, when a node asks the other, then the old configuration is not confirmed", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		f.kill(1)
		Expect(f.insist(0, whole(7, 5)).Kind).To(BeEmpty())
		f.isolate(2)
		f.raise(1, false)
		asked, confirmed := 0, 0
		Expect(f.within(10*time.Second, func() bool {
			reply, err := f.poll(1, &wire.PollRequest{NodeStatus: nodeStatus("n1", uint64(asked)), Wants: true, Confirm: true})
			asked++
			if err == nil && reply.Confirmed {
				confirmed++
				Expect(reply.Serial).To(Equal(uint64(7)))
			}
			return confirmed > 3
		})).To(BeTrue())
	})

	story("given many nodes that ask at once, when they are answered, then they share majority reads", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		before := f.controllers[0].server.reads.ask()
		var group sync.WaitGroup
		for range 60 {
			group.Go(func() {
				defer ginkgo.GinkgoRecover()
				reply, err := f.poll(0, firstConfiguration(1))
				Expect(err).NotTo(HaveOccurred())
				Expect(reply.Confirmed).To(BeTrue())
			})
		}
		group.Wait()
		Expect(f.controllers[0].server.reads.ask() - before).To(BeNumerically("<=", 6))
	})
})

var _ = ginkgo.Describe("majority reads", func() {
	ginkgo.It("given a read under way, when a question comes, then that read doesn't answer it, and one read answers all that came before it", func() {
		synctest.Test(suite, func(*testing.T) {
			defer ginkgo.GinkgoRecover()
			s := base.Scope{Context: context.Background()}
			var mu sync.Mutex
			reads, began := newConfigurationReads(), []time.Time{}
			read := func() configurationRead {
				mu.Lock()
				began = append(began, time.Now())
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				return configurationRead{confirmed: true}
			}
			var group sync.WaitGroup
			for i := range 10 {
				group.Go(func() {
					defer ginkgo.GinkgoRecover()
					time.Sleep(time.Duration(i) * 10 * time.Millisecond)
					asked, at := reads.ask(), time.Now()
					Expect(reads.since(s, asked, read).confirmed).To(BeTrue())
					mu.Lock()
					defer mu.Unlock()
					Expect(began[len(began)-1]).To(BeTemporally(">=", at))
				})
			}
			group.Wait()
			Expect(began).To(HaveLen(2))
		})
	})
})
