// Package base holds what all programs of the project share: the environment of a
// process (clock, network, storage, random source, log and journal, together a
// Scope), loops, locks and concurrent tables, parameters, validation rules and the
// closed set of error kinds. Production and simulation differ only in the
// environment that the Scope holds.
package base

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"curlewreach/internal/random"
	"curlewreach/internal/storage"
)

// Scope is the environment of a component of a process: a context that bounds its
// lifetime, the node's name, and the machine's clock, network, storage, random
// source, log and journal. It is passed by value.
type Scope struct {
	context.Context
	Node    string
	Clock   Clock
	Net     Net
	Disk    storage.Disk
	Rand    *random.Source
	Log     hclog.Logger
	Journal *Journal
	// DroppedLogLines returns how many lines the log has lost; nil if it can't lose any.
	DroppedLogLines func() uint64
}

// WithContext returns a copy of the scope with the given context.
func (s Scope) WithContext(ctx context.Context) Scope {
	s.Context = ctx
	return s
}

// WithTimeout returns a copy of the scope that ends after d, when the returned
// function is called or when the original scope ends, whichever comes first.
func (s Scope) WithTimeout(d time.Duration) (Scope, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(s.Context, d)
	return s.WithContext(ctx), cancel
}

// WithCancel returns a copy of the scope that ends when the returned function is
// called or when the original scope ends.
func (s Scope) WithCancel() (Scope, context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.Context)
	return s.WithContext(ctx), cancel
}

// Record appends an event to the journal with the current times of the scope's
// clock.
func (s Scope) Record(topic, subject, detail string) {
	s.Journal.Append(Event{At: s.Clock.Wall(), Mono: s.Clock.Mono(), Topic: topic, Subject: subject, Detail: detail})
}
