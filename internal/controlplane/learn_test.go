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

func (f *fleet) spans(i, many int) {
	batch := &wire.Batch{Id: f.scope.Rand.Hex(4)}
	for range many {
		batch.Spans = append(batch.Spans, &wire.Span{Id: f.scope.Rand.Hex(8), Service: "loans", Route: "r-0", SelfUs: uint64(f.scope.Rand.IntN(9000)), DurationUs: 9000})
		batch.Spans = append(batch.Spans, &wire.Span{Id: f.scope.Rand.Hex(8), Service: "loans", Route: "unheard-of", SelfUs: 1})
	}
	_, err := wireconnect.NewLensClient(f.web, "http://"+at(i)).Keep(f.scope, connect.NewRequest(&wire.KeepRequest{Batch: batch}))
	Expect(err).NotTo(HaveOccurred())
}

func (f *fleet) holder() int {
	for i, k := range f.controllers {
		if k.server != nil {
			holder := k.server.learning.Load().said.GetHolder()
			for j := range f.controllers {
				if holder == at(j) {
					return j
				}
			}
			_ = i
		}
	}
	return -1
}

var _ = ginkgo.Describe("learning", func() {
	story("given spans of a route in the configuration, when a cycle has passed, then all nodes are told odds, of that route only", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		f.spans(1, 40)
		Expect(f.until(func() bool { return f.controllers[2].server.learning.Load().said.GetOdds() != nil })).To(BeTrue())
		f.spans(2, 40)
		Expect(f.until(func() bool { return len(f.controllers[2].server.learning.Load().said.GetOdds().GetTable()) > 0 })).To(BeTrue())
		reply, err := f.poll(2, &wire.PollRequest{})
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Odds.Table).To(HaveLen(1))
		Expect(reply.Odds.Table).To(HaveKey("loans/r-0"))
		Expect(reply.Odds.Epsilon).To(Equal(0.05))
	})

	story("given no new spans, when cycles pass, then nothing is written and nobody takes the duty", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		f.spans(1, 40)
		Expect(f.until(func() bool { return f.controllers[2].server.learning.Load().said.GetOdds() != nil })).To(BeTrue())
		time.Sleep(12 * time.Second)
		entry := f.controllers[2].server.learning.Load().entry
		time.Sleep(2 * time.Minute)
		Expect(f.controllers[2].server.learning.Load().entry).To(BeIdenticalTo(entry))
	})

	story("given a holder, when it stops in order, then a successor is named; when that one dies, then another takes over and learns on", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		f.spans(1, 40)
		Expect(f.until(func() bool { return f.holder() >= 0 })).To(BeTrue())
		f.agree(1)
		first := f.holder()
		f.controllers[first].server.Stop()
		f.kill(first)
		Expect(f.within(3*time.Second, func() bool { return f.holder() != first })).To(BeTrue())
		f.raise(first, false)
		f.agree(1)
		second := f.holder()
		f.kill(second)
		Expect(f.within(30*time.Second, func() bool { f.spans(first, 1); time.Sleep(time.Second); return f.holder() != second })).To(BeTrue())
		cycle := f.controllers[first].server.learning.Load().said.GetCycle()
		f.spans(first, 40)
		Expect(f.within(12*time.Second, func() bool { return f.controllers[first].server.learning.Load().said.GetCycle() > cycle })).To(BeTrue())
	})
})

var _ = ginkgo.Describe("a learner that is cut off", func() {
	story("given spans on both sides, when another takes over, then the one cut off hands out no odds of its own, and is told the others' once joined again", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		f.spans(1, 40)
		Expect(f.until(func() bool { return f.holder() >= 0 })).To(BeTrue())
		f.agree(1)
		alone := f.holder()
		f.isolate(alone)
		serial := func(i int) uint64 {
			reply, err := f.poll(i, &wire.PollRequest{})
			Expect(err).NotTo(HaveOccurred())
			return reply.Odds.GetSerial()
		}
		at := serial(alone)
		other := (alone + 1) % 3
		Expect(f.within(60*time.Second, func() bool {
			f.spans(alone, 20)
			f.spans(other, 20)
			time.Sleep(time.Second)
			Expect(serial(alone)).To(Equal(at), "nothing it learns alone is handed out")
			return serial(other) > at+2
		})).To(BeTrue())
		f.world.HealAll()
		Expect(f.within(5*time.Second, func() bool { return serial(alone) >= serial(other) })).To(BeTrue())
	})
})

var _ = ginkgo.Describe("stopping", func() {
	story("given a control machine that holds polls and owns the configuration, when it stops, then polls are answered, another owns it, and it is gone well within the grace", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		owner := f.owner()
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
		begun := time.Now()
		f.controllers[owner].server.Stop()
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
		Expect(f.owner()).To(And(BeNumerically(">=", 0), Not(Equal(owner))))
		for range cap(answers) {
			Expect(<-answers).NotTo(HaveOccurred())
		}
		f.kill(owner)
		begun = time.Now()
		Expect(f.taken((owner+1)%3, whole(2, 1))).To(BeTrue())
		Expect(time.Since(begun)).To(BeNumerically("<", 100*time.Millisecond))
	})
})

var _ = ginkgo.Describe("stopping beside a spare connection", func() {
	story("given a connection on which no request has come, when a control machine stops, then it doesn't wait for one", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		spare, err := f.scope.Net.Dial(f.scope, "tcp", at(1))
		Expect(err).NotTo(HaveOccurred())
		defer spare.Close()
		begun := time.Now()
		f.controllers[1].server.Stop()
		Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
	})
})

var _ = ginkgo.Describe("spans that wait for the learner", func() {
	ginkgo.It("given a learner that can write nothing, when spans keep coming, then only the newest are kept", func() {
		var kept []*wire.Span
		for i := range 10 {
			kept = newest(kept, []*wire.Span{{Id: fmt.Sprint(2 * i)}, {Id: fmt.Sprint(2*i + 1)}}, 5)
			Expect(len(kept)).To(BeNumerically("<=", 5))
		}
		Expect(kept).To(HaveLen(5))
		Expect(kept[0].Id).To(Equal("15"))
		Expect(kept[4].Id).To(Equal("19"))
	})
})
