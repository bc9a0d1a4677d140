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
	// earnFraction is the fraction of the ratio that each first attempt earns.
	earnFraction = 0.3
	// carryOverFraction is the fraction of the previous window's earnings that may be carried over.
	carryOverFraction = 0.2
	// slackFraction is the fraction of the slack that is divided among the nodes.
	slackFraction = 0.4
)

// serviceBudget is the retry budget of one service.
type serviceBudget struct {
	tokens        float64    // retries that can be spent now
	firstAttempts [2]float64 // first attempts in the current window and in the one before
	window        int64      // number of the current window
}

// Budget limits retries to a ratio of the first attempts of each service. Each first attempt earns a fraction
// of the fleet's ratio. Each node may also hold a share of the slack, and carry over a fraction of what the
// previous window earned. It is safe for concurrent use.
type Budget struct {
	clock    base.Clock
	ratio    float64
	slack    float64
	window   time.Duration
	nodes    func() int
	mu       sync.Mutex
	services map[string]*serviceBudget
}

// NewBudget returns a budget in which each service starts with half of this node's share of the slack. ratio
// and slack apply to the whole fleet; nodes returns its number of nodes. window is at least one second.
func NewBudget(clock base.Clock, ratio, slack float64, window time.Duration, nodes func() int) *Budget {
	return &Budget{clock: clock, ratio: ratio, slack: slack, window: max(window, time.Second), nodes: nodes, services: map[string]*serviceBudget{}}
}

// current returns the budget of a service, moved on to the current window, and the most tokens it may hold.
// The caller must hold b.mu.
func (b *Budget) current(service string) (s *serviceBudget, limit float64) {
	slackShare := b.slack * slackFraction / float64(b.nodes())
	s = b.services[service]
	if s == nil {
		s = &serviceBudget{tokens: max(slackShare, 1) / 2}
		b.services[service] = s
	}
	window := int64(b.clock.Mono() / b.window)
	switch window - s.window {
	case 0:
	case 1:
		s.firstAttempts = [2]float64{0, s.firstAttempts[0]}
	default:
		s.firstAttempts = [2]float64{}
	}
	s.window = window
	return s, max(slackShare, 1) + b.ratio*carryOverFraction*s.firstAttempts[1]
}

// Earn records a first attempt and adds what it earns.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, limit := b.current(service)
	s.firstAttempts[0]++
	s.tokens = min(s.tokens+b.ratio*earnFraction, limit)
}

// Spend takes one retry out of the budget and reports whether there was one.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, _ := b.current(service)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// CanSpend reports whether the budget allows a retry now.
func (b *Budget) CanSpend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, _ := b.current(service)
	return s.tokens >= 1
}

// Refund returns a retry that was taken but did not reach an upstream.
func (b *Budget) Refund(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, limit := b.current(service)
	s.tokens = min(s.tokens+1, limit)
}

// View returns the budgets sorted by service, for operators.
func (b *Budget) View() (retryBudgets []*wire.RetryBudgetView) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(b.services)) {
		s, limit := b.current(service)
		recent := s.firstAttempts[0] + s.firstAttempts[1]
		retryBudgets = append(retryBudgets, &wire.RetryBudgetView{Service: service, Held: s.tokens, Most: limit, Lately: uint64(recent), Spent: s.tokens < 1 && recent*b.ratio*earnFraction >= 1})
	}
	return retryBudgets
}
