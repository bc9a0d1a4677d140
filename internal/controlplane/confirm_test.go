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

// firstChart is what a node asks that holds nothing yet.
func firstChart(number uint64) *wire.HailRequest {
	return &wire.HailRequest{Post: post("n1", number), Wants: true, Confirm: true, WaitMs: 600}
}

// isolate cuts a control machine from the others, not from nodes.
func (f *fleet) isolate(i int) {
	for j := range f.keels {
		if j != i {
			f.cut(i, j)
		}
	}
}

var _ = ginkgo.Describe("a question for a confirmed chart", func() {
	story("given a majority, when a node asks, then it is answered at once with the newest chart, confirmed", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		for i := range f.keels {
			begun := time.Now()
			reply, err := f.hail(i, firstChart(1))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Confirmed).To(BeTrue())
			Expect(reply.Chart.GetSerial()).To(Equal(uint64(5)))
			Expect(time.Since(begun)).To(BeNumerically("<", 30*time.Millisecond))
		}
	})

	story("given a cut just made, when a node asks within the time that the last majority used to count, then nothing is confirmed", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		Expect(f.until(f.keels[1].moor.Settled)).To(BeTrue())
		f.isolate(1)
		Expect(f.keels[1].moor.Settled()).To(BeTrue(), "its last majority was heard just now")
		Expect(f.taken(0, whole(7, 5))).To(BeTrue())
		reply, err := f.hail(1, firstChart(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Serial).To(Equal(uint64(5)))
		Expect(reply.Confirmed || reply.Settled).To(BeFalse())
		Expect(reply.Keels).To(HaveLen(3), "it tells where else to ask")
		Expect(reply.MajorityMs).NotTo(BeNil())
	})

	story("given a cut in one direction only, when a node asks the one that hears no answers, then nothing is confirmed", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		for j := range f.keels[1:] {
			f.world.Cut(ip(j+1), ip(0))
		}
		Expect(f.until(func() bool { return f.taken(1, whole(7, 5)) })).To(BeTrue())
		reply, err := f.hail(0, firstChart(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Confirmed).To(BeFalse())
	})

	story("given one that is cut off, when a node that holds its chart waits there and the cut heals, then it is told the newest, confirmed", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		f.isolate(1)
		Expect(f.taken(0, whole(7, 5))).To(BeTrue())
		first, err := f.hail(1, firstChart(1))
		Expect(err).NotTo(HaveOccurred())
		go func() {
			time.Sleep(900 * time.Millisecond)
			f.world.HealAll()
		}()
		ask := firstChart(2)
		ask.Keel, ask.Serial, ask.Roster, ask.WaitMs = first.Keel, 5, first.Roster, 2000
		begun := time.Now()
		reply, err := f.hail(1, ask)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Confirmed).To(BeTrue())
		Expect(reply.Chart.GetSerial()).To(Equal(uint64(7)))
		Expect(time.Since(begun)).To(BeNumerically("~", 1200*time.Millisecond, 300*time.Millisecond))
	})

	story("given a clock that steps both ways, when a node asks one that is cut off, then nothing is confirmed", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		f.isolate(1)
		for _, step := range []time.Duration{-time.Minute, 2 * time.Minute} {
			f.keels[1].clock.Jump(step)
			reply, err := f.hail(1, firstChart(1))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Confirmed).To(BeFalse())
		}
	})

	story("given a dark control machine, when a node asks another, then the dark one doesn't hold the confirmation up", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		f.isolate(2)
		time.Sleep(3 * time.Second)
		begun := time.Now()
		reply, err := f.hail(0, firstChart(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Confirmed).To(BeTrue())
		Expect(time.Since(begun)).To(BeNumerically("<", 50*time.Millisecond))
	})

	story("given one that lost its disk and has not recovered, when a node asks it, then nothing is confirmed and no majority is claimed", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		f.powerLoss(1)
		f.keels[1].disk.Wipe()
		f.isolate(1)
		f.raise(1, false)
		time.Sleep(2 * time.Second)
		reply, err := f.hail(1, firstChart(1))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Confirmed).To(BeFalse())
		Expect(reply.MajorityMs).To(BeNil())
	})

	story("given a change that one of two in reach holds and a third that is dark, when a node asks the other, then the old chart is not confirmed", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		f.kill(1)
		Expect(f.insist(0, whole(7, 5)).Kind).To(BeEmpty())
		f.isolate(2)
		f.raise(1, false)
		asked, confirmed := 0, 0
		Expect(f.within(10*time.Second, func() bool {
			reply, err := f.hail(1, &wire.HailRequest{Post: post("n1", uint64(asked)), Wants: true, Confirm: true})
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
		before := f.keels[0].moor.reads.ask()
		var group sync.WaitGroup
		for range 60 {
			group.Go(func() {
				defer ginkgo.GinkgoRecover()
				reply, err := f.hail(0, firstChart(1))
				Expect(err).NotTo(HaveOccurred())
				Expect(reply.Confirmed).To(BeTrue())
			})
		}
		group.Wait()
		Expect(f.keels[0].moor.reads.ask() - before).To(BeNumerically("<=", 6))
	})
})

var _ = ginkgo.Describe("majority reads", func() {
	ginkgo.It("given a read under way, when a question comes, then that read doesn't answer it, and one read answers all that came before it", func() {
		synctest.Test(suite, func(*testing.T) {
			defer ginkgo.GinkgoRecover()
			s := base.Scope{Context: context.Background()}
			var mu sync.Mutex
			reads, began := newChartReads(), []time.Time{}
			read := func() chartRead {
				mu.Lock()
				began = append(began, time.Now())
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				return chartRead{confirmed: true}
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
