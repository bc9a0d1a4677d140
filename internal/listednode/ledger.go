package listednode

import (
	"slices"
	"time"

	"curlewreach/base"
	"curlewreach/internal/bundle"
)

// State is the outcome of an attempt.
type State int

// The states of an attempt.
const (
	// Running means that there is no outcome yet.
	Running State = iota
	// Answered means that there is a complete response.
	Answered
	// NotRun means that the request is known not to have run.
	NotRun
	// Indeterminate means that the request may have run, but there is no response.
	Indeterminate
)

// String returns the state's name as it stands in spans.
func (s State) String() string {
	return [...]string{"running", "answered", "not run", "doubtful"}[s]
}

// Attempt is one attempt to have a request processed by an instance. Times are readings of the monotonic
// clock.
type Attempt struct {
	ID   string
	Node string
	// Instance is the instance's address.
	Instance string
	// NoWait makes the instance's node reject the attempt, with kind Contended, if it would have to wait
	// for requests whose further calls could not be told from those of this one.
	NoWait    bool
	StartedAt time.Duration
	EndedAt   time.Duration
	State     State
	Fault     *base.Fault
}

// Decision is the next step of a request.
type Decision int

// The decisions.
const (
	// Try makes another attempt.
	Try Decision = iota
	// Relay passes the response on to the client.
	Relay
	// GiveUp responds with the error of FinalFault.
	GiveUp
)

// maxAttempts bounds the attempts of a request, not counting early rejections.
const maxAttempts = 4

// Ledger records the attempts of a request. The next step depends on nothing else. It is not safe for
// concurrent use.
type Ledger struct {
	Match bundle.RouteMatch
	// Deadline is the request's deadline by the monotonic clock.
	Deadline time.Duration
	Attempts []*Attempt
	// MayWait lets the next attempts wait for requests whose further calls could not be told from those of
	// this one.
	MayWait bool
}

// rejectedEarly reports whether the attempt was rejected only because the nodes' bundles differ or because
// it was not allowed to wait.
func (a *Attempt) rejectedEarly() bool {
	return a.Fault != nil && (a.Fault.Kind == base.StaleSerial || a.Fault.Kind == base.Contended && a.NoWait)
}

// Last returns the newest attempt, nil if there is none.
func (l *Ledger) Last() *Attempt {
	if len(l.Attempts) == 0 {
		return nil
	}
	return l.Attempts[len(l.Attempts)-1]
}

// Add appends an attempt.
func (l *Ledger) Add(attempt *Attempt) { l.Attempts = append(l.Attempts, attempt) }

// MayHaveRun reports whether the request may have run without a response to pass on.
func (l *Ledger) MayHaveRun() bool {
	for _, attempt := range l.Attempts {
		if attempt.State == Indeterminate || attempt.State == Running {
			return true
		}
	}
	return false
}

// MayHaveReachedUpstream reports whether an attempt reached an upstream or may have.
func (l *Ledger) MayHaveReachedUpstream() bool {
	for _, attempt := range l.Attempts {
		if attempt.State != NotRun {
			return true
		}
	}
	return false
}

// WasContended reports whether an attempt was rejected with kind Contended.
func (l *Ledger) WasContended() bool {
	return slices.ContainsFunc(l.Attempts, func(a *Attempt) bool { return a.Fault != nil && a.Fault.Kind == base.Contended })
}

// Tried reports whether an instance is excluded because an attempt was made there. Attempts that were
// rejected for a stale bundle don't count, nor do other early rejections once attempts may wait.
func (l *Ledger) Tried(address string) bool {
	for _, attempt := range l.Attempts {
		if attempt.Instance == address && attempt.Fault.Kind != base.StaleSerial && !(l.MayWait && attempt.rejectedEarly()) {
			return true
		}
	}
	return false
}

// countedAttempts returns the number of attempts that count towards maxAttempts.
func (l *Ledger) countedAttempts() int {
	count := 0
	for _, attempt := range l.Attempts {
		if !attempt.rejectedEarly() {
			count++
		}
	}
	return count
}

// Next returns the next step. A request that may have run is tried again only if its route is repeatable.
func (l *Ledger) Next(now time.Duration) Decision {
	last := l.Last()
	switch {
	case last == nil:
		return Try
	case last.State == Answered:
		return Relay
	case now >= l.Deadline, l.countedAttempts() >= maxAttempts:
		return GiveUp
	case l.MayHaveRun() && !l.Match.Route.Repeatable:
		return GiveUp
	}
	return Try
}

// FinalFault returns the error to respond with after giving up: that of the last attempt if there is one.
// Its MayHaveRun is set if any attempt may have run.
func (l *Ledger) FinalFault(now time.Duration) *base.Fault {
	fault := base.NewFault(base.NoInstance, "", "no upstream of %s could be reached", l.Match.Service.Name)
	if last := l.Last(); last != nil && last.Fault != nil {
		fault = &base.Fault{Kind: last.Fault.Kind, Path: last.Fault.Path, Reason: last.Fault.Reason, RetryAfter: last.Fault.RetryAfter}
	} else if now >= l.Deadline {
		fault = base.NewFault(base.Expired, "", "the deadline of %s has passed", l.Match.Identifier())
	}
	fault.MayHaveRun = l.MayHaveRun()
	return fault
}
