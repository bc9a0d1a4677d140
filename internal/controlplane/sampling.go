package controlplane

import (
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

const (
	// maxCycleSpans bounds the spans that one cycle learns from, and those requested from one trace store.
	maxCycleSpans = 5000
	// takeoverCycles is how many cycles the holder of the duty may miss before another control machine takes over.
	takeoverCycles = 3
	// idleChecks is how often per InForce bound a control machine without a vote or a configuration looks again.
	idleChecks = 16
)

// learningVersion is a decoded version of the register that holds the sampling odds. It is immutable.
type learningVersion struct {
	version *wire.Version
	state   *wire.Learning
}

// decode returns the decoded form of a newer version. It returns l if version is nil, the same, or unreadable.
func (l *learningVersion) decode(s base.Scope, version *wire.Version) *learningVersion {
	if version == nil || version == l.version {
		return l
	}
	state := &wire.Learning{}
	if err := proto.Unmarshal(version.Value, state); err != nil {
		s.Record("learning-unreadable", LearningKey, err.Error())
		return l
	}
	return &learningVersion{version: version, state: state}
}

// spanCursor is how far the spans of one trace store have been read, and in which incarnation of the store.
type spanCursor struct {
	after       uint64
	incarnation string
}

// samplingLearner updates the sampling odds from recent spans while this control machine holds that duty. The
// holder of the duty is named in the register itself.
type samplingLearner struct {
	server         *Server
	core           *core
	tracing        *wire.Tracing
	cycle          time.Duration
	cursors        map[string]*spanCursor
	localCursor    uint64        // end of the local trace store when the cycle last changed
	spansSince     time.Duration // since when spans wait for a cycle, negative if none do
	cycleChangedAt time.Duration
	lastCycle      uint64
	pendingSpans   []*wire.Span // read from the trace stores, not learned from yet
}

// newSamplingLearner returns a learner with the default tracing settings and a cycle of five seconds.
func newSamplingLearner(m *Server, c *core) *samplingLearner {
	defaults := &wire.Bundle{Common: &wire.Common{Tracing: &wire.Tracing{Cycle: durationpb.New(5 * time.Second)}}}
	bundle.SetDefaults(defaults, bundle.DefaultLimits(m.params.Load().Grace.AsDuration()))
	l := &samplingLearner{server: m, core: c, tracing: defaults.Common.Tracing, cursors: map[string]*spanCursor{}, cycleChangedAt: m.scope.Clock.Mono(), spansSince: -1}
	l.cycle = l.tracing.Cycle.AsDuration()
	return l
}

// run takes the duty when its holder fails, and runs one cycle after the other while the duty is held here. If
// nobody holds it, the first in the list of voters takes it.
func (l *samplingLearner) run(s base.Scope) {
	lastRun := -time.Hour
	for s.Err() == nil {
		configuration, state := l.server.configuration.Load().head.GetConfiguration(), l.server.learning.Load().state
		if configuration == nil || !l.core.replica.IsVoter() {
			base.Await(s, ratioOf(l.server.params.Load().InForce, 1.0/idleChecks))
			continue
		}
		holder := state.GetHolder()
		isHolder := holder == l.server.address
		if isHolder && s.Clock.Mono()-lastRun >= l.cycle/2 || l.holderOverdue(s, state) || holder == "" && l.core.replica.Voters()[0] == l.server.address {
			lastRun = s.Clock.Mono()
			l.runCycle(s, configuration, holder)
		}
		var changed <-chan struct{}
		if !isHolder {
			changed = l.core.replica.Changed()
		}
		base.Await(s, l.cycle, changed)
	}
}

// holderOverdue reports whether the holder of the duty has missed takeoverCycles cycles: for that long, either spans
// have been waiting here without a new cycle, or no cycle was written and the holder was not heard. Each call also
// updates the fields that record since when spans have been waiting and when the cycle last changed.
func (l *samplingLearner) holderOverdue(s base.Scope, state *wire.Learning) bool {
	now := s.Clock.Mono()
	spans, _ := l.core.traces.Recent(l.localCursor, 1)
	if state.GetCycle() != l.lastCycle || l.lastCycle == 0 && len(spans) == 0 {
		l.lastCycle, l.cycleChangedAt, l.spansSince = state.GetCycle(), now, -1
		_, l.localCursor = l.core.traces.Recent(l.localCursor, maxSpans)
	} else if len(spans) > 0 && l.spansSince < 0 {
		l.spansSince = now
	}
	if state.GetHolder() == l.server.address {
		return false
	}
	if l.spansSince >= 0 && now-l.spansSince > takeoverCycles*l.cycle {
		return true
	}
	return now-l.cycleChangedAt > takeoverCycles*l.cycle && !l.core.heardWithin(state.GetHolder(), takeoverCycles*l.cycle)
}

// runCycle runs one cycle on the newest spans and writes its result, which also takes the duty. Nothing is written
// if the duty has meanwhile passed to a machine other than the given holder and this one. After a failure the spans are
// kept for the next cycle.
func (l *samplingLearner) runCycle(s base.Scope, configuration *wire.Configuration, holder string) {
	cycleScope, cancel := s.WithTimeout(l.cycle)
	defer cancel()
	l.pendingSpans = appendNewest(l.pendingSpans, l.collectSpans(cycleScope), maxCycleSpans)
	spans := l.pendingSpans
	if len(spans) == 0 && holder == l.server.address {
		return
	}
	err := l.core.replica.Change(cycleScope, LearningKey, func(old []byte) ([]byte, error) {
		prior := &wire.Learning{}
		if err := proto.Unmarshal(old, prior); err != nil {
			return nil, err
		}
		if prior.Holder != holder && prior.Holder != l.server.address {
			return nil, nil
		}
		prior.Holder = l.server.address
		return proto.Marshal(tracing.Learn(prior, spans, l.tracing, s.Rand, routeIdentifiers(configuration)))
	})
	if err != nil {
		s.Record("learner-stuck", LearningKey, err.Error())
		return
	}
	l.pendingSpans = nil
	if holder != l.server.address {
		s.Log.Info("took the learner's duty", "from", holder)
		s.Record("duty", "learner", "taken from "+holder)
	}
}

// appendNewest appends later spans to those kept and returns the newest, at most limit of them, so that memory
// stays bounded while no cycle can be written.
func appendNewest(kept, later []*wire.Span, limit int) []*wire.Span {
	joined := append(kept, later...)
	return slices.Clone(joined[max(0, len(joined)-limit):])
}

// cursorOf returns the cursor of the trace store at an address, a new one if the store has not been read yet.
func (l *samplingLearner) cursorOf(address string) *spanCursor {
	cursor := l.cursors[address]
	if cursor == nil {
		cursor = &spanCursor{}
		l.cursors[address] = cursor
	}
	return cursor
}

// collectSpans returns the spans that have come in since the last cycle at all voters, this machine included,
// without duplicates. A trace store that has restarted is read from its beginning in the next cycle.
func (l *samplingLearner) collectSpans(s base.Scope) []*wire.Span {
	seen := map[string]bool{}
	var spans []*wire.Span
	for _, address := range l.core.replica.Voters() {
		cursor := l.cursorOf(address)
		callScope, cancel := s.WithTimeout(ratioOf(l.server.params.Load().InForce, 0.25))
		reply, err := l.core.traceClient(address).Recent(callScope, connect.NewRequest(&wire.RecentRequest{After: cursor.after, Limit: maxCycleSpans}))
		cancel()
		if err != nil {
			continue
		}
		if cursor.incarnation != reply.Msg.Incarnation && cursor.after > 0 {
			cursor.incarnation, cursor.after = reply.Msg.Incarnation, 0
			continue
		}
		cursor.incarnation, cursor.after = reply.Msg.Incarnation, reply.Msg.After
		for _, span := range reply.Msg.Spans {
			if !seen[span.Id] {
				seen[span.Id] = true
				spans = append(spans, span)
			}
		}
	}
	return spans
}

// routeIdentifiers returns a function that reports whether an identifier belongs to a route of the configuration.
func routeIdentifiers(configuration *wire.Configuration) func(identifier string) bool {
	known := map[string]bool{}
	for _, route := range configuration.GetRoutes() {
		if route.Service != nil {
			known[route.GetService()+"/"+route.Name] = true
		}
		for _, destination := range route.Destinations {
			known[destination.Service+"/"+route.Name] = true
		}
	}
	return func(identifier string) bool { return known[identifier] }
}

// handOverLearning passes the duty of the sampling learner to another voter before a stop, so that learning
// continues without a gap.
func (m *Server) handOverLearning(s base.Scope, c *core) {
	if m.learning.Load().state.GetHolder() != m.address {
		return
	}
	voters := c.replica.Voters()
	index := slices.IndexFunc(voters, func(peer string) bool { return peer != m.address && c.heardWithin(peer, m.recentlyHeardWindow()) })
	if index < 0 {
		return
	}
	successor := voters[index]
	err := c.replica.Change(s, LearningKey, func(old []byte) ([]byte, error) {
		state := &wire.Learning{}
		if err := proto.Unmarshal(old, state); err != nil || state.Holder != m.address {
			return nil, err
		}
		state.Holder = successor
		return proto.Marshal(state)
	})
	if err == nil {
		s.Log.Info("handed over the learner's duty", "to", successor)
		s.Record("duty", "learner", "handed to "+successor)
	}
}
