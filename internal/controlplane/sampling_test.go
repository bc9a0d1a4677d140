package controlplane

import (
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

// sendSpans has a trace store keep count spans of a configured route and as many of an unknown one.
func (f *fleet) sendSpans(i, count int) {
	batch := &wire.Batch{Id: f.scope.Rand.Hex(4)}
	for range count {
		batch.Spans = append(batch.Spans, &wire.Span{Id: f.scope.Rand.Hex(8), Service: "loans", Route: "r-0", SelfUs: uint64(f.scope.Rand.IntN(9000)), DurationUs: 9000})
		batch.Spans = append(batch.Spans, &wire.Span{Id: f.scope.Rand.Hex(8), Service: "loans", Route: "unheard-of", SelfUs: 1})
	}
	_, err := wireconnect.NewLensClient(f.client, "http://"+peerAddress(i)).Keep(f.scope, connect.NewRequest(&wire.KeepRequest{Batch: batch}))
	Expect(err).NotTo(HaveOccurred())
}

// learnerIndex returns the index of the control machine that holds the duty of the sampling learner, or -1.
func (f *fleet) learnerIndex() int {
	for i, c := range f.controllers {
		if c.server != nil {
			holder := c.server.learning.Load().state.GetHolder()
			for j := range f.controllers {
				if holder == peerAddress(j) {
					return j
				}
			}
			_ = i
		}
	}
	return -1
}

var _ = ginkgo.Describe("learning the sampling odds", func() {
	scenario("given spans of configured and unknown routes, when a cycle has passed, then nodes are sent sampling odds of the configured route only", func(f *fleet) {
		Expect(f.commits(0, fullProposal(1, 0))).To(BeTrue())
		f.sendSpans(1, 40)
		Expect(f.eventually(func() bool { return f.controllers[2].server.learning.Load().state.GetOdds() != nil })).To(BeTrue())
		f.sendSpans(2, 40)
		Expect(f.eventually(func() bool { return len(f.controllers[2].server.learning.Load().state.GetOdds().GetTable()) > 0 })).To(BeTrue())
		reply, err := f.poll(2, &wire.PollRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Odds.Table).To(HaveLen(1))
		Expect(reply.Odds.Table).To(HaveKey("loans/r-0"))
		Expect(reply.Odds.Epsilon).To(Equal(0.05))
	})

	scenario("given no new spans, when cycles pass, then nothing is written and no other control machine becomes the learner", func(f *fleet) {
		Expect(f.commits(0, fullProposal(1, 0))).To(BeTrue())
		f.sendSpans(1, 40)
		Expect(f.eventually(func() bool { return f.controllers[2].server.learning.Load().state.GetOdds() != nil })).To(BeTrue())
		time.Sleep(12 * time.Second)
		before := f.controllers[2].server.learning.Load().version
		time.Sleep(2 * time.Minute)
		Expect(f.controllers[2].server.learning.Load().version).To(BeIdenticalTo(before))
	})

	scenario("given a learner, when it shuts down, then it names a successor; when that one crashes, then another takes over and continues", func(f *fleet) {
		Expect(f.commits(0, fullProposal(1, 0))).To(BeTrue())
		f.sendSpans(1, 40)
		Expect(f.eventually(func() bool { return f.learnerIndex() >= 0 })).To(BeTrue())
		f.expectAgreement(1)
		first := f.learnerIndex()
		f.controllers[first].server.Stop()
		f.kill(first)
		Expect(f.eventuallyWithin(3*time.Second, func() bool { return f.learnerIndex() != first })).To(BeTrue())
		f.start(first, false)
		f.expectAgreement(1)
		second := f.learnerIndex()
		f.kill(second)
		Expect(f.eventuallyWithin(30*time.Second, func() bool { f.sendSpans(first, 1); time.Sleep(time.Second); return f.learnerIndex() != second })).To(BeTrue())
		cycle := f.controllers[first].server.learning.Load().state.GetCycle()
		f.sendSpans(first, 40)
		Expect(f.eventuallyWithin(12*time.Second, func() bool { return f.controllers[first].server.learning.Load().state.GetCycle() > cycle })).To(BeTrue())
	})
})

var _ = ginkgo.Describe("a partitioned learner", func() {
	scenario("given spans on both sides of a partition, when another control machine takes over, then the partitioned learner distributes no odds of its own, and receives the others' after the partition heals", func(f *fleet) {
		Expect(f.commits(0, fullProposal(1, 0))).To(BeTrue())
		f.sendSpans(1, 40)
		Expect(f.eventually(func() bool { return f.learnerIndex() >= 0 })).To(BeTrue())
		f.expectAgreement(1)
		alone := f.learnerIndex()
		f.isolate(alone)
		serial := func(i int) uint64 {
			reply, err := f.poll(i, &wire.PollRequest{})
			Expect(err).NotTo(HaveOccurred())
			return reply.Odds.GetSerial()
		}
		at := serial(alone)
		other := (alone + 1) % 3
		Expect(f.eventuallyWithin(60*time.Second, func() bool {
			f.sendSpans(alone, 20)
			f.sendSpans(other, 20)
			time.Sleep(time.Second)
			Expect(serial(alone)).To(Equal(at), "a partitioned learner must not distribute odds")
			return serial(other) > at+2
		})).To(BeTrue())
		f.network.HealAll()
		Expect(f.eventuallyWithin(5*time.Second, func() bool { return serial(alone) >= serial(other) })).To(BeTrue())
	})
})

var _ = ginkgo.Describe("shutting down", func() {
	scenario("given a control machine that holds polls and owns the configuration, when it shuts down, then the polls are answered, another one owns the configuration, and it ends well within the grace period", func(f *fleet) {
		Expect(f.commits(0, fullProposal(1, 0))).To(BeTrue())
		owner := f.ownerIndex()
		first, err := f.poll(owner, &wire.PollRequest{NodeStatus: nodeStatus("n1", 1)})
		Expect(err).NotTo(HaveOccurred())
		answers := make(chan error, 12)
		for n := range cap(answers) {
			go func() {
				_, err := f.poll(owner, &wire.PollRequest{NodeStatus: nodeStatus(fmt.Sprint("n", n), 2), Controller: first.Controller, Registry: 1 << 40, Odds: 1 << 40, WaitMs: 2000, Serial: 1})
				answers <- err
			}()
		}
		time.Sleep(200 * time.Millisecond)
		began := time.Now()
		f.controllers[owner].server.Stop()
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(f.ownerIndex()).To(And(BeNumerically(">=", 0), Not(Equal(owner))))
		for range cap(answers) {
			Expect(<-answers).NotTo(HaveOccurred())
		}
		f.kill(owner)
		began = time.Now()
		Expect(f.commits((owner+1)%3, fullProposal(2, 1))).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", 100*time.Millisecond))
	})
})

var _ = ginkgo.Describe("shutting down with an unused connection", func() {
	scenario("given a connection on which no request was sent, when the control machine shuts down, then it doesn't wait for one", func(f *fleet) {
		Expect(f.commits(0, fullProposal(1, 0))).To(BeTrue())
		spare, err := f.scope.Net.Dial(f.scope, "tcp", peerAddress(1))
		Expect(err).NotTo(HaveOccurred())
		defer spare.Close()
		began := time.Now()
		f.controllers[1].server.Stop()
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})
})

var _ = ginkgo.Describe("spans pending for the learner", func() {
	ginkgo.It("given a learner that can't write, when spans keep arriving, then only the newest are kept", func() {
		var kept []*wire.Span
		for i := range 10 {
			kept = appendNewest(kept, []*wire.Span{{Id: fmt.Sprint(2 * i)}, {Id: fmt.Sprint(2*i + 1)}}, 5)
			Expect(len(kept)).To(BeNumerically("<=", 5))
		}
		Expect(kept).To(HaveLen(5))
		Expect(kept[0].Id).To(Equal("15"))
		Expect(kept[4].Id).To(Equal("19"))
	})
})
