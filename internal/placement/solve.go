package placement

import (
	"fmt"
	"slices"
	"strings"

	"github.com/crillab/gophersat/solver"

	"curlewreach/proto/wire"
)

// Assignment places one replica of a service on a machine. A machine runs at most
// one replica of a service.
type Assignment struct{ Service, Machine, Zone string }

// requirement is one requirement of a plan, with a readable name and the solver's
// constraints for it. An infeasible one can't be met regardless of the others.
type requirement struct {
	name        string
	constraints []solver.PBConstr
	infeasible  bool
}

// problem holds a plan and the solver's variables by service and machine. A variable
// is true if the service has a replica on the machine.
type problem struct {
	plan      *wire.PerchPlan
	variables map[string]map[string]int
}

// Solve returns assignments that meet all requirements of the plan. If there are
// none, it returns the names of a minimal set of conflicting requirements, which can
// be met if any one of them is dropped. The plan must have passed Check.
func Solve(plan *wire.PerchPlan) (assignments []Assignment, conflict []string) {
	p := newProblem(plan)
	requirements := p.requirements()
	needed := map[int]bool{}
	for i := range requirements {
		needed[i] = true
	}
	if model := p.solve(needed); model != nil {
		return p.assignments(model), nil
	}
	return nil, p.minimalConflict(requirements, needed)
}

// newProblem numbers the variables from 1, like the solver's literals.
func newProblem(plan *wire.PerchPlan) *problem {
	p := &problem{plan: plan, variables: map[string]map[string]int{}}
	next := 0
	for _, service := range plan.Services {
		p.variables[service.Name] = map[string]int{}
		for _, machine := range plan.Machines {
			next++
			p.variables[service.Name][machine.Name] = next
		}
	}
	return p
}

// assignments returns the assignments whose variables are true in a model.
func (p *problem) assignments(model []bool) []Assignment {
	var assignments []Assignment
	for _, service := range p.plan.Services {
		for _, machine := range p.plan.Machines {
			if model[p.variables[service.Name][machine.Name]-1] {
				assignments = append(assignments, Assignment{service.Name, machine.Name, machine.Zone})
			}
		}
	}
	return assignments
}

// minimalConflict removes each requirement in turn, permanently if the remaining
// ones still can't be met, and returns the names of those left.
func (p *problem) minimalConflict(requirements []requirement, needed map[int]bool) []string {
	for i := len(requirements) - 1; i >= 0; i-- {
		needed[i] = false
		needed[i] = p.solve(needed) != nil
	}
	var names []string
	for i, requirement := range requirements {
		if needed[i] {
			names = append(names, requirement.name)
		}
	}
	return names
}

// solve returns a model that meets the needed requirements, given by index, or nil
// if there is none.
func (p *problem) solve(needed map[int]bool) []bool {
	var constraints []solver.PBConstr
	for _, service := range p.plan.Services {
		for _, machine := range p.plan.Machines {
			variable := p.variables[service.Name][machine.Name]
			constraints = append(constraints, solver.PropClause(variable, -variable))
		}
	}
	for i, requirement := range p.requirements() {
		if !needed[i] {
			continue
		}
		if requirement.infeasible {
			return nil
		}
		constraints = append(constraints, requirement.constraints...)
	}
	pbSolver := solver.New(solver.ParsePBConstrs(constraints))
	if pbSolver.Solve() != solver.Sat {
		return nil
	}
	return pbSolver.Model()
}

// serviceVariables returns the variables of a service on the accepted machines.
func (p *problem) serviceVariables(service string, accept func(*wire.PerchMachine) bool) (variables []int) {
	for _, machine := range p.plan.Machines {
		if accept(machine) {
			variables = append(variables, p.variables[service][machine.Name])
		}
	}
	return variables
}

func anyMachine(*wire.PerchMachine) bool { return true }

// requirements returns the requirements of the plan: the replicas of each service,
// the capacity of each machine, and the rules.
func (p *problem) requirements() []requirement {
	var requirements []requirement
	replicas := map[string]int{}
	for _, service := range p.plan.Services {
		replicas[service.Name] = int(service.Replicas)
		variables := p.serviceVariables(service.Name, anyMachine)
		required := requirement{name: fmt.Sprintf("%d of %s", service.Replicas, service.Name)}
		if int(service.Replicas) > len(variables) {
			required.infeasible = true
		} else {
			required.constraints = exactly(variables, int(service.Replicas))
		}
		requirements = append(requirements, required)
	}
	for _, machine := range p.plan.Machines {
		var variables, weights []int
		for _, service := range p.plan.Services {
			variables, weights = append(variables, p.variables[service.Name][machine.Name]), append(weights, int(service.Weight))
		}
		requirements = append(requirements, requirement{
			name: fmt.Sprintf("capacity %d of %s", machine.Capacity, machine.Name), constraints: []solver.PBConstr{solver.LtEq(variables, weights, int(machine.Capacity))},
		})
	}
	for i, rule := range p.plan.Rules {
		name := fmt.Sprintf("rules[%d] %s %s", i, rule.Kind, strings.Join(append(rule.Services, rule.Machines...), " "))
		requirements = append(requirements, requirement{name: name, constraints: p.ruleConstraints(rule, replicas)})
	}
	return requirements
}

// exactly returns the constraints that count of the variables are true.
func exactly(variables []int, count int) []solver.PBConstr {
	return []solver.PBConstr{atMost(variables, count), solver.AtLeast(variables, count)}
}

// atMost returns the constraint that at most count of the variables are true.
func atMost(variables []int, count int) solver.PBConstr {
	weights := make([]int, len(variables))
	for i := range weights {
		weights[i] = 1
	}
	return solver.LtEq(append([]int{}, variables...), weights, count)
}

// ruleConstraints returns the solver's constraints for a rule.
func (p *problem) ruleConstraints(rule *wire.PerchRule, replicas map[string]int) []solver.PBConstr {
	switch rule.Kind {
	case Spread:
		return p.spread(rule, replicas)
	case Apart:
		return p.limitPerMachine(rule, 1)
	case Together:
		return p.together(rule)
	case Pinned:
		return p.pinned(rule)
	case MaxPerMachine:
		return p.limitPerMachine(rule, int(rule.Most))
	}
	return nil
}

// spread limits the replicas of a service in each zone to its replicas divided by
// the number of zones, rounded up.
func (p *problem) spread(rule *wire.PerchRule, replicas map[string]int) (constraints []solver.PBConstr) {
	zones := map[string]bool{}
	for _, machine := range p.plan.Machines {
		zones[machine.Zone] = true
	}
	for _, service := range rule.Services {
		for zone := range zones {
			inZone := p.serviceVariables(service, func(m *wire.PerchMachine) bool { return m.Zone == zone })
			constraints = append(constraints, atMost(inZone, (replicas[service]+len(zones)-1)/len(zones)))
		}
	}
	return constraints
}

// limitPerMachine limits the number of the rule's services on each machine to count.
// Only a rule of kind MaxPerMachine may be restricted to the machines that it lists.
func (p *problem) limitPerMachine(rule *wire.PerchRule, count int) (constraints []solver.PBConstr) {
	everywhere := rule.Kind != MaxPerMachine || len(rule.Machines) == 0
	for _, machine := range p.plan.Machines {
		if everywhere || slices.Contains(rule.Machines, machine.Name) {
			constraints = append(constraints, atMost(p.machineVariables(rule.Services, machine), count))
		}
	}
	return constraints
}

// together makes each of the rule's services on a machine imply the next one, and the
// last one the first.
func (p *problem) together(rule *wire.PerchRule) (constraints []solver.PBConstr) {
	for _, machine := range p.plan.Machines {
		variables := p.machineVariables(rule.Services, machine)
		for i := range variables {
			constraints = append(constraints, solver.PropClause(-variables[i], variables[(i+1)%len(variables)]))
		}
	}
	return constraints
}

// pinned excludes the rule's services from all machines that it doesn't list.
func (p *problem) pinned(rule *wire.PerchRule) (constraints []solver.PBConstr) {
	for _, service := range rule.Services {
		for _, variable := range p.serviceVariables(service, func(m *wire.PerchMachine) bool { return !slices.Contains(rule.Machines, m.Name) }) {
			constraints = append(constraints, solver.PropClause(-variable))
		}
	}
	return constraints
}

// machineVariables returns the variables of several services on one machine.
func (p *problem) machineVariables(services []string, machine *wire.PerchMachine) []int {
	var variables []int
	for _, service := range services {
		variables = append(variables, p.variables[service][machine.Name])
	}
	return variables
}
