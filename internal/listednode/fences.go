package listednode

import (
	"sync"
	"time"

	"curlewreach/base"
)

type fence struct {
	expiresAt time.Duration
	delivered bool
	blocked   bool
}

// Fences keeps, for each attempt, whether its request may still be handed to
// the upstream, so that no attempt runs twice and a caller can make sure that
// it never will. It is safe for concurrent use.
type Fences struct {
	clock     base.Clock
	retention time.Duration
	mu        sync.Mutex
	entries   map[string]*fence
}

// NewFences returns fences that remember attempts for the time given, which
// must be longer than any request takes.
func NewFences(clock base.Clock, retention time.Duration) *Fences {
	return &Fences{clock: clock, retention: retention, entries: map[string]*fence{}}
}

// Register notes a new attempt, and reports false if it was known.
func (f *Fences) Register(attempt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.entries[attempt] != nil {
		return false
	}
	f.entries[attempt] = &fence{expiresAt: f.clock.Mono() + f.retention}
	return true
}

// Deliver allows handing the request to the upstream, once and unless it was
// barred.
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

// Fence forbids it, and reports whether it can't have been handed before.
func (f *Fences) Fence(attempt string) (never bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if entry := f.entries[attempt]; entry != nil && entry.delivered {
		return false
	}
	f.entries[attempt] = &fence{expiresAt: f.clock.Mono() + f.retention, blocked: true}
	return true
}

// Sweep forgets old attempts.
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
