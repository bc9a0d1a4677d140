package flow

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

type Fences struct {
	clock  base.Clock
	keep   time.Duration
	mu     sync.Mutex
	fences map[string]*fence
}

func NewFences(clock base.Clock, keep time.Duration) *Fences {
	return &Fences{clock: clock, keep: keep, fences: map[string]*fence{}}
}

func (f *Fences) Start(attempt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fences[attempt] != nil {
		return false
	}
	f.fences[attempt] = &fence{until: f.clock.Mono() + f.keep}
	return true
}

func (f *Fences) Hand(attempt string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.fences[attempt]
	if at == nil || at.handed || at.barred {
		return false
	}
	at.handed = true
	return true
}

func (f *Fences) Bar(attempt string) (never bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := f.fences[attempt]; at != nil && at.handed {
		return false
	}
	f.fences[attempt] = &fence{until: f.clock.Mono() + f.keep, barred: true}
	return true
}

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
