package dataplane

import (
	"slices"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
)

type attempt struct {
	node    string
	state   forwarding.State
	arrived bool
	patient bool
	kind    base.Kind
	began   time.Duration
	answer  *forwarding.Answer
	after   time.Duration
}

// Move is what a ledger asks for next.
type Move int

const (
	// Try sends a further attempt.
	Try Move = iota
	// Await waits for an attempt that is still running.
	Await
	// Relay passes the best response on to the client.
	Relay
	// GiveUp answers the client with an error of the node's own.
	GiveUp
)

const mostRejects = 8

// Ledger lists a request's attempts; the next move is read off it.
type Ledger struct {
	repeatable bool
	tries      int
	until      time.Duration
	attempts   []*attempt
}

func (l *Ledger) last() *attempt {
	if len(l.attempts) == 0 {
		return nil
	}
	return l.attempts[len(l.attempts)-1]
}

func (l *Ledger) count(fits func(*attempt) bool) (n int) {
	for _, each := range l.attempts {
		if fits(each) {
			n++
		}
	}
	return n
}

func (l *Ledger) running() int {
	return l.count(func(a *attempt) bool { return a.state == forwarding.Running })
}

func (l *Ledger) arrivals() int {
	return l.count(func(a *attempt) bool { return a.arrived || a.state == forwarding.Running })
}

func (l *Ledger) doubtful() bool {
	return slices.ContainsFunc(l.attempts, func(a *attempt) bool {
		return a.state == forwarding.Running || a.state == forwarding.Doubtful || a.state == forwarding.Failed
	})
}

// tried tells whether a node had its chance; where an attempt was fenced before it began, it may be asked again.
func (l *Ledger) tried(node string) bool {
	return slices.ContainsFunc(l.attempts, func(a *attempt) bool { return a.node == node && a.kind != base.Fenced })
}

// mayHedge tells whether a second attempt may run beside a slow one.
func (l *Ledger) mayHedge() bool {
	return l.repeatable && l.running() == 1 && l.arrivals() < l.tries
}

func (l *Ledger) waitedAt(node string) bool {
	return slices.ContainsFunc(l.attempts, func(a *attempt) bool { return a.node == node && a.patient })
}

func (l *Ledger) best() *attempt {
	for _, each := range l.attempts {
		if each.state == forwarding.Answered {
			return each
		}
	}
	return nil
}

func (l *Ledger) failed() *attempt {
	for _, each := range l.attempts {
		if each.state == forwarding.Failed {
			return each
		}
	}
	return nil
}

// Narrow takes a configuration that came midway: what either forbids is forbidden.
func (l *Ledger) Narrow(repeatable bool, tries int) {
	l.repeatable = l.repeatable && repeatable
	if tries > 0 {
		l.tries = min(l.tries, tries)
	}
}

// Next derives the move.
func (l *Ledger) Next(now time.Duration) Move {
	switch {
	case l.best() != nil:
		return Relay
	case l.running() > 0:
		return Await
	case l.last() == nil:
		return Try
	case now >= l.until, l.arrivals() >= max(l.tries, 1), len(l.attempts) >= mostRejects:
	case l.doubtful() && !l.repeatable:
	default:
		return Try
	}
	if l.failed() != nil {
		return Relay
	}
	return GiveUp
}
