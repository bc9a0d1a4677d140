// Package placement works out which machines the replicas of services may run
// on, given capacities and rules, by a pseudo-Boolean solver. It moves nothing.
package placement

import (
	"fmt"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// The kinds of rules.
const (
	// Spread divides a service's replicas among the zones as evenly as can be.
	Spread = "spread"
	// Apart allows at most one of the services on a machine.
	Apart = "apart"
	// Together puts all of the services wherever one of them is.
	Together = "together"
	// Pinned allows the services only on the machines listed.
	Pinned = "pinned"
	// MaxPerMachine bounds how many of the services a machine may have: on those listed,
	// or on any if none is.
	MaxPerMachine = "most"
)

const (
	// mostSeats bounds the variables that the solver decides, machines times
	// services, so that it ends within seconds.
	mostSeats = 20000
	// mostReplicas bounds the replicas of one service.
	mostReplicas = 1000
	// mostWeight bounds weights and capacities, so that their sums stay far
	// from overflow.
	mostWeight = 1 << 20
)

// Check returns validation.Errors with the first fault of each field of the
// plan, by the field's path, or nil if there is none.
func Check(plan *wire.PerchPlan) error {
	c := &check{faults: validation.Errors{}, machines: map[string]bool{}, services: map[string]bool{}}
	for i, machine := range plan.Machines {
		c.machine(fmt.Sprintf("machines[%d]", i), machine)
	}
	for i, service := range plan.Services {
		c.service(fmt.Sprintf("services[%d]", i), service)
	}
	if len(plan.Machines) == 0 {
		c.add("machines", errors.New("none is listed"))
	}
	if len(plan.Services) == 0 {
		c.add("services", errors.New("none is listed"))
	}
	if len(plan.Machines)*len(plan.Services) > mostSeats {
		c.add("services", errors.Errorf("machines times services is over %d", mostSeats))
	}
	for i, rule := range plan.Rules {
		c.rule(fmt.Sprintf("rules[%d]", i), rule)
	}
	return c.faults.Filter()
}

// check collects the faults of a plan and the names it has met.
type check struct {
	faults             validation.Errors
	machines, services map[string]bool
}

func (c *check) add(path string, err error) {
	if err != nil && c.faults[path] == nil {
		c.faults[path] = err
	}
}

func (c *check) once(seen map[string]bool, path, name string) {
	c.add(path, validation.Validate(name, validation.Required, base.IsName))
	if seen[name] {
		c.add(path, errors.Errorf("%q is named twice", name))
	}
	seen[name] = true
}

func (c *check) machine(path string, machine *wire.PerchMachine) {
	c.once(c.machines, path+".name", machine.Name)
	c.add(path+".zone", validation.Validate(machine.Zone, validation.Required, base.IsName))
	c.add(path+".capacity", validation.Validate(machine.Capacity, validation.Required, validation.Max(uint32(mostWeight))))
}

func (c *check) service(path string, service *wire.PerchService) {
	c.once(c.services, path+".name", service.Name)
	c.add(path+".replicas", validation.Validate(service.Replicas, validation.Required, validation.Max(uint32(mostReplicas))))
	c.add(path+".weight", validation.Validate(service.Weight, validation.Required, validation.Max(uint32(mostWeight))))
}

func (c *check) rule(path string, rule *wire.PerchRule) {
	c.add(path+".kind", validation.Validate(rule.Kind, validation.Required, validation.In(Spread, Apart, Together, Pinned, MaxPerMachine)))
	for i, name := range rule.Services {
		if !c.services[name] {
			c.add(fmt.Sprintf("%s.services[%d]", path, i), errors.Errorf("no service %q", name))
		}
	}
	for i, name := range rule.Machines {
		if !c.machines[name] {
			c.add(fmt.Sprintf("%s.machines[%d]", path, i), errors.Errorf("no machine %q", name))
		}
	}
	least := map[string]int{Spread: 1, Apart: 2, Together: 2, Pinned: 1, MaxPerMachine: 1}[rule.Kind]
	if len(rule.Services) < least {
		c.add(path+".services", errors.Errorf("%s names at least %d", rule.Kind, least))
	}
	if rule.Kind == Pinned && len(rule.Machines) == 0 {
		c.add(path+".machines", errors.New("pinned to none"))
	}
}
