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
	// deadlineTolerance is the largest difference between the deadline of a call and that of the request
	// which it belongs to.
	deadlineTolerance = 4 * time.Millisecond
	// minSoloRequests is the number of requests of a route that must have run alone before it is concluded
	// which routes they call.
	minSoloRequests = 10
)

// Request is a request that the local upstream processes.
type Request struct {
	metadata  forwarding.Metadata
	startedAt time.Duration
	// deadline is the time by which the request must be answered.
	deadline     time.Duration
	spanID       string
	traceID      string
	parentSpanID string
	// calls holds the times of the calls attributed to the request, calledRoutes their routes.
	calls []interval
	// uncertain is set if a call may belong to this request or to another one.
	uncertain bool
	// sampled is set if the span is to be recorded.
	sampled bool
	// overlapped is set if another request was in flight at the same time.
	overlapped   bool
	calledRoutes map[string]bool
}

// callPattern counts the requests of a route that ran alone, in total and by the routes that they called.
type callPattern struct {
	soloRequests int
	// requestsByCallee counts the requests that called a route, by that route.
	requestsByCallee map[string]int
}

// interval is a period between two readings of the monotonic clock.
type interval struct{ from, to time.Duration }

// Tracker creates spans for the requests that the local upstream processes, and finds the request that each
// call of the upstream belongs to. It is safe for concurrent use.
type Tracker struct {
	scope    base.Scope
	node     string
	sampler  *tracing.Sampler
	pushSpan func(*wire.Span)
	mu       sync.Mutex
	inFlight map[*Request]bool
	// patterns holds the call pattern of each route.
	patterns map[string]*callPattern
}

// NewTracker returns a tracker that passes the sampled spans to pushSpan.
func NewTracker(s base.Scope, node string, sampler *tracing.Sampler, pushSpan func(*wire.Span)) *Tracker {
	return &Tracker{scope: s, node: node, sampler: sampler, pushSpan: pushSpan, inFlight: map[*Request]bool{}, patterns: map[string]*callPattern{}}
}

// Begin records that a request is about to be written to the upstream.
func (t *Tracker) Begin(metadata forwarding.Metadata, deadline, timeLeft time.Duration) *Request {
	r := &Request{metadata: metadata, startedAt: t.scope.Clock.Mono(), deadline: deadline, spanID: t.scope.Rand.Hex(6)}
	r.traceID, r.parentSpanID = splitTrace(metadata.Trace)
	if r.traceID == "" {
		r.traceID = r.spanID
	}
	r.sampled = metadata.Sampled && t.sampler.Sample(metadata.Service+"/"+metadata.Route)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[r] = true
	if len(t.inFlight) > 1 {
		for other := range t.inFlight {
			other.overlapped = true
		}
	}
	return r
}

// splitTrace splits a trace header value into the trace ID and the ID of the parent span, which may be
// missing.
func splitTrace(text string) (traceID, parentSpanID string) {
	for i := range len(text) {
		if text[i] == '.' {
			return text[:i], text[i+1:]
		}
	}
	return text, ""
}

// mayCall reports whether requests of parentRoute may call calledRoute. That is assumed unless
// minSoloRequests that ran alone have made no such call. t.mu must be held.
func (t *Tracker) mayCall(parentRoute, calledRoute string) bool {
	pattern := t.patterns[parentRoute]
	return pattern == nil || pattern.soloRequests < minSoloRequests || pattern.requestsByCallee[calledRoute] > 0
}

// FindParent returns the trace and span of the request that a call of the upstream belongs to; "" if that is
// not certain. It considers the requests in flight whose route may make such calls; if deadlineInherited is
// set, which says that the call's deadline follows from that of its request, only those with a matching
// deadline. If several match it does not guess, but marks all of them uncertain.
func (t *Tracker) FindParent(route string, deadline time.Duration, deadlineInherited bool) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var candidates []*Request
	for r := range t.inFlight {
		if difference := r.deadline - deadline; t.mayCall(r.metadata.Route, route) && (!deadlineInherited || difference > -deadlineTolerance && difference < deadlineTolerance+forwarding.DeadlineMargin) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 1 {
		parent := candidates[0]
		if parent.calledRoutes == nil {
			parent.calledRoutes = map[string]bool{}
		}
		parent.calledRoutes[route] = true
		return parent.traceID + "." + parent.spanID
	}
	for _, r := range candidates {
		r.uncertain = true
	}
	return ""
}

// RecordCall records the time that a call took, for the request with the span in trace.
func (t *Tracker) RecordCall(trace string, from, to time.Duration) {
	_, spanID := splitTrace(trace)
	if spanID == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for r := range t.inFlight {
		if r.spanID == spanID {
			r.calls = append(r.calls, interval{from, to})
			return
		}
	}
}

// End records that a request has ended and creates its span if it is sampled; a status of 0 creates none.
func (t *Tracker) End(r *Request, instance *wire.Instance, status int) {
	t.mu.Lock()
	if !t.inFlight[r] {
		t.mu.Unlock()
		return
	}
	delete(t.inFlight, r)
	if !r.overlapped {
		pattern := t.patterns[r.metadata.Route]
		if pattern == nil {
			pattern = &callPattern{requestsByCallee: map[string]int{}}
			t.patterns[r.metadata.Route] = pattern
		}
		pattern.soloRequests++
		for calledRoute := range r.calledRoutes {
			pattern.requestsByCallee[calledRoute]++
		}
	}
	t.mu.Unlock()
	if !r.sampled || status == 0 {
		return
	}
	now := t.scope.Clock.Mono()
	duration := now - r.startedAt
	span := &wire.Span{
		Trace: r.traceID, Id: r.spanID, Parent: r.parentSpanID, Service: r.metadata.Service, Route: r.metadata.Route, Node: t.node, Seat: instance.GetId(),
		StartedUs: t.scope.Clock.Wall().Add(-duration).UnixMicro(), DurationUs: uint64(duration.Microseconds()),
		SelfUs: uint64((duration - coveredTime(r.calls, r.startedAt, now)).Microseconds()), Status: uint32(status), Tags: map[string]string{"zone": instance.GetZone()},
	}
	if r.uncertain {
		span.Tags[tracing.UncertainTag] = "true"
	}
	t.pushSpan(span)
}

// coveredTime returns how much of the time between from and to the intervals cover.
func coveredTime(intervals []interval, from, to time.Duration) (total time.Duration) {
	coveredUntil := from
	for {
		next := -1
		for i, each := range intervals {
			if each.to > coveredUntil && (next < 0 || each.from < intervals[next].from) {
				next = i
			}
		}
		if next < 0 {
			return total
		}
		start, end := max(intervals[next].from, coveredUntil), min(intervals[next].to, to)
		if end > start {
			total += end - start
		}
		coveredUntil = intervals[next].to
	}
}
