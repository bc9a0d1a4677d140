package listednode

import (
	"sync"
	"time"

	"curlewreach/base"
)

type fence struct {
	until  time.Duration
	handed bool
	barred bool
}

// Fences keeps, for each attempt, whether its request may still be handed to
// the upstream, so that no attempt runs twice and a caller can make sure that
// it never will. It is safe for concurrent use.
type Fences struct {
	clock  base.Clock
	keep   time.Duration
	mu     sync.Mutex
	fences map[string]*fence
}

// NewFences returns fences that remember attempts for the time given, which
// must be longer than any request takes.
func NewFences(clock base.Clock, keep time.Duration) *Fences {
	return &Fences{clock: clock, keep: keep, fences: map[string]*fence{}}
}

// Register notes a new attempt, and reports false if it was known.
func (f *Fences) Register(attempt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fences[attempt] != nil {
		return false
	}
	f.fences[attempt] = &fence{until: f.clock.Mono() + f.keep}
	return true
}

// Deliver allows handing the request to the upstream, once and unless it was
// barred.
func (f *Fences) Deliver(attempt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.fences[attempt]
	if at == nil || at.handed || at.barred {
		return false
	}
	at.handed = true
	return true
}

// Fence forbids it, and reports whether it can't have been handed before.
func (f *Fences) Fence(attempt string) (never bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := f.fences[attempt]; at != nil && at.handed {
		return false
	}
	f.fences[attempt] = &fence{until: f.clock.Mono() + f.keep, barred: true}
	return true
}

// Sweep forgets old attempts.
func (f *Fences) Sweep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Mono()
	for attempt, at := range f.fences {
		if now > at.until {
			delete(f.fences, attempt)
		}
	}
}
