package placement

import (
	"fmt"
	"regexp"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/pkg/errors"

	"curlewreach/proto/wire"
)

const (
	Spread   = "spread"
	Apart    = "apart"
	Together = "together"
	Pinned   = "pinned"
	Most     = "most"
)

const mostSeats = 20000

var named = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

func Check(plan *wire.PerchPlan) error {
	faults := validation.Errors{}
	add := func(path string, err error) {
		if err != nil && faults[path] == nil {
			faults[path] = err
		}
	}
	machines, services := map[string]bool{}, map[string]bool{}
	once := func(seen map[string]bool, path, name string) {
		add(path, validation.Validate(name, validation.Required, validation.Match(named)))
		if seen[name] {
			add(path, errors.Errorf("%q is named twice", name))
		}
		seen[name] = true
	}
	for i, machine := range plan.Machines {
		path := fmt.Sprintf("machines[%d]", i)
		once(machines, path+".name", machine.Name)
		add(path+".zone", validation.Validate(machine.Zone, validation.Required, validation.Match(named)))
		add(path+".capacity", validation.Validate(machine.Capacity, validation.Required, validation.Max(uint32(1<<20))))
	}
	for i, service := range plan.Services {
		path := fmt.Sprintf("services[%d]", i)
		once(services, path+".name", service.Name)
		add(path+".replicas", validation.Validate(service.Replicas, validation.Required, validation.Max(uint32(1000))))
		add(path+".weight", validation.Validate(service.Weight, validation.Required, validation.Max(uint32(1<<20))))
	}
	if len(plan.Machines) == 0 {
		add("machines", errors.New("none is listed"))
	}
	if len(plan.Services) == 0 {
		add("services", errors.New("none is listed"))
	}
	if len(plan.Machines)*len(plan.Services) > mostSeats {
		add("services", errors.Errorf("machines times services is over %d", mostSeats))
	}
	for i, rule := range plan.Rules {
		path := fmt.Sprintf("rules[%d]", i)
		add(path+".kind", validation.Validate(rule.Kind, validation.Required, validation.In(Spread, Apart, Together, Pinned, Most)))
		for j, name := range rule.Services {
			if !services[name] {
				add(fmt.Sprintf("%s.services[%d]", path, j), errors.Errorf("no service %q", name))
			}
		}
		for j, name := range rule.Machines {
			if !machines[name] {
				add(fmt.Sprintf("%s.machines[%d]", path, j), errors.Errorf("no machine %q", name))
			}
		}
		least := map[string]int{Spread: 1, Apart: 2, Together: 2, Pinned: 1, Most: 1}[rule.Kind]
		if len(rule.Services) < least {
			add(path+".services", errors.Errorf("%s names at least %d", rule.Kind, least))
		}
		if rule.Kind == Pinned && len(rule.Machines) == 0 {
			add(path+".machines", errors.New("pinned to none"))
		}
	}
	return faults.Filter()
}
