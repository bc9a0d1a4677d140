package flow

import (
	"slices"
	"time"

	"curlewreach/base"
	"curlewreach/internal/bundle"
)

type State int

const (
	Running State = iota
	Answered
	NotRun
	Doubtful
)

func (s State) String() string {
	return [...]string{"running", "answered", "not run", "doubtful"}[s]
}

type Attempt struct {
	Name      string
	Node      string
	Seat      string
	Impatient bool
	Started   time.Duration
	Ended     time.Duration
	State     State
	Mishap    *base.Mishap
}

type Move int

const (
	Try Move = iota
	Relay
	GiveUp
)

const mostAttempts = 4

type Ledger struct {
	Way      bundle.Way
	Until    time.Duration
	Attempts []*Attempt
	Patient  bool
}

func (a *Attempt) turnedBack() bool {
	return a.Mishap != nil && (a.Mishap.Kind == base.Stale || a.Mishap.Kind == base.Apart && a.Impatient)
}

func (l *Ledger) Last() *Attempt {
	if len(l.Attempts) == 0 {
		return nil
	}
	return l.Attempts[len(l.Attempts)-1]
}

func (l *Ledger) Add(attempt *Attempt) { l.Attempts = append(l.Attempts, attempt) }

func (l *Ledger) Doubtful() bool {
	for _, attempt := range l.Attempts {
		if attempt.State == Doubtful || attempt.State == Running {
			return true
		}
	}
	return false
}

func (l *Ledger) Arrived() bool {
	for _, attempt := range l.Attempts {
		if attempt.State != NotRun {
			return true
		}
	}
	return false
}

func (l *Ledger) Apart() bool {
	return slices.ContainsFunc(l.Attempts, func(a *Attempt) bool { return a.Mishap != nil && a.Mishap.Kind == base.Apart })
}

func (l *Ledger) Tried(seat string) bool {
	for _, attempt := range l.Attempts {
		if attempt.Seat == seat && attempt.Mishap.Kind != base.Stale && !(l.Patient && attempt.turnedBack()) {
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

func (l *Ledger) Next(now time.Duration) Move {
	last := l.Last()
	switch {
	case last == nil:
		return Try
	case last.State == Answered:
		return Relay
	case now >= l.Until, l.counted() >= mostAttempts:
		return GiveUp
	case l.Doubtful() && !l.Way.Route.Repeatable:
		return GiveUp
	}
	return Try
}

func (l *Ledger) Verdict(now time.Duration) *base.Mishap {
	verdict := base.Bounce(base.NoSeat, "", "no upstream of %s could be reached", l.Way.Service.Name)
	if last := l.Last(); last != nil && last.Mishap != nil {
		verdict = &base.Mishap{Kind: last.Mishap.Kind, Path: last.Mishap.Path, Reason: last.Mishap.Reason, After: last.Mishap.After}
	} else if now >= l.Until {
		verdict = base.Bounce(base.Expired, "", "the deadline of %s has passed", l.Way.Identifier())
	}
	verdict.Run = l.Doubtful()
	return verdict
}
