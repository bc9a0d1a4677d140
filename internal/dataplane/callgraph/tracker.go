package callgraph

import (
	"sync"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

const (
	// deadlineSlack is by how much the deadline of a call may differ from that of the request which it belongs to.
	deadlineSlack = 4 * time.Millisecond
	// fewestAlone is how many requests of a route must have run alone before it is concluded which calls they make.
	fewestAlone = 10
)

// Request is a request at the upstream beside this node.
type Request struct {
	way    forwarding.Metadata
	began  time.Duration
	until  time.Duration
	span   string
	trace  string
	parent string
	calls  []stretch
	unsure bool
	kept   bool
	shared bool
	made   map[string]bool
}

// callPattern is which calls the requests of a route made that ran alone.
type callPattern struct {
	alone int
	calls map[string]int
}

// stretch is a span of time.
type stretch struct{ from, to time.Duration }

// Tracker derives spans from the requests at the upstream beside this node, and finds the request that each call of the
// upstream belongs to. It is safe for concurrent use.
type Tracker struct {
	scope    base.Scope
	node     string
	keeper   *tracing.Sampler
	push     func(*wire.Span)
	mu       sync.Mutex
	inFlight map[*Request]bool
	patterns map[string]*callPattern
}

// NewTracker returns a tracker that hands the spans to push which the keeper samples.
func NewTracker(s base.Scope, node string, keeper *tracing.Sampler, push func(*wire.Span)) *Tracker {
	return &Tracker{scope: s, node: node, keeper: keeper, push: push, inFlight: map[*Request]bool{}, patterns: map[string]*callPattern{}}
}

// Begin notes that a request is written to the upstream.
func (t *Tracker) Begin(way forwarding.Metadata, until, left time.Duration) *Request {
	f := &Request{way: way, began: t.scope.Clock.Mono(), until: until, span: t.scope.Rand.Hex(6)}
	f.trace, f.parent = cutTrace(way.Trace)
	if f.trace == "" {
		f.trace = f.span
	}
	f.kept = way.Sampled && t.keeper.Sample(way.Service+"/"+way.Route)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[f] = true
	if len(t.inFlight) > 1 {
		for each := range t.inFlight {
			each.shared = true
		}
	}
	return f
}

// cutTrace reads a trace and the parent span in it.
func cutTrace(text string) (trace, parent string) {
	for i := range len(text) {
		if text[i] == '.' {
			return text[:i], text[i+1:]
		}
	}
	return text, ""
}

// mayCall tells whether requests of a route may make calls of another: yes until ten that ran alone made none.
func (t *Tracker) mayCall(parent, child string) bool {
	h := t.patterns[parent]
	return h == nil || h.alone < fewestAlone || h.calls[child] > 0
}

// FindParent finds the request that a call of the upstream belongs to: the only one running whose route makes such calls, or
// whose deadline the call shares where that is what binds. With several nothing is guessed: all of them are marked unsure.
func (t *Tracker) FindParent(route string, until time.Duration, binding bool) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var fits []*Request
	for f := range t.inFlight {
		if off := f.until - until; t.mayCall(f.way.Route, route) && (!binding || off > -deadlineSlack && off < deadlineSlack+forwarding.DeadlineMargin) {
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

// RecordCall notes how long a call of a request took.
func (t *Tracker) RecordCall(trace string, from, to time.Duration) {
	_, span := cutTrace(trace)
	if span == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for f := range t.inFlight {
		if f.span == span {
			f.calls = append(f.calls, stretch{from, to})
			return
		}
	}
}

// End notes that a request is over and makes its span; status 0 makes none.
func (t *Tracker) End(f *Request, instance *wire.Instance, status int) {
	t.mu.Lock()
	if !t.inFlight[f] {
		t.mu.Unlock()
		return
	}
	delete(t.inFlight, f)
	if !f.shared {
		h := t.patterns[f.way.Route]
		if h == nil {
			h = &callPattern{calls: map[string]int{}}
			t.patterns[f.way.Route] = h
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
		SelfUs: uint64((took - covered(f.calls, f.began, now)).Microseconds()), Status: uint32(status), Tags: map[string]string{"zone": instance.GetZone()},
	}
	if f.unsure {
		span.Tags[tracing.UncertainTag] = "true"
	}
	t.push(span)
}

// covered is how much of a span of time the stretches cover.
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
