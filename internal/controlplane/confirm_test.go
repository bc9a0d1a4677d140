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

// firstPoll is the poll of a node that holds no configuration yet.
func firstPoll(number uint64) *wire.PollRequest {
	return &wire.PollRequest{NodeStatus: nodeStatus("n1", number), Wants: true, Confirm: true, WaitMs: 600}
}

// isolate partitions a control machine from all others; nodes still reach it.
func (f *fleet) isolate(i int) {
	for j := range f.controllers {
		if j != i {
			f.cut(i, j)
		}
	}
}

var _ = ginkgo.Describe("a poll for a confirmed configuration", func() {
	scenario("given a majority, when a node polls, then it is answered at once with the newest configuration, confirmed", func(f *fleet) {
		Expect(f.commits(0, fullProposal(5, 0))).To(BeTrue())
		for i := range f.controllers {
			began := time.Now()
			reply, err := f.poll(i, firstPoll(1))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Confirmed).To(BeTrue())
			Expect(reply.Configuration.GetSerial()).To(Equal(uint64(5)))
			Expect(time.Since(began)).To(BeNumerically("<", 30*time.Millisecond))
		}
	})

	scenario("given a control machine partitioned a moment ago, when a node polls it while its last majority is still recent, then nothing is confirmed", func(f *fleet) {
		Expect(f.commits(0, fullProposal(5, 0))).To(BeTrue())
		Expect(f.eventually(f.controllers[1].server.Settled)).To(BeTrue())
		f.isolate(1)
		Expect(f.controllers[1].server.Settled()).To(BeTrue(), "its last majority is still recent")
		Expect(f.commits(0, fullProposal(7, 5))).To(BeTrue())
		reply, err := f.poll(1, firstPoll(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Serial).To(Equal(uint64(5)))
		Expect(reply.Confirmed || reply.Settled).To(BeFalse())
		Expect(reply.Controllers).To(HaveLen(3), "the reply lists the other control machines")
		Expect(reply.MajorityMs).NotTo(BeNil())
	})

	scenario("given a partition in one direction only, when a node polls the control machine that receives no replies, then nothing is confirmed", func(f *fleet) {
		Expect(f.commits(0, fullProposal(5, 0))).To(BeTrue())
		for j := range f.controllers[1:] {
			f.network.Cut(hostAddress(j+1), hostAddress(0))
		}
		Expect(f.eventually(func() bool { return f.commits(1, fullProposal(7, 5)) })).To(BeTrue())
		reply, err := f.poll(0, firstPoll(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Confirmed).To(BeFalse())
	})

	scenario("given a partitioned control machine, when a node that holds its configuration polls it and the partition heals, then the node is sent the newest configuration, confirmed", func(f *fleet) {
		Expect(f.commits(0, fullProposal(5, 0))).To(BeTrue())
		f.isolate(1)
		Expect(f.commits(0, fullProposal(7, 5))).To(BeTrue())
		first, err := f.poll(1, firstPoll(1))
		Expect(err).NotTo(HaveOccurred())
		go func() {
			time.Sleep(900 * time.Millisecond)
			f.network.HealAll()
		}()
		req := firstPoll(2)
		req.Controller, req.Serial, req.Registry, req.WaitMs = first.Controller, 5, first.Registry, 2000
		began := time.Now()
		reply, err := f.poll(1, req)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Confirmed).To(BeTrue())
		Expect(reply.Configuration.GetSerial()).To(Equal(uint64(7)))
		Expect(time.Since(began)).To(BeNumerically("~", 1200*time.Millisecond, 300*time.Millisecond))
	})

	scenario("given a clock that steps back and forth, when a node polls a partitioned control machine, then nothing is confirmed", func(f *fleet) {
		Expect(f.commits(0, fullProposal(5, 0))).To(BeTrue())
		f.isolate(1)
		for _, step := range []time.Duration{-time.Minute, 2 * time.Minute} {
			f.controllers[1].clock.Jump(step)
			reply, err := f.poll(1, firstPoll(1))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Confirmed).To(BeFalse())
		}
	})

	scenario("given an unreachable control machine, when a node polls another, then the unreachable one doesn't delay the confirmation", func(f *fleet) {
		Expect(f.commits(0, fullProposal(5, 0))).To(BeTrue())
		f.isolate(2)
		time.Sleep(3 * time.Second)
		began := time.Now()
		reply, err := f.poll(0, firstPoll(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Confirmed).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 50*time.Millisecond))
	})

	scenario("given a control machine that has lost its disk and not recovered, when a node polls it, then nothing is confirmed and no majority is claimed", func(f *fleet) {
		Expect(f.commits(0, fullProposal(5, 0))).To(BeTrue())
		f.powerLoss(1)
		f.controllers[1].disk.Wipe()
		f.isolate(1)
		f.start(1, false)
		time.Sleep(2 * time.Second)
		reply, err := f.poll(1, firstPoll(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Confirmed).To(BeFalse())
		Expect(reply.MajorityMs).To(BeNil())
	})

	scenario("given two reachable control machines, only one of which holds the newest change, when a node polls the other, then the old configuration is not confirmed", func(f *fleet) {
		Expect(f.commits(0, fullProposal(5, 0))).To(BeTrue())
		f.kill(1)
		Expect(f.proposeUntilAnswered(0, fullProposal(7, 5)).Kind).To(BeEmpty())
		f.isolate(2)
		f.start(1, false)
		polls, confirmed := 0, 0
		Expect(f.eventuallyWithin(10*time.Second, func() bool {
			reply, err := f.poll(1, &wire.PollRequest{NodeStatus: nodeStatus("n1", uint64(polls)), Wants: true, Confirm: true})
			polls++
			if err == nil && reply.Confirmed {
				confirmed++
				Expect(reply.Serial).To(Equal(uint64(7)))
			}
			return confirmed > 3
		})).To(BeTrue())
	})

	scenario("given many nodes that poll at once, when they are answered, then they share majority reads", func(f *fleet) {
		Expect(f.commits(0, fullProposal(5, 0))).To(BeTrue())
		before := f.controllers[0].server.reads.sequence()
		var group sync.WaitGroup
		for range 60 {
			group.Go(func() {
				defer ginkgo.GinkgoRecover()
				reply, err := f.poll(0, firstPoll(1))
				Expect(err).NotTo(HaveOccurred())
				Expect(reply.Confirmed).To(BeTrue())
			})
		}
		group.Wait()
		Expect(f.controllers[0].server.reads.sequence() - before).To(BeNumerically("<=", 6))
	})
})

var _ = ginkgo.Describe("majority reads", func() {
	ginkgo.It("given a read in progress, when a request arrives, then that read doesn't answer it, and one later read answers all requests that arrived before it", func() {
		synctest.Test(suite, func(*testing.T) {
			defer ginkgo.GinkgoRecover()
			s := base.Scope{Context: context.Background()}
			var mu sync.Mutex
			reads, began := newSharedReads[readResult](), []time.Time{}
			read := func() readResult {
				mu.Lock()
				began = append(began, time.Now())
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				return readResult{confirmed: true}
			}
			var group sync.WaitGroup
			for i := range 10 {
				group.Go(func() {
					defer ginkgo.GinkgoRecover()
					time.Sleep(time.Duration(i) * 10 * time.Millisecond)
					arrival, at := reads.sequence(), time.Now()
					Expect(reads.readAfter(s, arrival, read).confirmed).To(BeTrue())
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
