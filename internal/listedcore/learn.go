package listedcore

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/membership"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

const (
	// recentMost is the most spans read from one core machine in a cycle.
	recentMost = 20000
	// missedCycles is the number of cycles without progress after which another
	// machine takes learning over.
	missedCycles = 3
	// shortestCycles, dividing the in-force bound, is the wait while there is
	// nothing to learn.
	shortestCycles = 16
)

type reader struct {
	after       uint64
	incarnation string
}

// Learning returns what was learned, nil if nothing was yet.
func (h *ControlPlane) Learning() *wire.Learning {
	entry, known := h.store.Chosen(LearningKey)
	if !known {
		return nil
	}
	learning := &wire.Learning{}
	if proto.Unmarshal(entry.Value, learning) != nil {
		return nil
	}
	return learning
}

func (h *ControlPlane) learn(s base.Scope) {
	readers := map[string]*reader{}
	for name := range h.lenses {
		readers[name] = &reader{}
	}
	progress, since := uint64(0), s.Clock.Mono()
	cycled := -time.Hour
	for s.Err() == nil {
		current := h.Current()
		if current == nil || !h.store.Ready() {
			base.Await(s, h.force/shortestCycles)
			continue
		}
		cycle := current.Tracing().GetCycle().AsDuration()
		learning := h.Learning()
		if learning.GetCycle() != progress {
			progress, since = learning.GetCycle(), s.Clock.Mono()
		}
		holder := learning.GetHolder()
		overdue := s.Clock.Mono()-since > missedCycles*cycle
		if (holder == h.self && s.Clock.Mono()-cycled >= cycle/2) || overdue || (holder == "" && h.first(current.Raw)) {
			cycled = s.Clock.Mono()
			h.cycle(s, current, readers, holder)
		}
		base.Await(s, cycle, h.handed(holder))
	}
}

func (h *ControlPlane) handed(holder string) <-chan struct{} {
	if holder == h.self {
		return nil
	}
	return h.store.Changed()
}

func (h *ControlPlane) first(b *wire.Bundle) bool {
	for _, machine := range b.GetCommon().GetMachines() {
		if machine.Core {
			return machine.Name == h.self
		}
	}
	return true
}

func (h *ControlPlane) cycle(s base.Scope, current *bundle.Bundle, readers map[string]*reader, holder string) {
	settings := current.Tracing()
	bounded, cancel := s.WithTimeout(settings.GetCycle().AsDuration())
	defer cancel()
	spans := h.recent(bounded, readers)
	err := h.store.Change(bounded, LearningKey, func(old []byte) ([]byte, error) {
		prior := &wire.Learning{}
		if err := proto.Unmarshal(old, prior); err != nil {
			return nil, err
		}
		if prior.Holder != holder && prior.Holder != h.self {
			return nil, nil
		}
		prior.Holder = h.self
		return proto.Marshal(tracing.Learn(prior, spans, settings, s.Rand, current.HasRoute))
	})
	if err != nil {
		h.scope.Record("learner-stuck", "", err.Error())
	}
}

func (h *ControlPlane) recent(s base.Scope, readers map[string]*reader) []*wire.Span {
	seen := map[string]bool{}
	var spans []*wire.Span
	for name, client := range h.lenses {
		at := readers[name]
		ctx, cancel := context.WithTimeout(s, time.Duration(float64(h.force)/4))
		reply, err := client.Recent(ctx, connect.NewRequest(&wire.RecentRequest{After: at.after, Limit: recentMost}))
		cancel()
		if err != nil {
			continue
		}
		if at.incarnation != reply.Msg.Incarnation {
			at.incarnation = reply.Msg.Incarnation
			at.after = 0
		}
		at.after = reply.Msg.After
		for _, span := range reply.Msg.Spans {
			if !seen[span.Id] {
				seen[span.Id] = true
				spans = append(spans, span)
			}
		}
	}
	return spans
}

// TransferLearning gives the duty to learn to another core machine, if this one has it.
func (h *ControlPlane) TransferLearning(s base.Scope) {
	if h.Learning().GetHolder() != h.self {
		return
	}
	successor := ""
	for sighting := range h.member.View().All() {
		if sighting.Roster.Core && sighting.Roster.Node != h.self && sighting.Standing == membership.Alive && !sighting.Roster.Stopping {
			successor = sighting.Roster.Node
			break
		}
	}
	if successor == "" {
		return
	}
	err := h.store.Change(s, LearningKey, func(old []byte) ([]byte, error) {
		learning := &wire.Learning{}
		if err := proto.Unmarshal(old, learning); err != nil || learning.Holder != h.self {
			return nil, err
		}
		learning.Holder = successor
		return proto.Marshal(learning)
	})
	if err == nil {
		h.scope.Record("duty", "learner", "handed to "+successor)
	}
}
