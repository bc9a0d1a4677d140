// Package base holds what every program of the project runs on: the process's
// surroundings (clock, network, disk, randomness, log and journal, together a
// Scope), loops and locks written once, HTTP servers and clients, params,
// metrics, and the closed list of error kinds. Production and simulation differ
// only in the surroundings that the Scope carries.
package base

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"curlewreach/internal/random"
	"curlewreach/internal/storage"
)

// Scope is the surroundings that a part of a process runs in: its lifetime, as
// a context, and the machine's clock, network, disk, randomness, log and
// journal. It is passed by value.
type Scope struct {
	context.Context
	Node    string
	Clock   Clock
	Net     Net
	Disk    storage.Disk
	Rand    *random.Source
	Log     hclog.Logger
	Journal *Journal
}

// WithContext returns the scope with another context.
func (s Scope) WithContext(ctx context.Context) Scope {
	s.Context = ctx
	return s
}

// WithTimeout returns the scope with a time limit.
func (s Scope) WithTimeout(d time.Duration) (Scope, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(s.Context, d)
	return s.WithContext(ctx), cancel
}

// WithCancel returns the scope with a lifetime that cancel ends early.
func (s Scope) WithCancel() (Scope, context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.Context)
	return s.WithContext(ctx), cancel
}

// Record appends an event to the journal, stamped with the scope's clock.
func (s Scope) Record(topic, subject, detail string) {
	s.Journal.Append(Event{At: s.Clock.Wall(), Mono: s.Clock.Mono(), Topic: topic, Subject: subject, Detail: detail})
}
