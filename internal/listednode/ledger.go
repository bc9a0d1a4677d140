package listednode

import (
	"slices"
	"time"

	"curlewreach/base"
	"curlewreach/internal/bundle"
)

// State is what became of an attempt.
type State int

// The states of an attempt.
const (
	// Running is an attempt without an outcome yet.
	Running State = iota
	// Answered is an attempt with a whole answer.
	Answered
	// NotRun is an attempt that surely didn't run.
	NotRun
	// Indeterminate is an attempt that may have run.
	Indeterminate
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"running", "answered", "not run", "doubtful"}[s]
}

// Attempt is one try to carry a request to an instance.
type Attempt struct {
	ID   string
	Node string
	// Instance is the instance's address.
	Instance string
	// NoWait attempts are turned back rather than kept waiting where such
	// requests are kept apart.
	NoWait    bool
	StartedAt time.Duration
	EndedAt   time.Duration
	State     State
	Fault     *base.Fault
}

// Decision is what to do next about a request.
type Decision int

// The moves.
const (
	// Try makes another attempt.
	Try Decision = iota
	// Relay passes on the answer.
	Relay
	// GiveUp tells the caller what is known.
	GiveUp
)

// mostAttempts is the most attempts for one request, not counting those turned
// back.
const mostAttempts = 4

// Ledger lists the attempts for one request. What to do next is read off it
// alone.
type Ledger struct {
	Match bundle.RouteMatch
	// Deadline is the request's deadline by the monotonic clock.
	Deadline time.Duration
	Attempts []*Attempt
	// MayWait lets the next attempts wait where such requests are kept apart.
	MayWait bool
}

func (a *Attempt) turnedBack() bool {
	return a.Fault != nil && (a.Fault.Kind == base.StaleSerial || a.Fault.Kind == base.Contended && a.NoWait)
}

// Last returns the newest attempt, or nil.
func (l *Ledger) Last() *Attempt {
	if len(l.Attempts) == 0 {
		return nil
	}
	return l.Attempts[len(l.Attempts)-1]
}

// Add appends an attempt.
func (l *Ledger) Add(attempt *Attempt) { l.Attempts = append(l.Attempts, attempt) }

// MayHaveRun reports whether any attempt may have run without an answer.
func (l *Ledger) MayHaveRun() bool {
	for _, attempt := range l.Attempts {
		if attempt.State == Indeterminate || attempt.State == Running {
			return true
		}
	}
	return false
}

// MayHaveReachedUpstream reports whether any attempt may have reached an upstream.
func (l *Ledger) MayHaveReachedUpstream() bool {
	for _, attempt := range l.Attempts {
		if attempt.State != NotRun {
			return true
		}
	}
	return false
}

// WasKeptApart reports whether any attempt was turned back as such requests are kept
// apart.
func (l *Ledger) WasKeptApart() bool {
	return slices.ContainsFunc(l.Attempts, func(a *Attempt) bool { return a.Fault != nil && a.Fault.Kind == base.Contended })
}

// Tried reports whether an instance was tried and needn't be again.
func (l *Ledger) Tried(seat string) bool {
	for _, attempt := range l.Attempts {
		if attempt.Instance == seat && attempt.Fault.Kind != base.StaleSerial && !(l.MayWait && attempt.turnedBack()) {
			return true
		}
	}
	return false
}

func (l *Ledger) counted() int {
	count := 0
	for _, attempt := range l.Attempts {
		if !attempt.turnedBack() {
			count++
		}
	}
	return count
}

// Next returns what to do now. A request that may have run is tried again only
// if its route is repeatable.
func (l *Ledger) Next(now time.Duration) Decision {
	last := l.Last()
	switch {
	case last == nil:
		return Try
	case last.State == Answered:
		return Relay
	case now >= l.Deadline, l.counted() >= mostAttempts:
		return GiveUp
	case l.MayHaveRun() && !l.Match.Route.Repeatable:
		return GiveUp
	}
	return Try
}

// FinalFault returns the error to tell the caller on giving up.
func (l *Ledger) FinalFault(now time.Duration) *base.Fault {
	verdict := base.NewFault(base.NoInstance, "", "no upstream of %s could be reached", l.Match.Service.Name)
	if last := l.Last(); last != nil && last.Fault != nil {
		verdict = &base.Fault{Kind: last.Fault.Kind, Path: last.Fault.Path, Reason: last.Fault.Reason, RetryAfter: last.Fault.RetryAfter}
	} else if now >= l.Deadline {
		verdict = base.NewFault(base.Expired, "", "the deadline of %s has passed", l.Match.Identifier())
	}
	verdict.MayHaveRun = l.MayHaveRun()
	return verdict
}
