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
	recentMost     = 5000
	missedCycles   = 3
	shortestCycles = 16
)

// learning is a version of the key that holds the sampling odds, decoded.
type learning struct {
	entry *wire.Version
	said  *wire.Learning
}

// next returns the learning of a newer version, or the same if there is none.
func (l *learning) next(s base.Scope, entry *wire.Version) *learning {
	if entry == nil || entry == l.entry {
		return l
	}
	said := &wire.Learning{}
	if err := proto.Unmarshal(entry.Value, said); err != nil {
		s.Record("learning-unreadable", LearningKey, err.Error())
		return l
	}
	return &learning{entry: entry, said: said}
}

// cursor is how far the spans of one trace store have been read, in one incarnation of it.
type cursor struct {
	after       uint64
	incarnation string
}

// learner keeps the sampling odds up to date while this machine holds that duty.
type learner struct {
	server  *Server
	core    *core
	tracing *wire.Tracing
	cycle   time.Duration
	cursors map[string]*cursor
	local   uint64
	owed    time.Duration
	moved   time.Duration
	last    uint64
	kept    []*wire.Span
}

func newLearner(m *Server, c *core) *learner {
	usual := &wire.Bundle{Common: &wire.Common{Tracing: &wire.Tracing{Cycle: durationpb.New(5 * time.Second)}}}
	bundle.SetDefaults(usual, bundle.DefaultLimits(m.params.Load().Grace.AsDuration()))
	l := &learner{server: m, core: c, tracing: usual.Common.Tracing, cursors: map[string]*cursor{}, moved: m.scope.Clock.Mono(), owed: -1}
	l.cycle = l.tracing.Cycle.AsDuration()
	return l
}

// run takes the duty when it is free or its holder fails, and learns once a cycle while it is held.
func (l *learner) run(s base.Scope) {
	cycled := -time.Hour
	for s.Err() == nil {
		configuration, learned := l.server.view.Load().head.GetConfiguration(), l.server.learning.Load().said
		if configuration == nil || !l.core.replica.IsVoter() {
			base.Await(s, ratioOf(l.server.params.Load().InForce, 1.0/shortestCycles))
			continue
		}
		holder := learned.GetHolder()
		mine := holder == l.server.address
		if mine && s.Clock.Mono()-cycled >= l.cycle/2 || l.overdue(s, learned) || holder == "" && l.core.replica.Voters()[0] == l.server.address {
			cycled = s.Clock.Mono()
			l.learn(s, configuration, holder)
		}
		var handed <-chan struct{}
		if !mine {
			handed = l.core.replica.Changed()
		}
		base.Await(s, l.cycle, handed)
	}
}

// A holder has missed its cycles if it is silent, or if spans wait here and the key stands still.
func (l *learner) overdue(s base.Scope, learned *wire.Learning) bool {
	now := s.Clock.Mono()
	spans, _ := l.core.traces.Recent(l.local, 1)
	if learned.GetCycle() != l.last || l.last == 0 && len(spans) == 0 {
		l.last, l.moved, l.owed = learned.GetCycle(), now, -1
		_, l.local = l.core.traces.Recent(l.local, spansMost)
	} else if len(spans) > 0 && l.owed < 0 {
		l.owed = now
	}
	if learned.GetHolder() == l.server.address {
		return false
	}
	if l.owed >= 0 && now-l.owed > missedCycles*l.cycle {
		return true
	}
	return now-l.moved > missedCycles*l.cycle && !l.core.heardLately(learned.GetHolder(), missedCycles*l.cycle)
}

// learn runs one cycle on the newest spans and writes the outcome, unless another holds the duty by now.
func (l *learner) learn(s base.Scope, configuration *wire.Configuration, holder string) {
	bounded, cancel := s.WithTimeout(l.cycle)
	defer cancel()
	l.kept = newest(l.kept, l.recent(bounded), recentMost)
	spans := l.kept
	if len(spans) == 0 && holder == l.server.address {
		return
	}
	err := l.core.replica.Change(bounded, LearningKey, func(old []byte) ([]byte, error) {
		prior := &wire.Learning{}
		if err := proto.Unmarshal(old, prior); err != nil {
			return nil, err
		}
		if prior.Holder != holder && prior.Holder != l.server.address {
			return nil, nil
		}
		prior.Holder = l.server.address
		return proto.Marshal(tracing.Learn(prior, spans, l.tracing, s.Rand, names(configuration)))
	})
	if err != nil {
		s.Record("learner-stuck", LearningKey, err.Error())
		return
	}
	l.kept = nil
	if holder != l.server.address {
		s.Log.Info("took the learner's duty", "from", holder)
		s.Record("duty", "learner", "taken from "+holder)
	}
}

// newest joins spans that were kept with later ones and keeps the last most of them, also while nothing can be learned.
func newest(kept, later []*wire.Span, most int) []*wire.Span {
	joined := append(kept, later...)
	return slices.Clone(joined[max(0, len(joined)-most):])
}

// cursor is how far the spans of one trace store have been read, in one incarnation of it.
func (l *learner) cursor(address string) *cursor {
	at := l.cursors[address]
	if at == nil {
		at = &cursor{}
		l.cursors[address] = at
	}
	return at
}

// recent returns the spans that came in since the last cycle, here and at the other voters.
func (l *learner) recent(s base.Scope) []*wire.Span {
	seen := map[string]bool{}
	var spans []*wire.Span
	for _, address := range l.core.replica.Voters() {
		at := l.cursor(address)
		bounded, cancel := s.WithTimeout(ratioOf(l.server.params.Load().InForce, 0.25))
		reply, err := l.core.traceStore(address).Recent(bounded, connect.NewRequest(&wire.RecentRequest{After: at.after, Limit: recentMost}))
		cancel()
		if err != nil {
			continue
		}
		if at.incarnation != reply.Msg.Incarnation && at.after > 0 {
			at.incarnation, at.after = reply.Msg.Incarnation, 0
			continue
		}
		at.incarnation, at.after = reply.Msg.Incarnation, reply.Msg.After
		for _, span := range reply.Msg.Spans {
			if !seen[span.Id] {
				seen[span.Id] = true
				spans = append(spans, span)
			}
		}
	}
	return spans
}

// names tells whether an identifier belongs to a route of the configuration.
func names(configuration *wire.Configuration) func(identifier string) bool {
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

// handOver gives the duty up before a stop, so that another takes it at once.
func (m *Server) handOver(s base.Scope, c *core) {
	if m.learning.Load().said.GetHolder() != m.address {
		return
	}
	voters := c.replica.Voters()
	at := slices.IndexFunc(voters, func(peer string) bool { return peer != m.address && c.heardLately(peer, m.recentWindow()) })
	if at < 0 {
		return
	}
	successor := voters[at]
	err := c.replica.Change(s, LearningKey, func(old []byte) ([]byte, error) {
		held := &wire.Learning{}
		if err := proto.Unmarshal(old, held); err != nil || held.Holder != m.address {
			return nil, err
		}
		held.Holder = successor
		return proto.Marshal(held)
	})
	if err == nil {
		s.Log.Info("handed over the learner's duty", "to", successor)
		s.Record("duty", "learner", "handed to "+successor)
	}
}
