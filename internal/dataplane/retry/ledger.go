package retry

import (
	"slices"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
)

// Attempt is one attempt of a request. Times are by the steady clock.
type Attempt struct {
	Node            string
	State           forwarding.State
	ReachedUpstream bool // it came as far as an upstream
	MayWait         bool // it was ready to wait in a queue
	Kind            base.Kind
	StartedAt       time.Duration
	Response        *forwarding.Response
	RetryAfter      time.Duration // when to come back
}

// Decision is what a ledger asks for next.
type Decision int

const (
	// Send sends another attempt.
	Send Decision = iota
	// Await waits for an attempt that is still running.
	Await
	// Relay passes the best response on to the client.
	Relay
	// GiveUp answers the client with an error of the node's own.
	GiveUp
)

// MaxAttempts bounds the attempts of a request, those that were rejected included.
const MaxAttempts = 8

// Ledger lists a request's attempts and derives the next step from them. It has no lock of its own.
type Ledger struct {
	// Repeatable tells whether the request may run more than once.
	Repeatable bool
	// MaxTries is how many attempts may come as far as an upstream.
	MaxTries int
	// Deadline is the request's deadline.
	Deadline time.Duration
	Attempts []*Attempt
}

func (l *Ledger) last() *Attempt {
	if len(l.Attempts) == 0 {
		return nil
	}
	return l.Attempts[len(l.Attempts)-1]
}

// Count counts the attempts that fit.
func (l *Ledger) Count(fits func(*Attempt) bool) (n int) {
	for _, each := range l.Attempts {
		if fits(each) {
			n++
		}
	}
	return n
}

// Running counts the attempts without an outcome.
func (l *Ledger) Running() int {
	return l.Count(func(a *Attempt) bool { return a.State == forwarding.Running })
}

// UpstreamAttempts counts the attempts that came as far as an upstream, or may have.
func (l *Ledger) UpstreamAttempts() int {
	return l.Count(func(a *Attempt) bool { return a.ReachedUpstream || a.State == forwarding.Running })
}

// MayHaveRun tells whether the request may have run without an answer to pass on.
func (l *Ledger) MayHaveRun() bool {
	return slices.ContainsFunc(l.Attempts, func(a *Attempt) bool {
		return a.State == forwarding.Running || a.State == forwarding.Indeterminate || a.State == forwarding.Failed
	})
}

// Tried tells whether a node had its chance; where an Attempt was fenced before it began, it may be asked again.
func (l *Ledger) Tried(node string) bool {
	return slices.ContainsFunc(l.Attempts, func(a *Attempt) bool { return a.Node == node && a.Kind != base.Fenced })
}

// MayHedge tells whether a second Attempt may run beside a slow one.
func (l *Ledger) MayHedge() bool {
	return l.Repeatable && l.Running() == 1 && l.UpstreamAttempts() < l.MaxTries
}

// MayHaveWaitedAt tells whether an attempt was ready to wait at a node.
func (l *Ledger) MayHaveWaitedAt(node string) bool {
	return slices.ContainsFunc(l.Attempts, func(a *Attempt) bool { return a.Node == node && a.MayWait })
}

// Answered returns an attempt with an answer; nil if there is none.
func (l *Ledger) Answered() *Attempt {
	for _, each := range l.Attempts {
		if each.State == forwarding.Answered {
			return each
		}
	}
	return nil
}

// Failed returns an attempt that an upstream failed; nil if there is none.
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
		l.MaxTries = min(l.MaxTries, tries)
	}
}

// Next derives the next step.
func (l *Ledger) Next(now time.Duration) Decision {
	switch {
	case l.Answered() != nil:
		return Relay
	case l.Running() > 0:
		return Await
	case l.last() == nil:
		return Send
	case now >= l.Deadline, l.UpstreamAttempts() >= max(l.MaxTries, 1), len(l.Attempts) >= MaxAttempts:
	case l.MayHaveRun() && !l.Repeatable:
	default:
		return Send
	}
	if l.Failed() != nil {
		return Relay
	}
	return GiveUp
}
