package dataplane

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
)

type entry struct {
	rank  int
	fault *base.Fault
	at    time.Duration
}

func patientOf(rank int, now time.Duration) Ask {
	return Ask{Rank: rank, AimBy: now + 5*time.Second, DieBy: now + 8*time.Second, Patience: 8 * time.Second}
}

// full gives an admission queue with every slot taken and its queue filled with the lowest rank.
func (s *stand) full(limit int) (g *AdmissionQueue, leave []func(), ended chan entry) {
	g, ended = NewAdmissionQueue(s.clock, limit, 100*time.Millisecond), make(chan entry, 100)
	for range limit {
		done, fault := g.Enter(context.Background(), patientOf(3, s.clock.Mono()))
		Expect(fault).To(BeNil())
		leave = append(leave, done)
	}
	for range queueRatio * limit {
		s.enter(g, 3, ended)
	}
	return g, leave, ended
}

func (s *stand) enter(g *AdmissionQueue, rank int, ended chan entry) {
	s.aside(func() {
		done, fault := g.Enter(context.Background(), patientOf(rank, s.clock.Mono()))
		ended <- entry{rank, fault, s.clock.Mono()}
		if fault == nil {
			time.Sleep(100 * time.Millisecond)
			done()
		}
	})
	time.Sleep(time.Millisecond)
}

var _ = ginkgo.Describe("a full queue", func() {
	story("given a queue full of the lowest rank, when one of a top rank comes, then it takes the place of the last, who is told at once when to come back, and goes first", func(s *stand) {
		g, leave, ended := s.full(2)
		Expect(ended).To(BeEmpty())
		came := s.clock.Mono()
		s.enter(g, 0, ended)
		Expect(ended).To(HaveLen(1))
		out := <-ended
		Expect(out.rank).To(Equal(3))
		Expect(out.fault).NotTo(BeNil())
		Expect(out.fault.Kind).To(Equal(base.Crowded))
		Expect(out.fault.After).To(BeNumerically(">", 0))
		Expect(out.at - came).To(BeNumerically("<", 2*time.Millisecond))
		leave[0]()
		first := <-ended
		Expect(first.rank).To(Equal(0))
		Expect(first.fault).To(BeNil())
		leave[1]()
		s.crew.Wait()
		Expect(ended).To(HaveLen(queueRatio*2 - 1))
	})

	story("given a queue full of top ranks, when one of the lowest comes, then it is rejected and nobody loses a place", func(s *stand) {
		g, leave, ended := s.full(2)
		for range queueRatio * 2 {
			s.enter(g, 0, ended)
		}
		for range queueRatio * 2 {
			Expect((<-ended).rank).To(Equal(3))
		}
		s.enter(g, 3, ended)
		out := <-ended
		Expect(out.rank).To(Equal(3))
		Expect(out.fault).NotTo(BeNil())
		Expect(ended).To(BeEmpty())
		for _, done := range leave {
			done()
		}
		s.crew.Wait()
		for range queueRatio * 2 {
			served := <-ended
			Expect(served.rank).To(Equal(0))
			Expect(served.fault).To(BeNil())
		}
	})

	fullPeer := func(s *stand) (near *Node, asked *tally) {
		near, asked = s.node(1, noControllers), &tally{}
		near.adopt(aConfiguration(1), true)
		s.serve("10.9.1.2:7002", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked.add("asked", 1)
			o := notRun(base.NewFault(base.Crowded, "", "every slot is taken").Later(10 * time.Millisecond))
			w.Header()[Plain.canonical().Attempt] = r.Header[Plain.canonical().Attempt]
			w.Header()[weightHeader] = []string{LoadReport{Flying: 4, Waiting: 4, Limit: 4, HoldMs: 100}.text()}
			w.Header()[outcomeHeader] = []string{o.text()}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		for _, controller := range threeControllers {
			near.peers.Heard(controller, true, peer(false))
		}
		time.Sleep(time.Second)
		return near, asked
	}

	story("given a peer known to be full, when a visitor comes with time to spare, then that peer is asked once and the visitor told", func(s *stand) {
		near, asked := fullPeer(s)
		for i := range 3 {
			near.peers.Start("app-2")
			near.peers.End("app-2", &LoadReport{Flying: 4, Waiting: 4, Limit: 4, HoldMs: 100}, 0, 0, false)
			before := asked.add("asked", 0)
			t := s.ask(near.params.Outward, "/search/1", asking(fmt.Sprint("visitor-", i), 4*time.Second))
			Expect(t.status).To(Equal(http.StatusServiceUnavailable))
			Expect(t.again).To(BeNumerically(">", 0))
			Expect(t.took).To(BeNumerically("<", 100*time.Millisecond))
			Expect(asked.add("asked", 0) - before).To(Equal(1))
		}
	})

	// Not so yet: a first try without patience stays in the ledger as a place that may be asked with patience, however often it was.
	story("given a full peer that looks free, when a visitor comes with time to spare, then that peer is asked twice at most", func(s *stand) {
		near, asked := fullPeer(s)
		t := s.ask(near.params.Outward, "/search/1", asking("visitor", 4*time.Second))
		Expect(t.status).To(Equal(http.StatusServiceUnavailable))
		Expect(asked.add("asked", 0)).To(BeNumerically("<=", 2))
	})
})
