package listednode

import (
	"maps"
	"time"

	"curlewreach/internal/bundle"
	"curlewreach/proto/wire/wireconnect"
)

// retentionRatio, times the in-force bound, is how long what no bundle names is
// remembered.
const retentionRatio = 30

func (n *Node) removeUnused() {
	signed := n.bundle.Load()
	if signed == nil {
		return
	}
	oldest := n.scope.Clock.Mono() - retentionRatio*n.inForceBound
	n.pickMu.Lock()
	maps.DeleteFunc(n.stats, func(_ string, stats *candidateStats) bool { return stats.inFlight == 0 && stats.lastUsed < oldest })
	n.pickMu.Unlock()
	known := map[string]bool{}
	for machine := range signed.Machines() {
		known[machine.Address] = true
	}
	for _, each := range n.sightings.Snapshot() {
		known[each.sighting.Roster.Address] = true
	}
	for address := range n.peerClients.Snapshot() {
		if !known[address] {
			n.peerClients.Update(func(rows map[string]wireconnect.FlowClient) { delete(rows, address) })
		}
	}
	for name, each := range n.sightings.Snapshot() {
		if signed.Machine(name) == nil && each.receivedAt < oldest {
			n.sightings.Update(func(rows map[string]receivedSighting) { delete(rows, name) })
		}
	}
	n.admission.Prune(signed)
	n.retryBudget.Prune(signed)
	n.callTracker.Prune(signed)
}

// Prune drops groups that a bundle doesn't name.
func (q *AdmissionQueue) Prune(signed *bundle.Bundle) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.groups, func(group string, at *groupQueue) bool { return at.waiting.Len() == 0 && signed.Share(group) == nil })
}

// Prune drops services that a bundle doesn't name.
func (r *RetryBudget) Prune(signed *bundle.Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.services, func(service string, at *serviceBudget) bool {
		return at.maxTokens > 0 && at.tokens >= 0 && signed.Service(service) == nil
	})
}

// Prune drops routes that a bundle doesn't name.
func (t *CallTracker) Prune(signed *bundle.Bundle) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.holdTimes, func(identifier string, _ time.Duration) bool { return !signed.Names(identifier) })
}

// Sizes returns how many rows each table holds, to watch for leaks.
func (n *Node) Sizes() map[string]int {
	sizes := map[string]int{"mates": len(n.peerClients.Snapshot()), "atlas": len(n.sightings.Snapshot()), "journal": n.scope.Journal.Len(), "spans": len(n.exporter.Waiting()), "room": int(n.memory.used.Load())}
	n.pickMu.Lock()
	sizes["records"] = len(n.stats)
	n.pickMu.Unlock()
	n.fences.mu.Lock()
	sizes["fences"] = len(n.fences.entries)
	n.fences.mu.Unlock()
	n.instances.mu.Lock()
	sizes["seats"] = len(n.instances.byAddress)
	n.instances.mu.Unlock()
	n.callTracker.mu.Lock()
	sizes["flights"], sizes["apart"], sizes["turns"] = len(n.callTracker.inFlight), len(n.callTracker.queues), len(n.callTracker.holdTimes)
	n.callTracker.mu.Unlock()
	n.admission.mu.Lock()
	sizes["lanes"] = len(n.admission.groups)
	n.admission.mu.Unlock()
	n.retryBudget.mu.Lock()
	sizes["purses"] = len(n.retryBudget.services)
	n.retryBudget.mu.Unlock()
	return sizes
}
