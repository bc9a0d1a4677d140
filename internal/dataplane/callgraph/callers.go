package callgraph

import (
	"math"
	"sync"
)

const (
	// unlikely is the chance below which it is no accident that a service has made none of a route's calls.
	unlikely = 0.0005
	// fewestCalls are counted of a route before anything is concluded: just after a start not all nodes are known.
	fewestCalls = 24
	// callsFade is the number of calls after which the counts of a route begin anew.
	callsFade = 4000
	// renewedCalls is what a route's count begins anew with.
	renewedCalls = 80
)

type callers struct {
	seen int
	from map[string]int
}

// NestedCallDetector learns which routes only some of the services in this zone call: those are further calls, whose parents hold a slot while they wait.
type NestedCallDetector struct {
	mu     sync.Mutex
	routes map[string]*callers
}

// NewNestedCallDetector knows nothing yet.
func NewNestedCallDetector() *NestedCallDetector {
	return &NestedCallDetector{routes: map[string]*callers{}}
}

// RecordCall counts a call and tells whether its route goes uncalled by one of the services. nodes tells how many nodes of
// each service there are in this zone: clients call from all of them alike.
func (c *NestedCallDetector) RecordCall(route, caller string, nodes map[string]int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.routes[route]
	if at == nil || at.seen > callsFade {
		at = at.renewed()
		c.routes[route] = at
	}
	at.seen++
	at.from[caller]++
	all := 0
	for _, count := range nodes {
		all += count
	}
	for service, count := range nodes {
		if at.from[service] == 0 && at.seen > enoughCalls(float64(count)/float64(all)) {
			return true
		}
	}
	return false
}

// renewed begins the counts anew, with a trace of each service that has called before.
func (at *callers) renewed() *callers {
	next := &callers{from: map[string]int{}}
	if at == nil {
		return next
	}
	next.seen = renewedCalls
	for name, count := range at.from {
		if count > 1 {
			next.from[name] = 1
		}
	}
	return next
}

// enoughCalls is the number of calls among which a service with that share of the nodes would surely have made one.
func enoughCalls(share float64) int {
	if share >= 1 {
		return fewestCalls
	}
	return max(fewestCalls, int(math.Ceil(math.Log(unlikely)/math.Log1p(-share))))
}
