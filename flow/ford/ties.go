package ford

import (
	"sync"
	"time"

	"curlewreach/base"
	"curlewreach/lens"
	"curlewreach/proto/wire"
)

const tieSlack = 4 * time.Millisecond

type flight struct {
	way    Way
	began  time.Duration
	until  time.Duration
	span   string
	trace  string
	parent string
	inner  []stretch
	unsure bool
	kept   bool
}

type stretch struct{ from, to time.Duration }

// Ties derives spans from what this node relays, and ties the further calls of its upstream to the requests that made them.
type Ties struct {
	scope  base.Scope
	node   string
	keeper *lens.Keeper
	push   func(*wire.Span)
	mu     sync.Mutex
	flying map[*flight]bool
	calls  map[string]*flight
}

// NewTies draws against the keeper's odds at the start of each span.
func NewTies(s base.Scope, node string, keeper *lens.Keeper, push func(*wire.Span)) *Ties {
	return &Ties{scope: s, node: node, keeper: keeper, push: push, flying: map[*flight]bool{}}
}

func (t *Ties) board(way Way, until, left time.Duration) *flight {
	f := &flight{way: way, began: t.scope.Clock.Mono(), until: until, span: t.scope.Rand.Name(6)}
	f.trace, f.parent = cutTrace(way.Trace)
	if f.trace == "" {
		f.trace = f.span
	}
	f.kept = way.Sampled && t.keeper.Keep(way.Service+"/"+way.Route)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.flying[f] = true
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

// trace finds the request whose deadline a further call shares; with none or several it says so.
func (t *Ties) trace(now, until time.Duration) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var parent *flight
	for f := range t.flying {
		if off := f.until - until; off > -tieSlack && off < tieSlack+leftPad {
			if parent != nil {
				parent.unsure, f.unsure = true, true
				return ""
			}
			parent = f
		}
	}
	if parent == nil {
		return ""
	}
	return parent.trace + "." + parent.span
}

// inner notes how long a further call of a request took.
func (t *Ties) inner(trace string, from, to time.Duration) {
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

func (t *Ties) land(f *flight, berth *wire.Berth, status int) {
	t.mu.Lock()
	if !t.flying[f] {
		t.mu.Unlock()
		return
	}
	delete(t.flying, f)
	t.mu.Unlock()
	if !f.kept || status == 0 {
		return
	}
	now := t.scope.Clock.Mono()
	took := now - f.began
	span := &wire.Span{
		Trace: f.trace, Id: f.span, Parent: f.parent, Service: f.way.Service, Route: f.way.Route, Node: t.node, Seat: berth.GetId(),
		StartedUs: t.scope.Clock.Wall().Add(-took).UnixMicro(), DurationUs: uint64(took.Microseconds()),
		SelfUs: uint64((took - covered(f.inner, f.began, now)).Microseconds()), Status: uint32(status), Tags: map[string]string{"zone": berth.GetZone()},
	}
	if f.unsure {
		span.Tags[lens.UncertainTag] = "true"
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
