package listednode

import (
	"math"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/membership"
	"curlewreach/proto/wire"
)

// instanceIn returns an instance of a node that is alive, both named like its zone.
func instanceIn(zone string) candidate {
	return candidate{node: zone, standing: membership.Alive, instance: &wire.Seat{Address: zone, Zone: zone, Capacity: 4}}
}

// answered records that an instance answered a request after the given time.
func (n *Node) answered(picked candidate, took time.Duration) {
	n.statsOf(picked).inFlight++
	n.recordOutcome(picked, &Attempt{State: Answered, EndedAt: took}, "catalogue/shelf")
}

// lowest returns the instance that pick would choose.
func (n *Node) lowest(candidates ...candidate) (best candidate) {
	lowest := math.Inf(1)
	for _, each := range candidates {
		if score := n.jitteredScore(each); score < lowest {
			best, lowest = each, score
		}
	}
	return best
}

func newPickingNode(s base.Scope) *Node {
	return &Node{scope: s, stats: map[string]*candidateStats{}, routeLatencies: map[string]time.Duration{}}
}

var _ = ginkgo.Describe("the choice of an instance", func() {
	ginkgo.It("given instances alike but for their distance, when one answers later, then it costs more by that alone, in whatever zone it is", func() {
		runInBubble(func(s base.Scope) {
			n := newPickingNode(s)
			near, far := instanceIn("near"), instanceIn("far")
			Expect(n.score(near)).To(Equal(n.score(far)))
			for range 20 {
				n.answered(near, 10*time.Millisecond)
				n.answered(far, 10*time.Millisecond)
			}
			Expect(n.score(near)).To(Equal(n.score(far)))
			for range 20 {
				n.answered(near, 10*time.Millisecond)
				n.answered(far, 34*time.Millisecond)
			}
			Expect(n.score(far)).To(BeNumerically(">", 1.5*n.score(near)))
		})
	})

	ginkgo.It("given instances alike but for times by chance, when requests come for minutes, then each gets its part of them", func() {
		runInBubble(func(s base.Scope) {
			n := newPickingNode(s)
			first, second := instanceIn("first"), instanceIn("second")
			const periods, requests = 30, 40
			longestRun, run := 0, 0
			counts := map[string]int{}
			for range periods {
				ofPeriod := map[string]int{}
				for range requests {
					time.Sleep(250 * time.Millisecond)
					picked := n.lowest(first, second)
					ofPeriod[picked.node]++
					counts[picked.node]++
					n.answered(picked, time.Duration(20+s.Rand.IntN(60))*time.Millisecond)
				}
				if run++; ofPeriod["first"] > 0 && ofPeriod["second"] > 0 {
					run = 0
				}
				longestRun = max(longestRun, run)
			}
			Expect(longestRun).To(BeNumerically("<=", 1), "periods of %d requests in which one got them all", requests)
			Expect(counts["first"]).To(BeNumerically("~", periods*requests/2, periods*requests/8))
		})
	})

	ginkgo.It("given an instance that was slow for a while, when it has been left alone for half a minute, then it gets requests again; one that stays slow gets few", func() {
		runInBubble(func(s base.Scope) {
			n := newPickingNode(s)
			steady, slow := instanceIn("steady"), instanceIn("slow")
			slowAnswers := 0
			for range 1200 {
				time.Sleep(250 * time.Millisecond)
				picked, took := n.lowest(steady, slow), 20*time.Millisecond
				if picked.node == slow.node {
					slowAnswers++
					took = 100 * time.Millisecond
				}
				n.answered(picked, took)
			}
			Expect(slowAnswers).To(And(BeNumerically(">", 10), BeNumerically("<", 60)))
			counts := map[string]int{}
			for range 1200 {
				time.Sleep(250 * time.Millisecond)
				picked := n.lowest(steady, slow)
				counts[picked.node]++
				n.answered(picked, 20*time.Millisecond)
			}
			Expect(counts[slow.node]).To(BeNumerically(">", 400))
		})
	})
})
