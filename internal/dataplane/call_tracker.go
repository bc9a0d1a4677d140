package dataplane

import (
	"sync"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

const (
	tieSlack   = 4 * time.Millisecond
	fewestSolo = 10
)

type flight struct {
	way    forwarding.Metadata
	began  time.Duration
	until  time.Duration
	span   string
	trace  string
	parent string
	inner  []stretch
	unsure bool
	kept   bool
	shared bool
	made   map[string]bool
}

type habit struct {
	alone int
	calls map[string]int
}

type stretch struct{ from, to time.Duration }

// CallTracker derives spans from what this node relays, and ties the further calls of its upstream to the requests that made them.
type CallTracker struct {
	scope  base.Scope
	node   string
	keeper *tracing.Keeper
	push   func(*wire.Span)
	mu     sync.Mutex
	flying map[*flight]bool
	habits map[string]*habit
}

// NewCallTracker draws against the keeper's odds at the start of each span.
func NewCallTracker(s base.Scope, node string, keeper *tracing.Keeper, push func(*wire.Span)) *CallTracker {
	return &CallTracker{scope: s, node: node, keeper: keeper, push: push, flying: map[*flight]bool{}, habits: map[string]*habit{}}
}

func (t *CallTracker) board(way forwarding.Metadata, until, left time.Duration) *flight {
	f := &flight{way: way, began: t.scope.Clock.Mono(), until: until, span: t.scope.Rand.Name(6)}
	f.trace, f.parent = cutTrace(way.Trace)
	if f.trace == "" {
		f.trace = f.span
	}
	f.kept = way.Sampled && t.keeper.Keep(way.Service+"/"+way.Route)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flying[f] = true
	if len(t.flying) > 1 {
		for each := range t.flying {
			each.shared = true
		}
	}
	return f
}

func cutTrace(text string) (trace, parent string) {
	for i := range len(text) {
		if text[i] == '.' {
			return text[:i], text[i+1:]
		}
	}
	return text, ""
}

// calls tells whether requests of a route may make calls of another: yes until ten that ran alone made none.
func (t *CallTracker) calls(parent, child string) bool {
	h := t.habits[parent]
	return h == nil || h.alone < fewestSolo || h.calls[child] > 0
}

// further finds the request that a further call belongs to: the only one running here whose route makes such calls, or whose deadline the call shares where that is what binds. With several nothing is guessed: all of them are marked unsure.
func (t *CallTracker) further(route string, until time.Duration, binding bool) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fits []*flight
	for f := range t.flying {
		if off := f.until - until; t.calls(f.way.Route, route) && (!binding || off > -tieSlack && off < tieSlack+leftPad) {
			fits = append(fits, f)
		}
	}
	if len(fits) == 1 {
		parent := fits[0]
		if parent.made == nil {
			parent.made = map[string]bool{}
		}
		parent.made[route] = true
		return parent.trace + "." + parent.span
	}
	for _, f := range fits {
		f.unsure = true
	}
	return ""
}

// inner notes how long a further call of a request took.
func (t *CallTracker) inner(trace string, from, to time.Duration) {
	_, span := cutTrace(trace)
	if span == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.flying {
		if f.span == span {
			f.inner = append(f.inner, stretch{from, to})
			return
		}
	}
}

func (t *CallTracker) land(f *flight, instance *wire.Instance, status int) {
	t.mu.Lock()
	if !t.flying[f] {
		t.mu.Unlock()
		return
	}
	delete(t.flying, f)
	if !f.shared {
		h := t.habits[f.way.Route]
		if h == nil {
			h = &habit{calls: map[string]int{}}
			t.habits[f.way.Route] = h
		}
		h.alone++
		for child := range f.made {
			h.calls[child]++
		}
	}
	t.mu.Unlock()
	if !f.kept || status == 0 {
		return
	}
	now := t.scope.Clock.Mono()
	took := now - f.began
	span := &wire.Span{
		Trace: f.trace, Id: f.span, Parent: f.parent, Service: f.way.Service, Route: f.way.Route, Node: t.node, Seat: instance.GetId(),
		StartedUs: t.scope.Clock.Wall().Add(-took).UnixMicro(), DurationUs: uint64(took.Microseconds()),
		SelfUs: uint64((took - covered(f.inner, f.began, now)).Microseconds()), Status: uint32(status), Tags: map[string]string{"zone": instance.GetZone()},
	}
	if f.unsure {
		span.Tags[tracing.UncertainTag] = "true"
	}
	t.push(span)
}

func covered(inner []stretch, from, to time.Duration) (sum time.Duration) {
	at := from
	for {
		next := -1
		for i, each := range inner {
			if each.to > at && (next < 0 || each.from < inner[next].from) {
				next = i
			}
		}
		if next < 0 {
			return sum
		}
		start, end := max(inner[next].from, at), min(inner[next].to, to)
		if end > start {
			sum += end - start
		}
		at = inner[next].to
	}
}
