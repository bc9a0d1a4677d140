package retry

import (
	"slices"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
)

// Attempt is one attempt of a request. Times are readings of the monotonic clock.
type Attempt struct {
	Node            string
	State           forwarding.State
	ReachedUpstream bool // the attempt got as far as an upstream
	MayWait         bool // the attempt was allowed to wait in a queue
	Kind            base.Kind
	StartedAt       time.Duration
	Response        *forwarding.Response
	RetryAfter      time.Duration // how long to wait before another attempt
}

// WasFull reports whether the node rejected the attempt because the upstream beside it was full.
func (a *Attempt) WasFull() bool {
	return a.State == forwarding.NotRun && a.Kind == base.Overloaded && !a.ReachedUpstream
}

// Decision is the next step of a request.
type Decision int

const (
	// Send starts another attempt.
	Send Decision = iota
	// Await waits for an attempt that is still running.
	Await
	// Relay passes an upstream's response on to the client.
	Relay
	// GiveUp responds to the client with an error of this node's own.
	GiveUp
)

// MaxAttempts bounds the attempts of a request, rejected ones included.
const MaxAttempts = 8

// Ledger records the attempts of a request and derives the next step from them. It is not safe for concurrent
// use.
type Ledger struct {
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// MaxTries is the number of attempts that may reach an upstream.
	MaxTries int
	// Deadline is the request's deadline.
	Deadline time.Duration
	Attempts []*Attempt
}

// last returns the newest attempt; nil if there is none.
func (l *Ledger) last() *Attempt {
	if len(l.Attempts) == 0 {
		return nil
	}
	return l.Attempts[len(l.Attempts)-1]
}

// Count returns the number of attempts for which matches returns true.
func (l *Ledger) Count(matches func(*Attempt) bool) (n int) {
	for _, each := range l.Attempts {
		if matches(each) {
			n++
		}
	}
	return n
}

// Running returns the number of attempts without an outcome.
func (l *Ledger) Running() int {
	return l.Count(func(a *Attempt) bool { return a.State == forwarding.Running })
}

// UpstreamAttempts returns the number of attempts that reached an upstream or may have.
func (l *Ledger) UpstreamAttempts() int {
	return l.Count(func(a *Attempt) bool { return a.ReachedUpstream || a.State == forwarding.Running })
}

// MayHaveRun reports whether an attempt is running, failed, or has an indeterminate outcome, so that the
// request may have run without a response to pass on.
func (l *Ledger) MayHaveRun() bool {
	return slices.ContainsFunc(l.Attempts, func(a *Attempt) bool {
		return a.State == forwarding.Running || a.State == forwarding.Indeterminate || a.State == forwarding.Failed
	})
}

// Tried reports whether an attempt was sent to the node. Fenced attempts do not count: they never began, so
// the node may be tried again.
func (l *Ledger) Tried(node string) bool {
	return slices.ContainsFunc(l.Attempts, func(a *Attempt) bool { return a.Node == node && a.Kind != base.Fenced })
}

// MayHedge reports whether a second attempt may run in parallel with a slow one.
func (l *Ledger) MayHedge() bool {
	return l.Repeatable && l.Running() == 1 && l.UpstreamAttempts() < l.MaxTries
}

// MayHaveWaitedAt reports whether an attempt at the node was allowed to wait in its queue.
func (l *Ledger) MayHaveWaitedAt(node string) bool {
	return slices.ContainsFunc(l.Attempts, func(a *Attempt) bool { return a.Node == node && a.MayWait })
}

// Answered returns the first attempt with a response to pass on; nil if there is none.
func (l *Ledger) Answered() *Attempt {
	for _, each := range l.Attempts {
		if each.State == forwarding.Answered {
			return each
		}
	}
	return nil
}

// Failed returns the first attempt that an upstream answered with a failure status; nil if there is none.
func (l *Ledger) Failed() *Attempt {
	for _, each := range l.Attempts {
		if each.State == forwarding.Failed {
			return each
		}
	}
	return nil
}

// Narrow applies a configuration that came into force during the request. The stricter limits of both
// configurations apply; tries is ignored if it is 0.
func (l *Ledger) Narrow(repeatable bool, tries int) {
	l.Repeatable = l.Repeatable && repeatable
	if tries > 0 {
		l.MaxTries = min(l.MaxTries, tries)
	}
}

// Next returns the next step at the given time.
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
