package flow

import (
	"sync"

	"curlewreach/internal/bundle"
)

type purse struct {
	tokens float64
	depth  float64
	ratio  float64
}

// Repeats bounds repeated attempts for each service by tokens: each first
// attempt earns a part of one, each repeat costs one. It is safe for concurrent
// use.
type Repeats struct {
	mu     sync.Mutex
	purses map[string]*purse
}

// NewRepeats returns a store of tokens that is empty.
func NewRepeats() *Repeats { return &Repeats{purses: map[string]*purse{}} }

// Set sets the ratios and the most that may be saved, by a bundle.
func (r *Repeats) Set(signed *bundle.Bundle) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range signed.Raw.Services {
		at := r.purses[service.Name]
		if at == nil {
			at = &purse{}
			r.purses[service.Name] = at
		}
		at.ratio = service.Repeats
		at.depth = float64(service.Allowance) / float64(max(signed.Vanes(), 1))
		at.tokens = min(at.tokens, at.depth)
	}
}

// Earn adds what a first attempt earns.
func (r *Repeats) Earn(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := r.purses[service]; at != nil {
		at.tokens = min(at.tokens+at.ratio, at.depth)
	}
}

// Refund takes it back, as the request didn't arrive.
func (r *Repeats) Refund(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at := r.purses[service]; at != nil {
		at.tokens = max(at.tokens-at.ratio, -at.depth)
	}
}

// Spend takes the token for a repeat, and reports false if there is none.
func (r *Repeats) Spend(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.purses[service]
	if at == nil || at.tokens < 1 {
		return false
	}
	at.tokens--
	return true
}
