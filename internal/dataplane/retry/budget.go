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
	// earnedPart, of the ratio, is what each first attempt earns.
	earnedPart = 0.3
	// savedPart, of the ratio, is how much of what the last window earned may be saved.
	savedPart = 0.2
	// slackPart, of the slack, is what the nodes share.
	slackPart = 0.4
)

// serviceBudget is the budget of one service.
type serviceBudget struct {
	held   float64    // retries that could be paid
	counts [2]float64 // first attempts in this window and in the one before
	turn   int64      // number of the window
}

// Budget pays for retries, per service: each request earns a part of the fleet's ratio; the slack is divided among the nodes,
// and a part of what the last window earned may be saved. It is safe for concurrent use.
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

func (b *Budget) at(service string) (c *serviceBudget, most float64) {
	part := b.slack * slackPart / float64(b.nodes())
	c = b.services[service]
	if c == nil {
		c = &serviceBudget{held: max(part, 1) / 2}
		b.services[service] = c
	}
	turn := int64(b.clock.Mono() / b.window)
	switch turn - c.turn {
	case 0:
	case 1:
		c.counts = [2]float64{0, c.counts[0]}
	default:
		c.counts = [2]float64{}
	}
	c.turn = turn
	return c, max(part, 1) + b.ratio*savedPart*c.counts[1]
}

// Earn counts a first request.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, most := b.at(service)
	c.counts[0]++
	c.held = min(c.held+b.ratio*earnedPart, most)
}

// Spend takes one repeat, if there is one.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, _ := b.at(service)
	if c.held < 1 {
		return false
	}
	c.held--
	return true
}

// CanSpend tells whether a repeat could be paid now.
func (b *Budget) CanSpend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, _ := b.at(service)
	return c.held >= 1
}

// Refund gives a repeat back that never arrived.
func (b *Budget) Refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, most := b.at(service)
	c.held = min(c.held+1, most)
}

// View lists the budgets by service, for operators.
func (b *Budget) View() (retryBudgets []*wire.RetryBudgetView) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(b.services)) {
		c, most := b.at(service)
		lately := c.counts[0] + c.counts[1]
		retryBudgets = append(retryBudgets, &wire.RetryBudgetView{Service: service, Held: c.held, Most: most, Lately: uint64(lately), Spent: c.held < 1 && lately*b.ratio*earnedPart >= 1})
	}
	return retryBudgets
}
