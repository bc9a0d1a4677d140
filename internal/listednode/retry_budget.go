package listednode

import (
	"sync"

	"curlewreach/internal/bundle"
)

type serviceBudget struct {
	tokens    float64
	maxTokens float64
	ratio     float64
}

// RetryBudget bounds repeated attempts for each service by tokens: each first
// attempt earns a part of one, each repeat costs one. It is safe for concurrent
// use.
type RetryBudget struct {
	mu       sync.Mutex
	services map[string]*serviceBudget
}

// NewRetryBudget returns a store of tokens that is empty.
func NewRetryBudget() *RetryBudget { return &RetryBudget{services: map[string]*serviceBudget{}} }

// SetLimits sets the ratios and the most that may be saved, by a bundle.
func (r *RetryBudget) SetLimits(signed *bundle.Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range signed.Raw.Services {
		budget := r.services[service.Name]
		if budget == nil {
			budget = &serviceBudget{}
			r.services[service.Name] = budget
		}
		budget.ratio = service.Repeats
		budget.maxTokens = float64(service.Allowance) / float64(max(signed.Vanes(), 1))
		budget.tokens = min(budget.tokens, budget.maxTokens)
	}
}

// Earn adds what a first attempt earns.
func (r *RetryBudget) Earn(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if budget := r.services[service]; budget != nil {
		budget.tokens = min(budget.tokens+budget.ratio, budget.maxTokens)
	}
}

// RevokeEarned takes it back, as the request didn't arrive.
func (r *RetryBudget) RevokeEarned(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if budget := r.services[service]; budget != nil {
		budget.tokens = max(budget.tokens-budget.ratio, -budget.maxTokens)
	}
}

// Spend takes the token for a repeat, and reports false if there is none.
func (r *RetryBudget) Spend(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.services[service]
	if budget == nil || budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}
