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
	// otherZonePenalty is the cost added to an instance in another zone, as a part of
	// its own.
	otherZonePenalty = 0.5
	// failurePenalty is the cost added to an instance that lately failed.
	failurePenalty = 4.0
	// notAliveFactor multiplies cooling for a machine that isn't well.
	notAliveFactor = 2.0
)

// candidate is an instance that a request may be carried to.
type candidate struct {
	node        string
	address     string
	incarnation string
	clockOffset time.Duration
	standing    string
	instance    *wire.Seat
}

// candidateStats is what this node itself knows of a candidate.
type candidateStats struct {
	lastUsed   time.Duration
	inFlight   int
	avoidUntil time.Duration
}

// candidates iterates over the instances of a service: those beside this node,
// then those beside others, by the nodes' names.
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

// yieldInstances yields the instances of a service beside one node, at the candidate given.
func yieldInstances(status *wire.Roster, service string, template candidate, yield func(candidate) bool) bool {
	for _, seat := range status.Seats {
		template.instance = seat
		if seat.Service == service && !seat.Leaving && !yield(template) {
			return false
		}
	}
	return true
}

func (n *Node) pick(signed *bundle.Bundle, match bundle.Way, ledger *Ledger) (candidate, bool) {
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

func (n *Node) statsOf(each candidate) *candidateStats {
	key := each.node + " " + each.instance.Address
	stats := n.stats[key]
	if stats == nil {
		stats = &candidateStats{}
		n.stats[key] = stats
	}
	stats.lastUsed = n.scope.Clock.Mono()
	return stats
}

func (n *Node) score(each candidate) float64 {
	stats := n.statsOf(each)
	score := (float64(stats.inFlight) + 1) / float64(max(each.instance.Capacity, 1))
	score *= 1 + each.instance.Weight
	if each.instance.Zone != n.zone {
		score *= 1 + otherZonePenalty
	}
	if each.standing != membership.Alive {
		score *= 1 + failurePenalty*notAliveFactor
	}
	if stats.avoidUntil > n.scope.Clock.Mono() {
		score *= 1 + failurePenalty
	}
	return score
}

func (n *Node) recordOutcome(picked candidate, attempt *Attempt) {
	n.pickMu.Lock()
	defer n.pickMu.Unlock()
	stats := n.statsOf(picked)
	stats.inFlight--
	if attempt.State != Answered && attempt.Fault.Kind != base.Overloaded && attempt.Fault.Kind != base.Stale && attempt.Fault.Kind != base.KeptApart {
		stats.avoidUntil = n.scope.Clock.Mono() + n.peerTimeout
	}
}
