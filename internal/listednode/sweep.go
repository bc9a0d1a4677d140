package listednode

import (
	"maps"
	"time"

	"curlewreach/internal/bundle"
	"curlewreach/proto/wire/wireconnect"
)

// unusedRatio, times the in-force bound, is how long what no bundle names is
// remembered.
const unusedRatio = 30

func (n *Node) sweep() {
	signed := n.slice.Load()
	if signed == nil {
		return
	}
	oldest := n.scope.Clock.Mono() - unusedRatio*n.force
	n.picking.Lock()
	maps.DeleteFunc(n.records, func(_ string, at *record) bool { return at.flying == 0 && at.used < oldest })
	n.picking.Unlock()
	known := map[string]bool{}
	for machine := range signed.Machines() {
		known[machine.Address] = true
	}
	for _, each := range n.atlas.Snapshot() {
		known[each.sighting.Roster.Address] = true
	}
	for address := range n.peers.Snapshot() {
		if !known[address] {
			n.peers.Update(func(rows map[string]wireconnect.FlowClient) { delete(rows, address) })
		}
	}
	for name, each := range n.atlas.Snapshot() {
		if signed.Machine(name) == nil && each.heard < oldest {
			n.atlas.Update(func(rows map[string]outlook) { delete(rows, name) })
		}
	}
	n.gate.Prune(signed)
	n.repeats.Prune(signed)
	n.ties.Prune(signed)
}

// Prune drops groups that a bundle doesn't name.
func (g *AdmissionQueue) Prune(signed *bundle.Bundle) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.lanes, func(group string, at *groupQueue) bool { return at.waiting.Len() == 0 && signed.Share(group) == nil })
}

// Prune drops services that a bundle doesn't name.
func (r *RetryBudget) Prune(signed *bundle.Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.retryBudgets, func(service string, at *serviceBudget) bool {
		return at.depth > 0 && at.tokens >= 0 && signed.Service(service) == nil
	})
}

// Prune drops routes that a bundle doesn't name.
func (t *CallTracker) Prune(signed *bundle.Bundle) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.turns, func(identifier string, _ time.Duration) bool { return !signed.HasRoute(identifier) })
}

// Sizes returns how many rows each table holds, to watch for leaks.
func (n *Node) Sizes() map[string]int {
	sizes := map[string]int{"mates": len(n.peers.Snapshot()), "atlas": len(n.atlas.Snapshot()), "journal": n.scope.Journal.Len(), "spans": len(n.sink.Queue()), "room": int(n.room.used.Load())}
	n.picking.Lock()
	sizes["records"] = len(n.records)
	n.picking.Unlock()
	n.fences.mu.Lock()
	sizes["fences"] = len(n.fences.fences)
	n.fences.mu.Unlock()
	n.seats.mu.Lock()
	sizes["seats"] = len(n.seats.seats)
	n.seats.mu.Unlock()
	n.ties.mu.Lock()
	sizes["flights"], sizes["apart"], sizes["turns"] = len(n.ties.flights), len(n.ties.apart), len(n.ties.turns)
	n.ties.mu.Unlock()
	n.gate.mu.Lock()
	sizes["lanes"] = len(n.gate.lanes)
	n.gate.mu.Unlock()
	n.repeats.mu.Lock()
	sizes["purses"] = len(n.repeats.retryBudgets)
	n.repeats.mu.Unlock()
	return sizes
}
