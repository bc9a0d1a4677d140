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
	// maxSpansPerRead is the maximum number of spans read from one core machine in
	// a cycle.
	maxSpansPerRead = 20000
	// takeoverCycles is the number of cycles without progress after which another
	// machine takes over as the learner.
	takeoverCycles = 3
	// idleWaitDivisor is the divisor of the in-force bound that gives the wait
	// while there is no bundle or the disk has not recovered.
	idleWaitDivisor = 16
)

// spanCursor is the position after the last span read from the trace store of a core
// machine, valid for one incarnation of that store.
type spanCursor struct {
	after       uint64
	incarnation string
}

// Learning returns the learner's state that was replicated last, or nil if there is
// none.
func (c *ControlPlane) Learning() *wire.Learning {
	entry, known := c.replica.Chosen(LearningKey)
	if !known {
		return nil
	}
	learning := &wire.Learning{}
	if proto.Unmarshal(entry.Value, learning) != nil {
		return nil
	}
	return learning
}

// runLearning runs the learner's cycles while this machine is the learner. It becomes
// the learner if there has been no progress for takeoverCycles, or if there is no
// learner yet and it is the first core machine in the bundle.
func (c *ControlPlane) runLearning(s base.Scope) {
	cursors := map[string]*spanCursor{}
	for name := range c.traceClients {
		cursors[name] = &spanCursor{}
	}
	lastCycle, progressAt := uint64(0), s.Clock.Mono()
	lastRun := -time.Hour
	for s.Err() == nil {
		current := c.Current()
		if current == nil || !c.replica.Ready() {
			base.Await(s, c.inForceBound/idleWaitDivisor)
			continue
		}
		cycle := current.Tracing().GetCycle().AsDuration()
		learning := c.Learning()
		if learning.GetCycle() != lastCycle {
			lastCycle, progressAt = learning.GetCycle(), s.Clock.Mono()
		}
		learner := learning.GetHolder()
		overdue := s.Clock.Mono()-progressAt > takeoverCycles*cycle
		if (learner == c.self && s.Clock.Mono()-lastRun >= cycle/2) || overdue || (learner == "" && c.isFirstCore(current.Raw)) {
			lastRun = s.Clock.Mono()
			c.runCycle(s, current, cursors, learner)
		}
		base.Await(s, cycle, c.learnerChanged(learner))
	}
}

// learnerChanged returns a channel that is closed when another machine may have become
// the learner, or nil if this machine is the learner.
func (c *ControlPlane) learnerChanged(learner string) <-chan struct{} {
	if learner == c.self {
		return nil
	}
	return c.replica.Changed()
}

// isFirstCore reports whether this machine is the first core machine in the bundle,
// or the bundle lists none.
func (c *ControlPlane) isFirstCore(b *wire.Bundle) bool {
	for _, machine := range b.GetCommon().GetMachines() {
		if machine.Core {
			return machine.Name == c.self
		}
	}
	return true
}

// runCycle runs one cycle of learning and replicates the result, with this machine as
// the learner. It changes nothing if another machine has become the learner since.
func (c *ControlPlane) runCycle(s base.Scope, current *bundle.Bundle, cursors map[string]*spanCursor, learner string) {
	settings := current.Tracing()
	cycleScope, cancel := s.WithTimeout(settings.GetCycle().AsDuration())
	defer cancel()
	spans := c.readSpans(cycleScope, cursors)
	err := c.replica.Change(cycleScope, LearningKey, func(old []byte) ([]byte, error) {
		prior := &wire.Learning{}
		if err := proto.Unmarshal(old, prior); err != nil {
			return nil, err
		}
		if prior.Holder != learner && prior.Holder != c.self {
			return nil, nil
		}
		prior.Holder = c.self
		return proto.Marshal(tracing.Learn(prior, spans, settings, s.Rand, current.HasRoute))
	})
	if err != nil {
		c.scope.Record("learner-stuck", "", err.Error())
	}
}

// readSpans returns the spans that were added to the trace stores of all core
// machines since the last read, without duplicates. Machines that don't reply are
// skipped.
func (c *ControlPlane) readSpans(s base.Scope, cursors map[string]*spanCursor) []*wire.Span {
	seen := map[string]bool{}
	var spans []*wire.Span
	for name, client := range c.traceClients {
		cursor := cursors[name]
		ctx, cancel := context.WithTimeout(s, time.Duration(float64(c.inForceBound)/4))
		reply, err := client.Recent(ctx, connect.NewRequest(&wire.RecentRequest{After: cursor.after, Limit: maxSpansPerRead}))
		cancel()
		if err != nil {
			continue
		}
		if cursor.incarnation != reply.Msg.Incarnation {
			cursor.incarnation = reply.Msg.Incarnation
			cursor.after = 0
		}
		cursor.after = reply.Msg.After
		for _, span := range reply.Msg.Spans {
			if !seen[span.Id] {
				seen[span.Id] = true
				spans = append(spans, span)
			}
		}
	}
	return spans
}

// TransferLearning makes another core machine the learner, if this one is. The other
// one must be alive and not stopping.
func (c *ControlPlane) TransferLearning(s base.Scope) {
	if c.Learning().GetHolder() != c.self {
		return
	}
	successor := ""
	for sighting := range c.member.View().All() {
		if sighting.Roster.Core && sighting.Roster.Node != c.self && sighting.Standing == membership.Alive && !sighting.Roster.Stopping {
			successor = sighting.Roster.Node
			break
		}
	}
	if successor == "" {
		return
	}
	err := c.replica.Change(s, LearningKey, func(old []byte) ([]byte, error) {
		learning := &wire.Learning{}
		if err := proto.Unmarshal(old, learning); err != nil || learning.Holder != c.self {
			return nil, err
		}
		learning.Holder = successor
		return proto.Marshal(learning)
	})
	if err == nil {
		c.scope.Record("duty", "learner", "handed to "+successor)
	}
}
