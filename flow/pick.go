package flow

import (
	"time"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/membership"
	"curlewreach/proto/wire"
)

const (
	elsewhere  = 0.5
	cooling    = 4.0
	standingBy = 2.0
)

type place struct {
	node        string
	address     string
	incarnation string
	offset      time.Duration
	standing    string
	seat        *wire.Seat
}

type record struct {
	used   time.Duration
	flying int
	cool   time.Duration
}

func (n *Node) places(service string) func(yield func(place) bool) {
	return func(yield func(place) bool) {
		own := n.member.Roster()
		for _, seat := range own.Seats {
			if seat.Service == service && !seat.Leaving && !yield(place{node: n.self, incarnation: own.Incarnation, standing: membership.Well, seat: seat}) {
				return
			}
		}
		for name, each := range n.atlas.All() {
			if name == n.self || each.sighting.Roster.Stopping {
				continue
			}
			roster := each.sighting.Roster
			for _, seat := range roster.Seats {
				if seat.Service == service && !seat.Leaving && !yield(place{
					node: name, address: roster.Address, incarnation: roster.Incarnation, standing: each.sighting.Standing, seat: seat,
					offset: time.Duration(roster.ClockUs)*time.Microsecond - each.heard,
				}) {
					return
				}
			}
		}
	}
}

func (n *Node) pick(signed *bundle.Bundle, way bundle.Way, ledger *Ledger) (place, bool) {
	var best place
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

func (n *Node) recordOf(each place) *record {
	key := each.node + " " + each.seat.Address
	at := n.records[key]
	if at == nil {
		at = &record{}
		n.records[key] = at
	}
	at.used = n.scope.Clock.Mono()
	return at
}

func (n *Node) score(each place) float64 {
	at := n.recordOf(each)
	score := (float64(at.flying) + 1) / float64(max(each.seat.Capacity, 1))
	score *= 1 + each.seat.Weight
	if each.seat.Zone != n.zone {
		score *= 1 + elsewhere
	}
	if each.standing != membership.Well {
		score *= 1 + cooling*standingBy
	}
	if at.cool > n.scope.Clock.Mono() {
		score *= 1 + cooling
	}
	return score
}

func (n *Node) judge(picked place, attempt *Attempt) {
	n.picking.Lock()
	defer n.picking.Unlock()
	at := n.recordOf(picked)
	at.flying--
	if attempt.State != Answered && attempt.Mishap.Kind != base.Crowded && attempt.Mishap.Kind != base.Stale && attempt.Mishap.Kind != base.Apart {
		at.cool = n.scope.Clock.Mono() + n.patience
	}
}
