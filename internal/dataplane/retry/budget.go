package retry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

const (
	earned   = 0.3
	saved    = 0.2
	slackCut = 0.4
)

type serviceBudget struct {
	held   float64
	counts [2]float64
	turn   int64
}

// Budget pays for repeats, per service: each request earns a part of the fleet's ratio; the slack is divided among the nodes, and a part of what the last window earned may be saved.
type Budget struct {
	clock    base.Clock
	ratio    float64
	slack    float64
	window   time.Duration
	nodes    func() int
	mu       sync.Mutex
	services map[string]*serviceBudget
}

// NewBudget starts each service with half of this node's part of the slack.
func NewBudget(clock base.Clock, ratio, slack float64, window time.Duration, nodes func() int) *Budget {
	return &Budget{clock: clock, ratio: ratio, slack: slack, window: max(window, time.Second), nodes: nodes, services: map[string]*serviceBudget{}}
}

func (p *Budget) at(service string) (c *serviceBudget, most float64) {
	part := p.slack * slackCut / float64(p.nodes())
	c = p.services[service]
	if c == nil {
		c = &serviceBudget{held: max(part, 1) / 2}
		p.services[service] = c
	}
	turn := int64(p.clock.Mono() / p.window)
	switch turn - c.turn {
	case 0:
	case 1:
		c.counts = [2]float64{0, c.counts[0]}
	default:
		c.counts = [2]float64{}
	}
	c.turn = turn
	return c, max(part, 1) + p.ratio*saved*c.counts[1]
}

// Earn counts a first request.
func (p *Budget) Earn(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, most := p.at(service)
	c.counts[0]++
	c.held = min(c.held+p.ratio*earned, most)
}

// Spend takes one repeat, if there is one.
func (p *Budget) Spend(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, _ := p.at(service)
	if c.held < 1 {
		return false
	}
	c.held--
	return true
}

// Pays tells whether a repeat could be paid now.
func (p *Budget) Pays(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, _ := p.at(service)
	return c.held >= 1
}

// Refund gives a repeat back that never arrived.
func (p *Budget) Refund(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, most := p.at(service)
	c.held = min(c.held+1, most)
}

// View lists the budgets by service, for operators.
func (p *Budget) View() (retryBudgets []*wire.RetryBudgetView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(p.services)) {
		c, most := p.at(service)
		lately := c.counts[0] + c.counts[1]
		retryBudgets = append(retryBudgets, &wire.RetryBudgetView{Service: service, Held: c.held, Most: most, Lately: uint64(lately), Spent: c.held < 1 && lately*p.ratio*earned >= 1})
	}
	return retryBudgets
}
