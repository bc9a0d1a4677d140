package listednode

import (
	"cmp"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/proto/wire"
)

// interval is a period between two readings of the monotonic clock.
type interval struct{ from, to time.Duration }

// callInProgress is a request that an upstream processes, which may make further calls.
type callInProgress struct {
	spanID         string
	trail          *wire.Trail
	match          bundle.RouteMatch
	instance       *instance
	field          func(name string) string // a field of the request: "path:NAME", "query:NAME" or "header:NAME"
	startedAt      time.Duration
	calls          []interval     // the times of its further calls
	uncertain      bool           // set if a further call may belong to it or to another request
	callCounts     map[int]int    // further calls seen, by index in the route's list
	releaseByIndex map[int]func() // locks to release once these calls have been seen
}

// selfTime returns the time that the request took without its further calls.
func (c *callInProgress) selfTime(endedAt time.Duration) time.Duration {
	return endedAt - c.startedAt - coveredTime(c.calls, c.startedAt, endedAt)
}

// coveredTime returns how much of the time between from and to the intervals cover.
func coveredTime(intervals []interval, from, to time.Duration) time.Duration {
	ordered := slices.SortedFunc(slices.Values(intervals), func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	total, coveredUntil := time.Duration(0), from
	for _, each := range ordered {
		start, end := max(each.from, coveredUntil), min(each.to, to)
		if end > start {
			total += end - start
			coveredUntil = end
		}
	}
	return total
}

// keyQueue admits one at a time of the requests with a key, whose further calls could not be told apart.
type keyQueue struct {
	mutex base.ContextMutex
	users int // the holder of the mutex and those that wait for it
}

// holdTimeSmoothing is the weight of the newest request in the average time for which requests of a route
// hold a keyQueue.
const holdTimeSmoothing = 0.2

// CallTracker finds the request that a further call of an instance belongs to: by the trace header if the
// instance passes it on, otherwise by the further calls that routes declare and their key fields. Requests
// whose calls could not be told apart that way run one at a time. It is safe for concurrent use.
// docs/design.md has the reasons.
type CallTracker struct {
	clock     base.Clock
	mu        sync.Mutex
	inFlight  map[string]*callInProgress // by span ID
	queues    map[string]*keyQueue       // by serialization key
	holdTimes map[string]time.Duration   // averages, by route
}

// NewCallTracker returns a tracker without requests.
func NewCallTracker(clock base.Clock) *CallTracker {
	return &CallTracker{clock: clock, inFlight: map[string]*callInProgress{}, queues: map[string]*keyQueue{}, holdTimes: map[string]time.Duration{}}
}

// Begin records that a request is about to be sent to the upstream.
func (t *CallTracker) Begin(c *callInProgress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.startedAt = t.clock.Mono()
	t.inFlight[c.spanID] = c
}

// End records that a request has ended. It returns its self time, and whether that is uncertain because a
// call could not be attributed.
func (t *CallTracker) End(c *callInProgress) (selfTime time.Duration, uncertain bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, c.spanID)
	return c.selfTime(t.clock.Mono()), c.uncertain
}

// expects reports whether the request may make the call, and the index of the first such further call of
// its route.
func (c *callInProgress) expects(match bundle.RouteMatch, childField func(string) string) (index int, expected bool) {
	for i, further := range c.match.Route.Further {
		if further.Service == match.Service.Name && further.Route == match.Route.Name && keysMatch(further, c.field, childField) &&
			(further.Most == 0 || c.callCounts[i] < int(further.Most)) {
			return i, true
		}
	}
	return 0, false
}

// recordFurtherCall counts a further call, given by its index in the route's list. After the last one that the
// route declares for that index, the next request with the same key may run.
func (c *callInProgress) recordFurtherCall(index int) {
	if c.callCounts == nil {
		c.callCounts = map[int]int{}
	}
	c.callCounts[index]++
	further := c.match.Route.Further[index]
	if release := c.releaseByIndex[index]; release != nil && further.Most > 0 && c.callCounts[index] >= int(further.Most) {
		delete(c.releaseByIndex, index)
		go release()
	}
}

// Attribution is the result of FindParent. Certain is set if Parent is the request that made the call;
// otherwise Candidates has the spans of those that may have made it.
type Attribution struct {
	Parent     *callInProgress
	Candidates []string
	Certain    bool
}

// FindParent finds the request that made a further call, given the call's route, the placeholder values of
// its path and the name of the trace header. If several requests match, it marks them uncertain and picks
// none.
func (t *CallTracker) FindParent(r *http.Request, match bundle.RouteMatch, pathParams map[string]string, header string) Attribution {
	t.mu.Lock()
	defer t.mu.Unlock()
	if parent := t.inFlight[spanIDOf(r.Header.Get(header))]; parent != nil {
		parent.instance.passesTraceHeader = true
		return Attribution{Parent: parent, Certain: true}
	}
	childField := requestFields(r, pathParams)
	var candidates []*callInProgress
	furtherIndex := 0
	for _, each := range t.inFlight {
		if index, fits := each.expects(match, childField); fits {
			candidates, furtherIndex = append(candidates, each), index
		}
	}
	switch len(candidates) {
	case 0:
		return Attribution{}
	case 1:
		candidates[0].recordFurtherCall(furtherIndex)
		return Attribution{Parent: candidates[0], Certain: true}
	}
	spanIDs := make([]string, len(candidates))
	for i, each := range candidates {
		spanIDs[i] = each.spanID
		each.uncertain = true
		each.instance.passesTraceHeader = false
	}
	slices.Sort(spanIDs)
	return Attribution{Candidates: spanIDs}
}

// RecordCall records that a further call of parent took from the time given until now.
func (t *CallTracker) RecordCall(parent *callInProgress, from time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	parent.calls = append(parent.calls, interval{from, t.clock.Mono()})
}

// keysMatch reports whether all key fields of the parent are set and equal those of the child.
func keysMatch(further *wire.Further, parent, child func(string) string) bool {
	for _, keyMatch := range further.Keys {
		if value := parent(keyMatch.Parent); value == "" || value != child(keyMatch.Child) {
			return false
		}
	}
	return true
}

// requestFields returns a function that returns fields of a request, as fieldValue does.
func requestFields(r *http.Request, pathParams map[string]string) func(string) string {
	query, headers := r.URL.Query(), r.Header
	return func(name string) string { return fieldValue(name, pathParams, query, headers) }
}

// fieldValue returns the field "path:NAME", "query:NAME" or "header:NAME" of a request, "" if it isn't set.
func fieldValue(field string, pathParams map[string]string, query url.Values, headers http.Header) string {
	source, key, _ := strings.Cut(field, ":")
	switch source {
	case "path":
		return pathParams[key]
	case "query":
		return query.Get(key)
	case "header":
		return headers.Get(key)
	}
	return ""
}

// spanIDOf returns the span ID in a traceparent header, "" if it is malformed.
func spanIDOf(traceparent string) string {
	parts := strings.Split(traceparent, "-")
	if len(parts) != 4 {
		return ""
	}
	return parts[2]
}

// traceparent returns the value of a traceparent header.
func traceparent(trail *wire.Trail, spanID string) string {
	flags := "00"
	if trail.Sampled {
		flags = "01"
	}
	return "00-" + trail.Trace + "-" + spanID + "-" + flags
}

// Serialize waits until no request is running whose further calls could not be told from those of c. The
// caller calls release when the request has ended. The fault is of kind Contended if the wait would exceed
// the deadline, or if the caller may not wait and there is such a request; it is of kind Expired if the
// deadline has passed.
func (t *CallTracker) Serialize(s base.Scope, c *callInProgress, deadline time.Duration, mayWait bool) (release func(), fault *base.Fault) {
	keys := t.serializationKeys(c)
	releaseByIndex := map[int]func(){}
	var releaseAtEnd []func()
	release = func() {
		t.mu.Lock()
		held := append(releaseAtEnd, slices.Collect(maps.Values(c.releaseByIndex))...)
		c.releaseByIndex, releaseAtEnd = nil, nil
		t.mu.Unlock()
		for _, unlock := range held {
			unlock()
		}
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		unlock, fault := t.acquire(s, key, c.match.Identifier(), deadline, mayWait)
		if fault != nil {
			c.releaseByIndex = releaseByIndex
			release()
			return nil, fault
		}
		if index := keys[key]; index >= 0 {
			releaseByIndex[index] = unlock
		} else {
			releaseAtEnd = append(releaseAtEnd, unlock)
		}
	}
	c.releaseByIndex = releaseByIndex
	return release, nil
}

// serializationKeys returns the keys that c must not share with a running request, each with the index of
// the further call that it identifies, -1 if it identifies several. There are none if the route allows
// concurrency or the instance passes the trace header on.
func (t *CallTracker) serializationKeys(c *callInProgress) map[string]int {
	keys := map[string]int{}
	if c.match.Route.Together || t.passesTraceHeader(c.instance) {
		return keys
	}
	for index, further := range c.match.Route.Further {
		key := further.Service + "/" + further.Route
		for _, keyMatch := range further.Keys {
			key += "\x00" + keyMatch.Child + "=" + c.field(keyMatch.Parent)
		}
		if _, seen := keys[key]; seen {
			index = -1
		}
		keys[key] = index
	}
	return keys
}

// acquire locks the queue of one key, as Serialize does for all.
func (t *CallTracker) acquire(s base.Scope, key, routeID string, deadline time.Duration, mayWait bool) (release func(), fault *base.Fault) {
	queue, ahead, averageHold := t.join(key, routeID)
	if ahead > 0 && !mayWait {
		t.leave(key)
		return nil, base.NewFault(base.Contended, "", "another such request has the turn here").WithRetryAfter(time.Duration(ahead) * averageHold)
	}
	if t.clock.Mono()+time.Duration(ahead)*averageHold > deadline {
		t.leave(key)
		return nil, base.NewFault(base.Contended, "", "its turn would come after the deadline").WithRetryAfter(time.Duration(ahead) * averageHold)
	}
	if !queue.mutex.Lock(s) {
		t.leave(key)
		return nil, base.NewFault(base.Expired, "", "the deadline passed while kept apart")
	}
	acquiredAt := t.clock.Mono()
	return func() {
		queue.mutex.Unlock()
		t.leave(key)
		t.mu.Lock()
		defer t.mu.Unlock()
		held := t.clock.Mono() - acquiredAt
		if t.holdTimes[routeID] == 0 {
			t.holdTimes[routeID] = held
		}
		t.holdTimes[routeID] += time.Duration(holdTimeSmoothing * float64(held-t.holdTimes[routeID]))
	}, nil
}

// passesTraceHeader reports whether the instance is known to pass the trace header on.
func (t *CallTracker) passesTraceHeader(instance *instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return instance.passesTraceHeader
}

// join adds a user to the queue of a key. It returns the number of users ahead, and the average time for
// which requests of the route hold a queue.
func (t *CallTracker) join(key, routeID string) (queue *keyQueue, ahead int, averageHold time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue = t.queues[key]
	if queue == nil {
		queue = &keyQueue{mutex: base.NewContextMutex()}
		t.queues[key] = queue
	}
	queue.users++
	return queue, queue.users - 1, t.holdTimes[routeID]
}

// leave removes a user from the queue of a key, and the queue after its last user.
func (t *CallTracker) leave(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[key]
	if queue.users--; queue.users == 0 {
		delete(t.queues, key)
	}
}
