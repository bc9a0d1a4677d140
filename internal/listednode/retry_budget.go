package listednode

import (
	"sync"

	"curlewreach/internal/bundle"
)

type serviceBudget struct {
	tokens float64
	depth  float64
	ratio  float64
}

// RetryBudget bounds repeated attempts for each service by tokens: each first
// attempt earns a part of one, each repeat costs one. It is safe for concurrent
// use.
type RetryBudget struct {
	mu           sync.Mutex
	retryBudgets map[string]*serviceBudget
}

// NewRetryBudget returns a store of tokens that is empty.
func NewRetryBudget() *RetryBudget { return &RetryBudget{retryBudgets: map[string]*serviceBudget{}} }

// SetLimits sets the ratios and the most that may be saved, by a bundle.
func (r *RetryBudget) SetLimits(signed *bundle.Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range signed.Raw.Services {
		at := r.retryBudgets[service.Name]
		if at == nil {
			at = &serviceBudget{}
			r.retryBudgets[service.Name] = at
		}
		at.ratio = service.Repeats
		at.depth = float64(service.Allowance) / float64(max(signed.ApplicationMachines(), 1))
		at.tokens = min(at.tokens, at.depth)
	}
}

// Earn adds what a first attempt earns.
func (r *RetryBudget) Earn(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := r.retryBudgets[service]; at != nil {
		at.tokens = min(at.tokens+at.ratio, at.depth)
	}
}

// RevokeEarned takes it back, as the request didn't arrive.
func (r *RetryBudget) RevokeEarned(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := r.retryBudgets[service]; at != nil {
		at.tokens = max(at.tokens-at.ratio, -at.depth)
	}
}

// Spend takes the token for a repeat, and reports false if there is none.
func (r *RetryBudget) Spend(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.retryBudgets[service]
	if at == nil || at.tokens < 1 {
		return false
	}
	at.tokens--
	return true
}
