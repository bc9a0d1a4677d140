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

type interval struct{ from, to time.Duration }

// callInProgress is a request at an upstream, which may make further calls.
type callInProgress struct {
	spanID         string
	trail          *wire.Trail
	match          bundle.Way
	instance       *instance
	field          func(name string) string
	startedAt      time.Duration
	calls          []interval
	uncertain      bool
	callCounts     map[int]int
	releaseByIndex map[int]func()
}

func (c *callInProgress) selfTime(endedAt time.Duration) time.Duration {
	return endedAt - c.startedAt - coveredTime(c.calls, c.startedAt, endedAt)
}

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

// keyQueue lets one of the requests that are kept apart through at a time.
type keyQueue struct {
	mutex base.ContextMutex
	users int
}

// holdTimeSmoothing is the weight of the newest request in the moving average of how
// long a turn takes.
const holdTimeSmoothing = 0.2

// CallTracker finds, for a further call of an instance, the request it is made for: by
// the trace header if the instance passes it on, else by the route's declared
// further calls and their key fields. Where these wouldn't tell, it keeps
// requests apart. It is safe for concurrent use. docs/design.md tells why.
type CallTracker struct {
	clock     base.Clock
	mu        sync.Mutex
	inFlight  map[string]*callInProgress
	queues    map[string]*keyQueue
	holdTimes map[string]time.Duration
}

// NewCallTracker returns ties without requests.
func NewCallTracker(clock base.Clock) *CallTracker {
	return &CallTracker{clock: clock, inFlight: map[string]*callInProgress{}, queues: map[string]*keyQueue{}, holdTimes: map[string]time.Duration{}}
}

// Begin notes that a request is handed to the upstream.
func (t *CallTracker) Begin(c *callInProgress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.startedAt = t.clock.Mono()
	t.inFlight[c.spanID] = c
}

// End notes that it has ended, and returns its self time and whether that is
// uncertain.
func (t *CallTracker) End(c *callInProgress) (selfTime time.Duration, uncertain bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, c.spanID)
	return c.selfTime(t.clock.Mono()), c.uncertain
}

func (c *callInProgress) expects(match bundle.Way, childField func(string) string) (index int, expected bool) {
	for at, further := range c.match.Route.Further {
		if further.Service == match.Service.Name && further.Route == match.Route.Name && keysMatch(further, c.field, childField) &&
			(further.Most == 0 || c.callCounts[at] < int(further.Most)) {
			return at, true
		}
	}
	return 0, false
}

func (c *callInProgress) recordArrival(index int) {
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

// Attribution is what was found out about a further call: its parent if it is Tied, or
// the spans of the candidates if there are several.
type Attribution struct {
	Parent     *callInProgress
	Candidates []string
	Certain    bool
}

// FindParent ties a further call, given its route, its path's placeholders and the
// name of the trace header.
func (t *CallTracker) FindParent(r *http.Request, match bundle.Way, pathParams map[string]string, header string) Attribution {
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
		candidates[0].recordArrival(furtherIndex)
		return Attribution{Parent: candidates[0], Certain: true}
	}
	names := make([]string, len(candidates))
	for i, each := range candidates {
		names[i] = each.spanID
		each.uncertain = true
		each.instance.passesTraceHeader = false
	}
	slices.Sort(names)
	return Attribution{Candidates: names}
}

// RecordCall notes that a further call for parent took from the time given until
// now.
func (t *CallTracker) RecordCall(parent *callInProgress, from time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	parent.calls = append(parent.calls, interval{from, t.clock.Mono()})
}

func keysMatch(further *wire.Further, parent, child func(string) string) bool {
	for _, keyMatch := range further.Keys {
		if value := parent(keyMatch.Parent); value == "" || value != child(keyMatch.Child) {
			return false
		}
	}
	return true
}

func requestFields(r *http.Request, pathParams map[string]string) func(string) string {
	query, headers := r.URL.Query(), r.Header
	return func(name string) string { return fieldValue(name, pathParams, query, headers) }
}

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

func spanIDOf(traceparent string) string {
	parts := strings.Split(traceparent, "-")
	if len(parts) != 4 {
		return ""
	}
	return parts[2]
}

func traceparent(trail *wire.Trail, spanID string) string {
	flags := "00"
	if trail.Sampled {
		flags = "01"
	}
	return "00-" + trail.Trace + "-" + spanID + "-" + flags
}

// Serialize waits until no other request is at work whose further calls couldn't be
// told from those of f. The caller calls leave when f has ended. An impatient
// caller is turned back at once, with kind Apart.
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
		drop, fault := t.acquire(s, key, c.match.Identifier(), deadline, mayWait)
		if fault != nil {
			c.releaseByIndex = releaseByIndex
			release()
			return nil, fault
		}
		if index := keys[key]; index >= 0 {
			releaseByIndex[index] = drop
		} else {
			releaseAtEnd = append(releaseAtEnd, drop)
		}
	}
	c.releaseByIndex = releaseByIndex
	return release, nil
}

// serializationKeys returns what must differ between f and other requests, for their
// further calls to be told apart: for each key the further call it stands for,
// by its index, or -1 if for several.
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

func (t *CallTracker) acquire(s base.Scope, key, routeID string, deadline time.Duration, mayWait bool) (release func(), fault *base.Fault) {
	queue, ahead, averageHold := t.join(key, routeID)
	if ahead > 0 && !mayWait {
		t.leave(key)
		return nil, base.NewFault(base.KeptApart, "", "another such request has the turn here")
	}
	if t.clock.Mono()+time.Duration(ahead)*averageHold > deadline {
		t.leave(key)
		return nil, base.NewFault(base.KeptApart, "", "its turn would come after the deadline")
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

func (t *CallTracker) passesTraceHeader(instance *instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return instance.passesTraceHeader
}

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

func (t *CallTracker) leave(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	queue := t.queues[key]
	if queue.users--; queue.users == 0 {
		delete(t.queues, key)
	}
}
