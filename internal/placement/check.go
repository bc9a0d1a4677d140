// Package placement computes an assignment of service replicas to machines that
// satisfies capacities and placement rules, with a pseudo-Boolean solver. It doesn't
// deploy or move anything.
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
	// Spread distributes the replicas of each service evenly over the zones.
	Spread = "spread"
	// Apart allows at most one of the services on a machine.
	Apart = "apart"
	// Together requires all of the services on each machine that has one of them.
	Together = "together"
	// Pinned allows the services only on the listed machines.
	Pinned = "pinned"
	// MaxPerMachine limits how many of the services may run on each listed machine,
	// or on every machine if none is listed.
	MaxPerMachine = "most"
)

const (
	// maxVariables limits the number of the solver's variables, machines times
	// services, so that it finishes within seconds.
	maxVariables = 20000
	// maxReplicas limits the replicas of one service.
	maxReplicas = 1000
	// maxWeight limits weights and capacities, so that their sums don't overflow.
	maxWeight = 1 << 20
)

// Check validates a plan. It returns validation.Errors with the first fault of each
// field by the field's path, or nil if the plan is valid.
func Check(plan *wire.PerchPlan) error {
	c := &checker{faults: validation.Errors{}, machines: map[string]bool{}, services: map[string]bool{}}
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
	if len(plan.Machines)*len(plan.Services) > maxVariables {
		c.add("services", errors.Errorf("machines times services exceeds %d", maxVariables))
	}
	for i, rule := range plan.Rules {
		c.rule(fmt.Sprintf("rules[%d]", i), rule)
	}
	return c.faults.Filter()
}

// checker collects the faults of a plan and the names declared so far.
type checker struct {
	faults             validation.Errors
	machines, services map[string]bool
}

// add records a fault unless the field already has one.
func (c *checker) add(path string, err error) {
	if err != nil && c.faults[path] == nil {
		c.faults[path] = err
	}
}

// uniqueName checks that a name is valid and not yet in seen, and adds it there.
func (c *checker) uniqueName(seen map[string]bool, path, name string) {
	c.add(path, validation.Validate(name, validation.Required, base.IsName))
	if seen[name] {
		c.add(path, errors.Errorf("%q is named twice", name))
	}
	seen[name] = true
}

func (c *checker) machine(path string, machine *wire.PerchMachine) {
	c.uniqueName(c.machines, path+".name", machine.Name)
	c.add(path+".zone", validation.Validate(machine.Zone, validation.Required, base.IsName))
	c.add(path+".capacity", validation.Validate(machine.Capacity, validation.Required, validation.Max(uint32(maxWeight))))
}

func (c *checker) service(path string, service *wire.PerchService) {
	c.uniqueName(c.services, path+".name", service.Name)
	c.add(path+".replicas", validation.Validate(service.Replicas, validation.Required, validation.Max(uint32(maxReplicas))))
	c.add(path+".weight", validation.Validate(service.Weight, validation.Required, validation.Max(uint32(maxWeight))))
}

func (c *checker) rule(path string, rule *wire.PerchRule) {
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
	minServices := map[string]int{Spread: 1, Apart: 2, Together: 2, Pinned: 1, MaxPerMachine: 1}[rule.Kind]
	if len(rule.Services) < minServices {
		c.add(path+".services", errors.Errorf("%s needs at least %d services", rule.Kind, minServices))
	}
	if rule.Kind == Pinned && len(rule.Machines) == 0 {
		c.add(path+".machines", errors.New("pinned needs at least one machine"))
	}
}
