package callgraph

import (
	"math"
	"sync"
)

const (
	// significanceLevel is the probability below which the absence of calls from a service is not attributed
	// to chance.
	significanceLevel = 0.0005
	// minCalls is the number of calls of a route before anything is concluded: shortly after the start not
	// all nodes are known.
	minCalls = 24
	// resetAfterCalls is the number of calls after which the counts of a route are reset.
	resetAfterCalls = 4000
	// callsAfterReset is the number of calls of a route that are assumed after a reset.
	callsAfterReset = 80
)

// routeCalls counts the calls of a route, in total and by calling service.
type routeCalls struct {
	total     int
	byService map[string]int
}

// NestedCallDetector detects the routes that only some of the services in this zone call. Calls of such a
// route are nested: they are made while serving another request, which occupies a slot while it waits for
// them. That serves the attribution of spans only: how long a request waits does not depend on it. It is safe for
// concurrent use.
type NestedCallDetector struct {
	mu     sync.Mutex
	routes map[string]*routeCalls
}

// NewNestedCallDetector returns a detector without any calls.
func NewNestedCallDetector() *NestedCallDetector {
	return &NestedCallDetector{routes: map[string]*routeCalls{}}
}

// RecordCall counts a call of a route by the service caller and reports whether the call is nested, which it
// is if one of the services never calls the route. nodes holds the number of nodes of each service in this
// zone; clients send their requests through all of these nodes alike, so every service calls a route that
// clients use.
func (d *NestedCallDetector) RecordCall(route, caller string, nodes map[string]int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	calls := d.routes[route]
	if calls == nil || calls.total > resetAfterCalls {
		calls = calls.reset()
		d.routes[route] = calls
	}
	calls.total++
	calls.byService[caller]++
	totalNodes := 0
	for _, count := range nodes {
		totalNodes += count
	}
	for service, count := range nodes {
		if calls.byService[service] == 0 && calls.total > callsNeeded(float64(count)/float64(totalNodes)) {
			return true
		}
	}
	return false
}

// reset returns counts that start over. Each service that has called more than once keeps one call. r may be
// nil.
func (r *routeCalls) reset() *routeCalls {
	next := &routeCalls{byService: map[string]int{}}
	if r == nil {
		return next
	}
	next.total = callsAfterReset
	for name, count := range r.byService {
		if count > 1 {
			next.byService[name] = 1
		}
	}
	return next
}

// callsNeeded returns the number of calls of which a service with that share of the nodes would have made at
// least one, except with a probability of significanceLevel; at least minCalls.
func callsNeeded(share float64) int {
	if share >= 1 {
		return minCalls
	}
	return max(minCalls, int(math.Ceil(math.Log(significanceLevel)/math.Log1p(-share))))
}
