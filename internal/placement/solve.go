package placement

import (
	"fmt"
	"strings"

	"github.com/crillab/gophersat/solver"

	"curlewreach/proto/wire"
)

type Seat struct{ Service, Machine, Zone string }

type demand struct {
	name   string
	lines  []solver.PBConstr
	barred bool
}

type board struct {
	plan *wire.PerchPlan
	seat map[string]map[string]int
}

func Solve(plan *wire.PerchPlan) (seats []Seat, clash []string) {
	b := &board{plan: plan, seat: map[string]map[string]int{}}
	next := 0
	for _, service := range plan.Services {
		b.seat[service.Name] = map[string]int{}
		for _, machine := range plan.Machines {
			next++
			b.seat[service.Name][machine.Name] = next
		}
	}
	needed := map[int]bool{}
	demands := b.demands()
	for i := range demands {
		needed[i] = true
	}
	if model := b.solve(needed); model != nil {
		for _, service := range plan.Services {
			for _, machine := range plan.Machines {
				if model[b.seat[service.Name][machine.Name]-1] {
					seats = append(seats, Seat{service.Name, machine.Name, machine.Zone})
				}
			}
		}
		return seats, nil
	}
	for i := len(demands) - 1; i >= 0; i-- {
		needed[i] = false
		needed[i] = b.solve(needed) != nil
	}
	for i, each := range demands {
		if needed[i] {
			clash = append(clash, each.name)
		}
	}
	return nil, clash
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

func (b *board) rule(rule *wire.PerchRule, replicas map[string]int) (lines []solver.PBConstr) {
	each := func(do func(machine *wire.PerchMachine, seats []int)) {
		for _, machine := range b.plan.Machines {
			var seats []int
			for _, service := range rule.Services {
				seats = append(seats, b.seat[service][machine.Name])
			}
			do(machine, seats)
		}
	}
	switch rule.Kind {
	case Spread:
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
	case Apart:
		each(func(_ *wire.PerchMachine, seats []int) { lines = append(lines, atMost(seats, 1)) })
	case Together:
		each(func(_ *wire.PerchMachine, seats []int) {
			for i := range seats {
				lines = append(lines, solver.PropClause(-seats[i], seats[(i+1)%len(seats)]))
			}
		})
	case Pinned:
		for _, service := range rule.Services {
			for _, seat := range b.on(service, func(m *wire.PerchMachine) bool { return !contains(rule.Machines, m.Name) }) {
				lines = append(lines, solver.PropClause(-seat))
			}
		}
	case Most:
		each(func(machine *wire.PerchMachine, seats []int) {
			if len(rule.Machines) == 0 || contains(rule.Machines, machine.Name) {
				lines = append(lines, atMost(seats, int(rule.Most)))
			}
		})
	}
	return lines
}

func contains(names []string, name string) bool {
	for _, each := range names {
		if each == name {
			return true
		}
	}
	return false
}
