package base

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

type Scope struct {
	context.Context
	Node    string
	Clock   Clock
	Net     Net
	Disk    Disk
	Rand    *Rand
	Log     hclog.Logger
	Journal *Journal
}

func (s Scope) Under(ctx context.Context) Scope {
	s.Context = ctx
	return s
}

func (s Scope) Within(d time.Duration) (Scope, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(s.Context, d)
	return s.Under(ctx), cancel
}

func (s Scope) Child() (Scope, context.CancelFunc) {
	ctx, cancel := context.WithCancel(s.Context)
	return s.Under(ctx), cancel
}

func (s Scope) Note(topic, subject, detail string) {
	s.Journal.Append(Event{At: s.Clock.Wall(), Mono: s.Clock.Mono(), Topic: topic, Subject: subject, Detail: detail})
}
