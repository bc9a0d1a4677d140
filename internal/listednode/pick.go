package listednode

import (
	"iter"
	"time"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/membership"
	"curlewreach/proto/wire"
)

const (
	// otherZonePenalty is the increase in cost of an instance in another zone, as a ratio of its cost.
	otherZonePenalty = 0.5
	// failurePenalty is the increase in cost of an instance with a recent failure.
	failurePenalty = 4.0
	// notAliveFactor multiplies failurePenalty for the instances of a node that is not reported alive.
	notAliveFactor = 2.0
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
// flight there, which recordOutcome ends. A random factor of up to 1% spreads the choice among equal
// scores.
func (n *Node) pick(signed *bundle.Bundle, match bundle.RouteMatch, ledger *Ledger) (candidate, bool) {
	var best candidate
	lowest, found := 0.0, false
	n.pickMu.Lock()
	defer n.pickMu.Unlock()
	for each := range n.candidates(match.Service.Name) {
		if ledger.Tried(each.instance.Address) || (each.node != n.self && signed.Machine(each.node) == nil) {
			continue
		}
		score := n.score(each) * (1 + 0.01*n.scope.Rand.Float64())
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

// score returns the cost of a candidate, mainly its attempts in flight in proportion to its capacity.
// n.pickMu must be held.
func (n *Node) score(c candidate) float64 {
	stats := n.statsOf(c)
	score := (float64(stats.inFlight) + 1) / float64(max(c.instance.Capacity, 1))
	score *= 1 + c.instance.Weight
	if c.instance.Zone != n.zone {
		score *= 1 + otherZonePenalty
	}
	if c.standing != membership.Alive {
		score *= 1 + failurePenalty*notAliveFactor
	}
	if stats.avoidUntil > n.scope.Clock.Mono() {
		score *= 1 + failurePenalty
	}
	return score
}

// recordOutcome ends an attempt in flight. After a failure the instance is avoided for a while; rejections
// that say nothing about its health don't count.
func (n *Node) recordOutcome(picked candidate, attempt *Attempt) {
	n.pickMu.Lock()
	defer n.pickMu.Unlock()
	stats := n.statsOf(picked)
	stats.inFlight--
	if attempt.State != Answered && attempt.Fault.Kind != base.Overloaded && attempt.Fault.Kind != base.StaleSerial && attempt.Fault.Kind != base.Contended {
		stats.avoidUntil = n.scope.Clock.Mono() + n.peerTimeout
	}
}
