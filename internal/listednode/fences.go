package listednode

import (
	"sync"
	"time"

	"curlewreach/base"
)

// fence is the state of an attempt.
type fence struct {
	expiresAt time.Duration
	delivered bool // the request was delivered to the upstream or is about to be
	blocked   bool // the request must not be delivered
}

// Fences records for each attempt whether its request may still be delivered to the upstream. No attempt is
// delivered twice, and a caller can make sure that an attempt is never delivered. It is safe for concurrent
// use.
type Fences struct {
	clock     base.Clock
	retention time.Duration
	mu        sync.Mutex
	entries   map[string]*fence
}

// NewFences returns fences that remember attempts for retention, which must be longer than any request
// takes.
func NewFences(clock base.Clock, retention time.Duration) *Fences {
	return &Fences{clock: clock, retention: retention, entries: map[string]*fence{}}
}

// Register records a new attempt and reports false if it is known already.
func (f *Fences) Register(attempt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.entries[attempt] != nil {
		return false
	}
	f.entries[attempt] = &fence{expiresAt: f.clock.Mono() + f.retention}
	return true
}

// Deliver allows the delivery of an attempt's request. It reports false if the attempt is unknown, fenced,
// or has been delivered.
func (f *Fences) Deliver(attempt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry := f.entries[attempt]
	if entry == nil || entry.delivered || entry.blocked {
		return false
	}
	entry.delivered = true
	return true
}

// Fence prevents the delivery of an attempt, which need not be known yet. It reports whether the request
// was not delivered before.
func (f *Fences) Fence(attempt string) (never bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if entry := f.entries[attempt]; entry != nil && entry.delivered {
		return false
	}
	f.entries[attempt] = &fence{expiresAt: f.clock.Mono() + f.retention, blocked: true}
	return true
}

// Sweep forgets attempts after the retention.
func (f *Fences) Sweep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Mono()
	for attempt, entry := range f.entries {
		if now > entry.expiresAt {
			delete(f.entries, attempt)
		}
	}
}
