package retry

import (
	"slices"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
)

type Attempt struct {
	Node    string
	State   forwarding.State
	Arrived bool
	Patient bool
	Kind    base.Kind
	Began   time.Duration
	Answer  *forwarding.Answer
	After   time.Duration
}

// Decision is what a ledger asks for next.
type Decision int

const (
	// Send sends a further Attempt.
	Send Decision = iota
	// Await waits for an Attempt that is still running.
	Await
	// Relay passes the best response on to the client.
	Relay
	// GiveUp answers the client with an error of the node's own.
	GiveUp
)

const MostAttempts = 8

// Ledger lists a request's attempts; the next move is read off it.
type Ledger struct {
	Repeatable bool
	Tries      int
	Until      time.Duration
	Attempts   []*Attempt
}

func (l *Ledger) last() *Attempt {
	if len(l.Attempts) == 0 {
		return nil
	}
	return l.Attempts[len(l.Attempts)-1]
}

func (l *Ledger) Count(fits func(*Attempt) bool) (n int) {
	for _, each := range l.Attempts {
		if fits(each) {
			n++
		}
	}
	return n
}

func (l *Ledger) Running() int {
	return l.Count(func(a *Attempt) bool { return a.State == forwarding.Running })
}

func (l *Ledger) Arrivals() int {
	return l.Count(func(a *Attempt) bool { return a.Arrived || a.State == forwarding.Running })
}

func (l *Ledger) Doubtful() bool {
	return slices.ContainsFunc(l.Attempts, func(a *Attempt) bool {
		return a.State == forwarding.Running || a.State == forwarding.Doubtful || a.State == forwarding.Failed
	})
}

// tried tells whether a node had its chance; where an Attempt was fenced before it began, it may be asked again.
func (l *Ledger) Tried(node string) bool {
	return slices.ContainsFunc(l.Attempts, func(a *Attempt) bool { return a.Node == node && a.Kind != base.Fenced })
}

// mayHedge tells whether a second Attempt may run beside a slow one.
func (l *Ledger) MayHedge() bool {
	return l.Repeatable && l.Running() == 1 && l.Arrivals() < l.Tries
}

func (l *Ledger) WaitedAt(node string) bool {
	return slices.ContainsFunc(l.Attempts, func(a *Attempt) bool { return a.Node == node && a.Patient })
}

func (l *Ledger) Best() *Attempt {
	for _, each := range l.Attempts {
		if each.State == forwarding.Answered {
			return each
		}
	}
	return nil
}

func (l *Ledger) Failed() *Attempt {
	for _, each := range l.Attempts {
		if each.State == forwarding.Failed {
			return each
		}
	}
	return nil
}

// Narrow takes a configuration that came midway: what either forbids is forbidden.
func (l *Ledger) Narrow(repeatable bool, tries int) {
	l.Repeatable = l.Repeatable && repeatable
	if tries > 0 {
		l.Tries = min(l.Tries, tries)
	}
}

// Next derives the move.
func (l *Ledger) Next(now time.Duration) Decision {
	switch {
	case l.Best() != nil:
		return Relay
	case l.Running() > 0:
		return Await
	case l.last() == nil:
		return Send
	case now >= l.Until, l.Arrivals() >= max(l.Tries, 1), len(l.Attempts) >= MostAttempts:
	case l.Doubtful() && !l.Repeatable:
	default:
		return Send
	}
	if l.Failed() != nil {
		return Relay
	}
	return GiveUp
}
