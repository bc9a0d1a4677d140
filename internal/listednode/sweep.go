package listednode

import (
	"maps"
	"time"

	"curlewreach/internal/bundle"
	"curlewreach/proto/wire/wireconnect"
)

// retentionRatio is how long data is kept that is no longer used or named by the bundle, as a multiple of
// the in-force bound.
const retentionRatio = 30

// removeUnused removes data about instances, nodes, groups, services and routes that are gone.
func (n *Node) removeUnused() {
	signed := n.bundle.Load()
	if signed == nil {
		return
	}
	oldest := n.scope.Clock.Mono() - retentionRatio*n.inForceBound
	n.pickMu.Lock()
	maps.DeleteFunc(n.stats, func(_ string, stats *candidateStats) bool { return stats.inFlight == 0 && stats.lastUsed < oldest })
	maps.DeleteFunc(n.routeLatencies, func(route string, _ time.Duration) bool { return !signed.HasRoute(route) })
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

// Prune removes the groups that are not in a bundle and have no waiting requests.
func (q *AdmissionQueue) Prune(signed *bundle.Bundle) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.groups, func(group string, queue *groupQueue) bool {
		return queue.waiting.Len() == 0 && signed.Share(group) == nil
	})
}

// Prune removes the services that are not in a bundle, except those with negative tokens.
func (r *RetryBudget) Prune(signed *bundle.Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.services, func(service string, budget *serviceBudget) bool {
		return budget.maxTokens > 0 && budget.tokens >= 0 && signed.Service(service) == nil
	})
}

// Prune removes the averages of routes that are not in a bundle.
func (t *CallTracker) Prune(signed *bundle.Bundle) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.holdTimes, func(identifier string, _ time.Duration) bool { return !signed.HasRoute(identifier) })
}

// Sizes returns the number of entries in each table, by which tests detect leaks.
func (n *Node) Sizes() map[string]int {
	sizes := map[string]int{"mates": len(n.peerClients.Snapshot()), "atlas": len(n.sightings.Snapshot()), "journal": n.scope.Journal.Len(), "spans": len(n.exporter.Queue()), "room": int(n.memory.used.Load())}
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
