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
	// elsewhere is the cost added to an instance in another zone, as a part of
	// its own.
	elsewhere = 0.5
	// cooling is the cost added to an instance that lately failed.
	cooling = 4.0
	// standingBy multiplies cooling for a machine that isn't well.
	standingBy = 2.0
)

// candidate is an instance that a request may be carried to.
type candidate struct {
	node        string
	address     string
	incarnation string
	offset      time.Duration
	standing    string
	seat        *wire.Seat
}

// record is what this node itself knows of a candidate.
type record struct {
	used   time.Duration
	flying int
	cool   time.Duration
}

// places iterates over the instances of a service: those beside this node,
// then those beside others, by the nodes' names.
func (n *Node) places(service string) iter.Seq[candidate] {
	return func(yield func(candidate) bool) {
		own := n.member.Status()
		if !besides(own, service, candidate{node: n.self, incarnation: own.Incarnation, standing: membership.Alive}, yield) {
			return
		}
		for name, each := range n.atlas.All() {
			registry := each.sighting.Roster
			if name == n.self || registry.Stopping {
				continue
			}
			if !besides(registry, service, candidate{
				node: name, address: registry.Address, incarnation: registry.Incarnation, standing: each.sighting.Standing,
				offset: time.Duration(registry.ClockUs)*time.Microsecond - each.heard,
			}, yield) {
				return
			}
		}
	}
}

// besides yields the instances of a service beside one node, at the candidate given.
func besides(registry *wire.Roster, service string, at candidate, yield func(candidate) bool) bool {
	for _, seat := range registry.Seats {
		at.seat = seat
		if seat.Service == service && !seat.Leaving && !yield(at) {
			return false
		}
	}
	return true
}

func (n *Node) pick(signed *bundle.Bundle, way bundle.RouteMatch, ledger *Ledger) (candidate, bool) {
	var best candidate
	lowest, found := 0.0, false
	n.picking.Lock()
	defer n.picking.Unlock()
	for each := range n.places(way.Service.Name) {
		if ledger.Tried(each.seat.Address) || (each.node != n.self && signed.Machine(each.node) == nil) {
			continue
		}
		score := n.score(each) * (1 + 0.01*n.scope.Rand.Float64())
		if !found || score < lowest {
			best, lowest, found = each, score, true
		}
	}
	if found {
		n.recordOf(best).flying++
	}
	return best, found
}

func (n *Node) recordOf(each candidate) *record {
	key := each.node + " " + each.seat.Address
	at := n.records[key]
	if at == nil {
		at = &record{}
		n.records[key] = at
	}
	at.used = n.scope.Clock.Mono()
	return at
}

func (n *Node) score(each candidate) float64 {
	at := n.recordOf(each)
	score := (float64(at.flying) + 1) / float64(max(each.seat.Capacity, 1))
	score *= 1 + each.seat.Weight
	if each.seat.Zone != n.zone {
		score *= 1 + elsewhere
	}
	if each.standing != membership.Alive {
		score *= 1 + cooling*standingBy
	}
	if at.cool > n.scope.Clock.Mono() {
		score *= 1 + cooling
	}
	return score
}

func (n *Node) judge(picked candidate, attempt *Attempt) {
	n.picking.Lock()
	defer n.picking.Unlock()
	at := n.recordOf(picked)
	at.flying--
	if attempt.State != Answered && attempt.Fault.Kind != base.Overloaded && attempt.Fault.Kind != base.StaleSerial && attempt.Fault.Kind != base.Contended {
		at.cool = n.scope.Clock.Mono() + n.patience
	}
}
