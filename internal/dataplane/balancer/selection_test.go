package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"curlewreach/internal/dataplane/admission"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/random"
	"curlewreach/internal/testing/simulation"
	"curlewreach/proto/wire"
)

const (
	// work is how long requests usually take in these tests, and slots the number of slots of each upstream.
	work  = 100 * time.Millisecond
	slots = 4
)

// selection plays requests on the table of one node with a clock of its own.
type selection struct {
	*Table
	clock *simulation.ManualClock
	rand  *random.Source
}

// newSelection returns the table of a node that knows the given number of peers, which are all alike.
func newSelection(peers int, seed uint64) *selection {
	clock := &simulation.ManualClock{Now: time.Hour}
	s := &selection{Table: NewTable(clock, "app-1", time.Hour), clock: clock, rand: random.Seeded(seed)}
	for i := range peers {
		s.publish(peerName(i), 1, 0)
	}
	return s
}

func peerName(i int) string { return fmt.Sprint("peer-", i) }

// publish applies a status of a peer whose upstream says that it warms up for the given time.
func (s *selection) publish(node string, number uint64, warmUp time.Duration) {
	instance := &wire.Instance{Id: "upstream of " + node, Service: books, Zone: "a", Capacity: slots, WarmMs: uint64(warmUp.Milliseconds())}
	status := &wire.NodeStatus{Node: node, Incarnation: "one", Number: number, Inward: node, Zone: "a", Service: books, Instance: instance}
	s.ApplyObservations("core-1", false, []*wire.Observation{{NodeStatus: status}})
}

// candidates returns the peers, the best first.
func (s *selection) candidates() []Candidate {
	return s.Candidates(books, work, func(string) bool { return false }, s.rand)
}

// answer plays a request that a peer answers after the given time, with a report of its load.
func (s *selection) answer(node string, took time.Duration, load forwarding.LoadReport) {
	s.AttemptBegun(node)
	s.AttemptEnded(node, &load, took, work, true)
}

// countBest returns how often each peer is the best in the given number of choices.
func (s *selection) countBest(choices int) map[string]int {
	counts := map[string]int{}
	for range choices {
		counts[s.candidates()[0].Node]++
	}
	return counts
}

func inFlight(count int) forwarding.LoadReport {
	return forwarding.LoadReport{Load: admission.Load{InFlight: count, Limit: slots}}
}

var _ = ginkgo.Describe("the choice of an upstream", func() {
	ginkgo.It("given upstreams alike, one of which was slow for a while, when a minute has passed, then it gets requests again, and at last as many as the other", func() {
		s := newSelection(2, 1)
		for range 40 {
			s.answer(peerName(0), work, inFlight(0))
			s.answer(peerName(1), 5*work, inFlight(0))
		}
		Expect(s.countBest(100)).NotTo(HaveKey(peerName(1)), "it is slow")
		firstUse := time.Duration(0)
		counts := map[string]int{}
		for range 4000 {
			s.clock.Now += 50 * time.Millisecond
			best := s.candidates()[0].Node
			s.answer(best, work, inFlight(0))
			if best == peerName(1) && firstUse == 0 {
				firstUse = s.clock.Now - time.Hour
			}
			if s.clock.Now > time.Hour+2*time.Minute {
				counts[best]++
			}
		}
		Expect(firstUse).To(And(BeNumerically(">", 0), BeNumerically("<", time.Minute)))
		Expect(counts[peerName(1)]).To(BeNumerically("~", counts[peerName(0)], 300))
	})

	ginkgo.It("given an upstream that stays slow, when requests come for ten minutes, then few find out", func() {
		s := newSelection(2, 1)
		slowAnswers, requests := 0, 12000
		for range requests {
			s.clock.Now += 50 * time.Millisecond
			best, took := s.candidates()[0].Node, work
			if best == peerName(1) {
				slowAnswers++
				took = 5 * work
			}
			s.answer(best, took, inFlight(0))
		}
		Expect(slowAnswers).To(BeNumerically("<", requests/100))
	})

	ginkgo.It("given nodes with the same reports, when each picks an upstream at once, then they pick different ones", func() {
		counts := map[string]int{}
		for seed := range uint64(12) {
			counts[newSelection(3, seed).candidates()[0].Node]++
		}
		for i := range 3 {
			Expect(counts[peerName(i)]).To(BeNumerically(">=", 2), "%v", counts)
		}
	})

	ginkgo.It("given upstreams that answer alike, when one has two more free slots, then it is picked", func() {
		s := newSelection(2, 1)
		s.answer(peerName(0), work, inFlight(3))
		s.answer(peerName(1), work, inFlight(1))
		Expect(s.countBest(100)).To(Equal(map[string]int{peerName(1): 100}))
	})

	ginkgo.It("given an upstream that says that it is warming up, when others are as good, then it is picked only once it is warm", func() {
		s := newSelection(2, 1)
		s.publish(peerName(0), 2, 5*time.Second)
		Expect(s.countBest(100)).To(Equal(map[string]int{peerName(1): 100}))
		s.clock.Now += 5*time.Second + time.Millisecond
		Expect(s.countBest(100)[peerName(0)]).To(BeNumerically("~", 50, 20))
	})
})

// play lets a peer have a random past.
func (s *selection) play(t *rapid.T, node string) {
	for range rapid.IntRange(0, 30).Draw(t, "requests before") {
		s.clock.Now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause in ms")) * time.Millisecond
		if rapid.IntRange(0, 9).Draw(t, "outcome") == 0 {
			s.AttemptBegun(node)
			s.AttemptEnded(node, nil, 0, work, false)
			s.MarkUnreachable(node)
			continue
		}
		load := inFlight(rapid.IntRange(0, 2*slots).Draw(t, "in flight"))
		load.FailurePercent = rapid.IntRange(0, 100).Draw(t, "failures in percent")
		s.answer(node, time.Duration(rapid.IntRange(1, 2000).Draw(t, "took in ms"))*time.Millisecond, load)
	}
}

// TestSameKnowledgeSameChoice checks that upstreams of which the newest answers say the same are treated alike, whatever
// they did before.
func TestSameKnowledgeSameChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSelection(2, 1)
		s.play(t, peerName(0))
		s.play(t, peerName(1))
		took := time.Duration(rapid.IntRange(20, 400).Draw(t, "takes now in ms")) * time.Millisecond
		load := inFlight(rapid.IntRange(0, 2*slots).Draw(t, "in flight now"))
		for range 60 {
			s.answer(peerName(0), took, load)
			s.answer(peerName(1), took, load)
		}
		expectAlike(t, s)
	})
}

// TestOldKnowledgeFades checks that upstreams that are left alone are treated alike in the end, whatever they did before.
func TestOldKnowledgeFades(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSelection(2, 1)
		s.play(t, peerName(0))
		s.play(t, peerName(1))
		s.clock.Now += time.Hour
		expectAlike(t, s)
	})
}

// expectAlike checks that two peers are picked about as often as each other.
func expectAlike(t *rapid.T, s *selection) {
	const choices = 400
	if first := s.countBest(choices)[peerName(0)]; first < choices/4 || first > choices*3/4 {
		t.Fatalf("peers alike are picked %d and %d times", first, choices-first)
	}
}

// TestEarliestAnswerIsChosen checks that no other upstream would be expected to answer earlier than the best one by more
// than the free slots and chance count.
func TestEarliestAnswerIsChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSelection(4, rapid.Uint64().Draw(t, "seed"))
		for i := range 4 {
			took := time.Duration(rapid.IntRange(30, 400).Draw(t, "takes in ms")) * time.Millisecond
			load := inFlight(rapid.IntRange(0, 2*slots).Draw(t, "in flight"))
			load.ServiceTimeMs = rapid.IntRange(50, 400).Draw(t, "holds a slot in ms")
			for range 60 {
				s.answer(peerName(i), took, load)
			}
		}
		candidates := s.candidates()
		best := s.expectedAnswer(candidates[0])
		for _, other := range candidates[1:] {
			slack := utilizationWeight*s.peers[other.Node].latency.Average(s.clock.Now) + scoreJitter
			if earliest := s.expectedAnswer(other); best > earliest+slack {
				t.Fatalf("%s is picked, expected to answer after %.2f works, though %s would after %.2f", candidates[0].Node, best, other.Node, earliest)
			}
		}
	})
}

// expectedAnswer returns when a candidate is expected to answer, in usual latencies.
func (s *selection) expectedAnswer(c Candidate) float64 {
	return s.peers[c.Node].latency.Average(s.clock.Now) + float64(c.Wait)/float64(work)
}
