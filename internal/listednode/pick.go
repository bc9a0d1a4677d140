package listednode

import (
	"iter"
	"time"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/latency"
	"curlewreach/internal/membership"
	"curlewreach/proto/wire"
)

const (
	// failurePenalty is the increase in cost of an instance with a recent failure: a further one costs the caller
	// another attempt, or its answer where there may be no other.
	failurePenalty = 4.0
	// notAliveFactor multiplies failurePenalty for the instances of a node that is not reported alive, which are
	// the last resort.
	notAliveFactor = 2.0
	// scoreJitter bounds the relative increase of a score by chance: the average latencies of instances that are alike
	// differ by chance as well, which must not send every request to the same one.
	scoreJitter = 0.1
	// latencySmoothing is the weight of the newest response in the average latency of a route.
	latencySmoothing = 0.15
)

// candidate is an instance that a request may be sent to.
type candidate struct {
	node        string        // name
	address     string        // of the node
	incarnation string        // of the node
	clockOffset time.Duration // of the node's monotonic clock from this node's, underestimated by the age of the sighting
	standing    string        // of the node, as membership has it
	instance    *wire.Seat
}

// candidateStats is what this node observed itself of a candidate. Times are readings of the monotonic
// clock.
type candidateStats struct {
	lastUsed   time.Duration
	inFlight   int // attempts of this node
	avoidUntil time.Duration
	// latency is the average of its answers in proportion to those on their routes, distance and queue included.
	latency latency.Relative
}

// candidates iterates over the instances of a service: first the local ones, then those of other nodes in
// the order of the nodes' names. It leaves out nodes that are stopping.
func (n *Node) candidates(service string) iter.Seq[candidate] {
	return func(yield func(candidate) bool) {
		own := n.member.Status()
		if !yieldInstances(own, service, candidate{node: n.self, incarnation: own.Incarnation, standing: membership.Alive}, yield) {
			return
		}
		for name, received := range n.sightings.All() {
			status := received.sighting.Roster
			if name == n.self || status.Stopping {
				continue
			}
			if !yieldInstances(status, service, candidate{
				node: name, address: status.Address, incarnation: status.Incarnation, standing: received.sighting.Standing,
				clockOffset: time.Duration(status.ClockUs)*time.Microsecond - received.receivedAt,
			}, yield) {
				return
			}
		}
	}
}

// yieldInstances yields the instances of a service on one node, except leaving ones, as copies of template,
// and reports whether to continue.
func yieldInstances(status *wire.Roster, service string, template candidate, yield func(candidate) bool) bool {
	for _, report := range status.Seats {
		template.instance = report
		if report.Service == service && !report.Leaving && !yield(template) {
			return false
		}
	}
	return true
}

// pick returns the candidate with the lowest score that the ledger has not tried, and counts an attempt in
// flight there, which recordOutcome ends.
func (n *Node) pick(signed *bundle.Bundle, match bundle.RouteMatch, ledger *Ledger) (candidate, bool) {
	var best candidate
	lowest, found := 0.0, false
	n.pickMu.Lock()
	defer n.pickMu.Unlock()
	for each := range n.candidates(match.Service.Name) {
		if ledger.Tried(each.instance.Address) || (each.node != n.self && signed.Machine(each.node) == nil) {
			continue
		}
		score := n.jitteredScore(each)
		if !found || score < lowest {
			best, lowest, found = each, score, true
		}
	}
	if found {
		n.statsOf(best).inFlight++
	}
	return best, found
}

// statsOf returns the stats of a candidate and marks them as used. n.pickMu must be held.
func (n *Node) statsOf(c candidate) *candidateStats {
	key := c.node + " " + c.instance.Address
	stats := n.stats[key]
	if stats == nil {
		stats = &candidateStats{}
		n.stats[key] = stats
	}
	stats.lastUsed = n.scope.Clock.Mono()
	return stats
}

// jitteredScore returns the score of a candidate, increased by chance. n.pickMu must be held.
func (n *Node) jitteredScore(c candidate) float64 {
	return n.score(c) * (1 + scoreJitter*n.scope.Rand.Float64())
}

// score returns the cost of a candidate, mainly its attempts in flight in proportion to its capacity, and its latency.
// n.pickMu must be held.
func (n *Node) score(c candidate) float64 {
	stats, now := n.statsOf(c), n.scope.Clock.Mono()
	score := (float64(stats.inFlight) + 1) / float64(max(c.instance.Capacity, 1))
	score *= (1 + c.instance.Weight) * stats.latency.Average(now)
	if c.standing != membership.Alive {
		score *= 1 + failurePenalty*notAliveFactor
	}
	if stats.avoidUntil > now {
		score *= 1 + failurePenalty
	}
	return score
}

// recordOutcome ends an attempt in flight. After a failure the instance is avoided for a while; rejections
// that say nothing about its health don't count. An answer on a route adds to the average latencies.
func (n *Node) recordOutcome(picked candidate, attempt *Attempt, route string) {
	n.pickMu.Lock()
	defer n.pickMu.Unlock()
	stats := n.statsOf(picked)
	stats.inFlight--
	if attempt.State == Answered {
		n.recordLatency(stats, route, attempt.EndedAt-attempt.StartedAt)
	}
	if attempt.State != Answered && attempt.Fault.Kind != base.Overloaded && attempt.Fault.Kind != base.StaleSerial && attempt.Fault.Kind != base.Contended {
		stats.avoidUntil = n.scope.Clock.Mono() + n.peerTimeout
	}
}

// recordLatency adds the latency of an answer to the averages of the candidate and of the route. n.pickMu must be held.
func (n *Node) recordLatency(stats *candidateStats, route string, took time.Duration) {
	usual := n.routeLatencies[route]
	if usual <= 0 {
		n.routeLatencies[route] = max(took, time.Microsecond)
		return
	}
	stats.latency.Record(took, usual, n.scope.Clock.Mono())
	n.routeLatencies[route] += time.Duration(latencySmoothing * float64(took-usual))
}
