package admission

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/testing/simulation"
)

type entry struct {
	rank  int
	fault *base.Fault
	at    time.Duration
}

func patientOf(rank int, now time.Duration) Request {
	return Request{Rank: rank, SoftDeadline: now + 5*time.Second, HardDeadline: now + 8*time.Second, MaxWait: 8 * time.Second}
}

// full gives an admission queue with every slot taken and its queue filled with the lowest rank.
func full(s *simulation.Simulation, limit int) (g *Queue, leave []func(), ended chan entry) {
	g, ended = NewQueue(s.Clock, limit, 100*time.Millisecond), make(chan entry, 100)
	for range limit {
		done, fault := g.Acquire(context.Background(), patientOf(3, s.Clock.Mono()))
		Expect(fault).To(BeNil())
		leave = append(leave, done)
	}
	for range queueRatio * limit {
		enter(s, g, 3, ended)
	}
	return g, leave, ended
}

func enter(s *simulation.Simulation, g *Queue, rank int, ended chan entry) {
	s.Go(func() {
		done, fault := g.Acquire(context.Background(), patientOf(rank, s.Clock.Mono()))
		ended <- entry{rank, fault, s.Clock.Mono()}
		if fault == nil {
			time.Sleep(100 * time.Millisecond)
			done()
		}
	})
	time.Sleep(time.Millisecond)
}

var _ = ginkgo.Describe("a full queue", func() {
	simulation.It("given a queue full of the lowest rank, when one of a top rank comes, then it takes the place of the last, who is told at once when to come back, and goes first", func(s *simulation.Simulation) {
		g, leave, ended := full(s, 2)
		Expect(ended).To(BeEmpty())
		came := s.Clock.Mono()
		enter(s, g, 0, ended)
		Expect(ended).To(HaveLen(1))
		out := <-ended
		Expect(out.rank).To(Equal(3))
		Expect(out.fault).NotTo(BeNil())
		Expect(out.fault.Kind).To(Equal(base.Overloaded))
		Expect(out.fault.After).To(BeNumerically(">", 0))
		Expect(out.at - came).To(BeNumerically("<", 2*time.Millisecond))
		leave[0]()
		first := <-ended
		Expect(first.rank).To(Equal(0))
		Expect(first.fault).To(BeNil())
		leave[1]()
		s.Wait()
		Expect(ended).To(HaveLen(queueRatio*2 - 1))
	})

	simulation.It("given a queue full of top ranks, when one of the lowest comes, then it is rejected and nobody loses a place", func(s *simulation.Simulation) {
		g, leave, ended := full(s, 2)
		for range queueRatio * 2 {
			enter(s, g, 0, ended)
		}
		for range queueRatio * 2 {
			Expect((<-ended).rank).To(Equal(3))
		}
		enter(s, g, 3, ended)
		out := <-ended
		Expect(out.rank).To(Equal(3))
		Expect(out.fault).NotTo(BeNil())
		Expect(ended).To(BeEmpty())
		for _, done := range leave {
			done()
		}
		s.Wait()
		for range queueRatio * 2 {
			served := <-ended
			Expect(served.rank).To(Equal(0))
			Expect(served.fault).To(BeNil())
		}
	})
})
