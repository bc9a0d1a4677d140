package listednode

import (
	"sync"

	"curlewreach/internal/bundle"
)

// serviceBudget is the retry budget of one service. Each retry costs one token.
type serviceBudget struct {
	tokens    float64
	maxTokens float64 // this node's part of the fleet's allowance
	ratio     float64 // tokens earned by a first attempt
}

// RetryBudget limits the retries of each service by tokens: a first attempt earns a fraction of a token, a
// retry costs one. It is safe for concurrent use.
type RetryBudget struct {
	mu       sync.Mutex
	services map[string]*serviceBudget
}

// NewRetryBudget returns a budget without tokens.
func NewRetryBudget() *RetryBudget { return &RetryBudget{services: map[string]*serviceBudget{}} }

// SetLimits sets the ratio and the most tokens of each service of a bundle. The fleet's allowance is
// divided among the nodes.
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
		budget.maxTokens = float64(service.Allowance) / float64(max(signed.ApplicationMachines(), 1))
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

// RevokeEarned takes back what a first attempt earned whose request reached no upstream. The tokens may
// become negative.
func (r *RetryBudget) RevokeEarned(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if budget := r.services[service]; budget != nil {
		budget.tokens = max(budget.tokens-budget.ratio, -budget.maxTokens)
	}
}

// Spend takes the token for a retry and reports false if there is none.
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
