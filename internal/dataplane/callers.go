package dataplane

import (
	"slices"
	"sync"
)

const (
	enoughCalls = 80
	callsFade   = 4000
)

type callers struct {
	seen int
	from map[string]int
}

// Callers learns which routes only some of the services in this zone call: those are further calls, whose parents hold a slot while they wait.
type Callers struct {
	mu     sync.Mutex
	routes map[string]*callers
}

// NewCallers knows nothing yet.
func NewCallers() *Callers { return &Callers{routes: map[string]*callers{}} }

// Further counts a call and tells whether its route goes uncalled by one of the services.
func (c *Callers) Further(route, caller string, services []string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.routes[route]
	if at == nil || at.seen > callsFade {
		old := at
		at = &callers{from: map[string]int{}}
		if old != nil {
			at.seen = enoughCalls
			for name, count := range old.from {
				if count > 1 {
					at.from[name] = 1
				}
			}
		}
		c.routes[route] = at
	}
	at.seen++
	at.from[caller]++
	return at.seen > enoughCalls && slices.ContainsFunc(services, func(service string) bool { return at.from[service] == 0 })
}
