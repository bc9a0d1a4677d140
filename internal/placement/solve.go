package placement

import (
	"fmt"
	"slices"
	"strings"

	"github.com/crillab/gophersat/solver"

	"curlewreach/proto/wire"
)

// Assignment is one replica's place. A machine holds at most one replica of a
// service.
type Assignment struct{ Service, Machine, Zone string }

// demand is one requirement of a plan, by a name for people. A barred one can't
// be met whatever the others are.
type demand struct {
	name   string
	lines  []solver.PBConstr
	barred bool
}

// board numbers the solver's variables: whether a service has a replica on a
// machine.
type board struct {
	plan *wire.PerchPlan
	seat map[string]map[string]int
}

// Solve returns a placement that meets the whole plan, or else a minimal set of
// demands that clash: dropping any one of them resolves it. The plan must have
// passed Check.
func Solve(plan *wire.PerchPlan) (seats []Assignment, clash []string) {
	b := newBoard(plan)
	demands := b.demands()
	needed := map[int]bool{}
	for i := range demands {
		needed[i] = true
	}
	if model := b.solve(needed); model != nil {
		return b.seats(model), nil
	}
	return nil, b.clash(demands, needed)
}

// newBoard numbers the variables from 1, as the solver's literals are.
func newBoard(plan *wire.PerchPlan) *board {
	b := &board{plan: plan, seat: map[string]map[string]int{}}
	next := 0
	for _, service := range plan.Services {
		b.seat[service.Name] = map[string]int{}
		for _, machine := range plan.Machines {
			next++
			b.seat[service.Name][machine.Name] = next
		}
	}
	return b
}

// seats returns the placements that are true in a model.
func (b *board) seats(model []bool) []Assignment {
	var seats []Assignment
	for _, service := range b.plan.Services {
		for _, machine := range b.plan.Machines {
			if model[b.seat[service.Name][machine.Name]-1] {
				seats = append(seats, Assignment{service.Name, machine.Name, machine.Zone})
			}
		}
	}
	return seats
}

// clash leaves out each demand in turn, for good if the others still can't be
// met, and returns the names of those that remain.
func (b *board) clash(demands []demand, needed map[int]bool) []string {
	for i := len(demands) - 1; i >= 0; i-- {
		needed[i] = false
		needed[i] = b.solve(needed) != nil
	}
	var names []string
	for i, each := range demands {
		if needed[i] {
			names = append(names, each.name)
		}
	}
	return names
}

func (b *board) solve(needed map[int]bool) []bool {
	var lines []solver.PBConstr
	for _, service := range b.plan.Services {
		for _, machine := range b.plan.Machines {
			at := b.seat[service.Name][machine.Name]
			lines = append(lines, solver.PropClause(at, -at))
		}
	}
	for i, each := range b.demands() {
		if !needed[i] {
			continue
		}
		if each.barred {
			return nil
		}
		lines = append(lines, each.lines...)
	}
	engine := solver.New(solver.ParsePBConstrs(lines))
	if engine.Solve() != solver.Sat {
		return nil
	}
	return engine.Model()
}

func (b *board) on(service string, wanted func(*wire.PerchMachine) bool) (seats []int) {
	for _, machine := range b.plan.Machines {
		if wanted(machine) {
			seats = append(seats, b.seat[service][machine.Name])
		}
	}
	return seats
}

func anywhere(*wire.PerchMachine) bool { return true }

func (b *board) demands() []demand {
	var demands []demand
	replicas := map[string]int{}
	for _, service := range b.plan.Services {
		replicas[service.Name] = int(service.Replicas)
		seats := b.on(service.Name, anywhere)
		each := demand{name: fmt.Sprintf("%d of %s", service.Replicas, service.Name)}
		if int(service.Replicas) > len(seats) {
			each.barred = true
		} else {
			each.lines = exactly(seats, int(service.Replicas))
		}
		demands = append(demands, each)
	}
	for _, machine := range b.plan.Machines {
		var seats, weights []int
		for _, service := range b.plan.Services {
			seats, weights = append(seats, b.seat[service.Name][machine.Name]), append(weights, int(service.Weight))
		}
		demands = append(demands, demand{
			name: fmt.Sprintf("capacity %d of %s", machine.Capacity, machine.Name), lines: []solver.PBConstr{solver.LtEq(seats, weights, int(machine.Capacity))},
		})
	}
	for i, rule := range b.plan.Rules {
		name := fmt.Sprintf("rules[%d] %s %s", i, rule.Kind, strings.Join(append(rule.Services, rule.Machines...), " "))
		demands = append(demands, demand{name: name, lines: b.rule(rule, replicas)})
	}
	return demands
}

func exactly(seats []int, count int) []solver.PBConstr {
	return []solver.PBConstr{atMost(seats, count), solver.AtLeast(seats, count)}
}

func atMost(seats []int, count int) solver.PBConstr {
	weights := make([]int, len(seats))
	for i := range weights {
		weights[i] = 1
	}
	return solver.LtEq(append([]int{}, seats...), weights, count)
}

// rule returns the constraints of a rule.
func (b *board) rule(rule *wire.PerchRule, replicas map[string]int) []solver.PBConstr {
	switch rule.Kind {
	case Spread:
		return b.spread(rule, replicas)
	case Apart:
		return b.most(rule, 1)
	case Together:
		return b.together(rule)
	case Pinned:
		return b.pinned(rule)
	case MaxPerMachine:
		return b.most(rule, int(rule.Most))
	}
	return nil
}

// spread bounds a service's replicas in each zone by its even part, rounded up.
func (b *board) spread(rule *wire.PerchRule, replicas map[string]int) (lines []solver.PBConstr) {
	zones := map[string]bool{}
	for _, machine := range b.plan.Machines {
		zones[machine.Zone] = true
	}
	for _, service := range rule.Services {
		for zone := range zones {
			within := b.on(service, func(m *wire.PerchMachine) bool { return m.Zone == zone })
			lines = append(lines, atMost(within, (replicas[service]+len(zones)-1)/len(zones)))
		}
	}
	return lines
}

// most bounds the rule's services on each machine. Only a rule of kind Most
// may be limited to some machines.
func (b *board) most(rule *wire.PerchRule, count int) (lines []solver.PBConstr) {
	everywhere := rule.Kind != MaxPerMachine || len(rule.Machines) == 0
	for _, machine := range b.plan.Machines {
		if everywhere || slices.Contains(rule.Machines, machine.Name) {
			lines = append(lines, atMost(b.of(rule.Services, machine), count))
		}
	}
	return lines
}

// together lets each service on a machine imply the next one of the rule, and
// the last the first.
func (b *board) together(rule *wire.PerchRule) (lines []solver.PBConstr) {
	for _, machine := range b.plan.Machines {
		seats := b.of(rule.Services, machine)
		for i := range seats {
			lines = append(lines, solver.PropClause(-seats[i], seats[(i+1)%len(seats)]))
		}
	}
	return lines
}

// pinned excludes all machines but those of the rule.
func (b *board) pinned(rule *wire.PerchRule) (lines []solver.PBConstr) {
	for _, service := range rule.Services {
		for _, seat := range b.on(service, func(m *wire.PerchMachine) bool { return !slices.Contains(rule.Machines, m.Name) }) {
			lines = append(lines, solver.PropClause(-seat))
		}
	}
	return lines
}

// of returns the variables of the services on a machine.
func (b *board) of(services []string, machine *wire.PerchMachine) []int {
	var seats []int
	for _, service := range services {
		seats = append(seats, b.seat[service][machine.Name])
	}
	return seats
}
