package admission

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/testing/simulation"
)

type acquireResult struct {
	rank  int
	fault *base.Fault
	at    time.Duration
}

func patientRequest(rank int, now time.Duration) Request {
	return Request{Rank: rank, WantedStart: now + 5*time.Second, LatestStart: now + 8*time.Second, MayWait: true}
}

// fullQueue returns a queue with every slot taken and every waiting place taken by requests of the lowest
// rank.
func fullQueue(s *simulation.Simulation, limit int) (q *Queue, releases []func(), results chan acquireResult) {
	q, results = NewQueue(s.Clock, limit), make(chan acquireResult, 100)
	for range limit {
		release, fault := q.Acquire(context.Background(), patientRequest(3, s.Clock.Mono()))
		Expect(fault).To(BeNil())
		releases = append(releases, release)
	}
	for range waitersPerSlot * limit {
		acquireAsync(s, q, 3, results)
	}
	return q, releases, results
}

func acquireAsync(s *simulation.Simulation, q *Queue, rank int, results chan acquireResult) {
	s.Go(func() {
		release, fault := q.Acquire(context.Background(), patientRequest(rank, s.Clock.Mono()))
		results <- acquireResult{rank, fault, s.Clock.Mono()}
		if fault == nil {
			time.Sleep(100 * time.Millisecond)
			release()
		}
	})
	time.Sleep(time.Millisecond)
}

var _ = ginkgo.Describe("a full queue", func() {
	simulation.It("given a queue full of the lowest rank, when an urgent request arrives, then it evicts the last waiter, which is told at once when to retry, and is admitted first", func(s *simulation.Simulation) {
		q, releases, results := fullQueue(s, 2)
		Expect(results).To(BeEmpty())
		enteredAt := s.Clock.Mono()
		acquireAsync(s, q, 0, results)
		Expect(results).To(HaveLen(1))
		evicted := <-results
		Expect(evicted.rank).To(Equal(3))
		Expect(evicted.fault).NotTo(BeNil())
		Expect(evicted.fault.Kind).To(Equal(base.Overloaded))
		Expect(evicted.fault.RetryAfter).To(BeNumerically(">", 0))
		Expect(evicted.at - enteredAt).To(BeNumerically("<", 2*time.Millisecond))
		releases[0]()
		first := <-results
		Expect(first.rank).To(Equal(0))
		Expect(first.fault).To(BeNil())
		releases[1]()
		s.Wait()
		Expect(results).To(HaveLen(waitersPerSlot*2 - 1))
	})

	simulation.It("given a queue full of urgent requests, when one of the lowest rank arrives, then it is rejected and no waiter is evicted", func(s *simulation.Simulation) {
		q, releases, results := fullQueue(s, 2)
		for range waitersPerSlot * 2 {
			acquireAsync(s, q, 0, results)
		}
		for range waitersPerSlot * 2 {
			Expect((<-results).rank).To(Equal(3))
		}
		acquireAsync(s, q, 3, results)
		rejected := <-results
		Expect(rejected.rank).To(Equal(3))
		Expect(rejected.fault).NotTo(BeNil())
		Expect(results).To(BeEmpty())
		for _, release := range releases {
			release()
		}
		s.Wait()
		for range waitersPerSlot * 2 {
			served := <-results
			Expect(served.rank).To(Equal(0))
			Expect(served.fault).To(BeNil())
		}
	})
})

// Guards against waiters that nobody tells that they won't be admitted.
var _ = ginkgo.Describe("a closed queue", func() {
	simulation.It("given waiters, when the queue closes, then each is rejected at once, later requests too, and those that hold a slot keep it", func(s *simulation.Simulation) {
		q, releases, results := fullQueue(s, 2)
		closedAt := s.Clock.Mono()
		q.Close(base.NewFault(base.Stopping, "", "the node is stopping"))
		time.Sleep(time.Millisecond)
		Expect(results).To(HaveLen(2 * waitersPerSlot))
		for range 2 * waitersPerSlot {
			rejected := <-results
			Expect(rejected.fault.Kind).To(Equal(base.Stopping))
			Expect(rejected.at).To(Equal(closedAt))
		}
		Expect(q.Load().InFlight).To(Equal(2))
		for _, release := range releases {
			release()
		}
		_, fault := q.Acquire(context.Background(), patientRequest(0, s.Clock.Mono()))
		Expect(fault.Kind).To(Equal(base.Stopping))
		Expect(q.Load().InFlight).To(BeZero())
	})
	// A waiter is admitted or rejected, never both, however close the two are.
	simulation.It("given a slot that comes free at the moment at which the queue closes, then a waiter gets one decision", func(s *simulation.Simulation) {
		for range 50 {
			q, releases, results := fullQueue(s, 1)
			s.Go(releases[0])
			s.Go(func() { q.Close(base.NewFault(base.Stopping, "", "the node is stopping")) })
			time.Sleep(time.Second)
			Expect(results).To(HaveLen(1))
			if decided := <-results; decided.fault != nil {
				Expect(decided.fault.Kind).To(Equal(base.Stopping))
			}
			Expect(q.Load().InFlight).To(BeZero())
		}
	})
})

// Guards against an upstream that is only slow and gets ever more requests, as if their answers had been lost.
var _ = ginkgo.Describe("an upstream that is much slower than usual", func() {
	ginkgo.It("given requests that hold their slots for longer than any did, when more come, then one for each slot is admitted beside them and no other", func() {
		const limit = 3
		s := newQueueState(limit)
		s.measure(5, Request{Work: propertyWork})
		counts := map[decision]int{}
		for range 10 * limit {
			for range limit {
				result, _ := s.ask(Request{Work: propertyWork, LatestStart: s.clock.Now + time.Hour})
				counts[result]++
			}
			s.clock.Now += 2 * staleWorkTimes * propertyWork
		}
		Expect(counts[admitted]).To(Equal(2 * limit))
		s.releases[0]()
		result, _ := s.ask(Request{Work: propertyWork, LatestStart: s.clock.Now + time.Hour})
		Expect(result).To(Equal(admitted))
	})
})

// Guards against a second waiter that is rejected for room that is there already.
var _ = ginkgo.Describe("a full queue of a lower rank, one of which can only just start in time", func() {
	ginkgo.It("given an urgent request that makes it late, when it is rejected for that, then nobody else has to make room", func() {
		const limit = 2
		s := newQueueState(limit)
		s.measure(1, Request{Work: propertyWork})
		now := s.clock.Now
		s.ask(Request{Work: propertyWork, LatestStart: now + time.Hour})
		s.ask(Request{Work: 3 * propertyWork, LatestStart: now + time.Hour})
		s.ask(Request{Rank: 2, Work: propertyWork, LatestStart: now + time.Hour, MayWait: true})
		s.ask(Request{Rank: 1, Work: propertyWork, LatestStart: now + propertyWork, MayWait: true})
		s.ask(Request{Work: propertyWork, LatestStart: now + propertyWork, MayWait: true})
		Expect(s.waiting).To(HaveLen(3))
		patient, tight := s.waiting[0], s.waiting[1]
		Expect(tight.decision).To(HaveLen(1))
		Expect(patient.decision).To(BeEmpty())
	})
})
