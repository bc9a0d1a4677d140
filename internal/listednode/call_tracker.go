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

type interval struct{ from, till time.Duration }

// callInProgress is a request at an upstream, which may make further calls.
type callInProgress struct {
	span      string
	trail     *wire.Trail
	way       bundle.RouteMatch
	seat      *instance
	fields    func(name string) string
	began     time.Duration
	further   []interval
	uncertain bool
	arrived   map[int]int
	turns     map[int]func()
}

func (f *callInProgress) self(ended time.Duration) time.Duration {
	return ended - f.began - union(f.further, f.began, ended)
}

func union(intervals []interval, from, till time.Duration) time.Duration {
	ordered := slices.SortedFunc(slices.Values(intervals), func(a, b interval) int { return cmp.Compare(a.from, b.from) })
	total, reached := time.Duration(0), from
	for _, each := range ordered {
		start, end := max(each.from, reached), min(each.till, till)
		if end > start {
			total += end - start
			reached = end
		}
	}
	return total
}

// keyQueue lets one of the requests that are kept apart through at a time.
type keyQueue struct {
	latch base.ContextMutex
	users int
}

// turnMemory is the weight of the newest request in the moving average of how
// long a turn takes.
const turnMemory = 0.2

// CallTracker finds, for a further call of an instance, the request it is made for: by
// the trace header if the instance passes it on, else by the route's declared
// further calls and their key fields. Where these wouldn't tell, it keeps
// requests apart. It is safe for concurrent use. docs/design.md tells why.
type CallTracker struct {
	clock   base.Clock
	mu      sync.Mutex
	flights map[string]*callInProgress
	apart   map[string]*keyQueue
	turns   map[string]time.Duration
}

// NewCallTracker returns ties without requests.
func NewCallTracker(clock base.Clock) *CallTracker {
	return &CallTracker{clock: clock, flights: map[string]*callInProgress{}, apart: map[string]*keyQueue{}, turns: map[string]time.Duration{}}
}

// Begin notes that a request is handed to the upstream.
func (t *CallTracker) Begin(f *callInProgress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f.began = t.clock.Mono()
	t.flights[f.span] = f
}

// End notes that it has ended, and returns its self time and whether that is
// uncertain.
func (t *CallTracker) End(f *callInProgress) (self time.Duration, uncertain bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.flights, f.span)
	return f.self(t.clock.Mono()), f.uncertain
}

func (f *callInProgress) awaits(way bundle.RouteMatch, child func(string) string) (at int, awaits bool) {
	for at, further := range f.way.Route.Further {
		if further.Service == way.Service.Name && further.Route == way.Route.Name && fits(further, f.fields, child) &&
			(further.Most == 0 || f.arrived[at] < int(further.Most)) {
			return at, true
		}
	}
	return 0, false
}

func (f *callInProgress) arrive(at int) {
	if f.arrived == nil {
		f.arrived = map[int]int{}
	}
	f.arrived[at]++
	further := f.way.Route.Further[at]
	if drop := f.turns[at]; drop != nil && further.Most > 0 && f.arrived[at] >= int(further.Most) {
		delete(f.turns, at)
		go drop()
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
func (t *CallTracker) FindParent(r *http.Request, way bundle.RouteMatch, holes map[string]string, header string) Attribution {
	t.mu.Lock()
	defer t.mu.Unlock()
	if parent := t.flights[spanIn(r.Header.Get(header))]; parent != nil {
		parent.seat.passes = true
		return Attribution{Parent: parent, Certain: true}
	}
	child := fieldsOf(r, holes)
	var candidates []*callInProgress
	called := 0
	for _, each := range t.flights {
		if at, fit := each.awaits(way, child); fit {
			candidates, called = append(candidates, each), at
		}
	}
	switch len(candidates) {
	case 0:
		return Attribution{}
	case 1:
		candidates[0].arrive(called)
		return Attribution{Parent: candidates[0], Certain: true}
	}
	names := make([]string, len(candidates))
	for i, each := range candidates {
		names[i] = each.span
		each.uncertain = true
		each.seat.passes = false
	}
	slices.Sort(names)
	return Attribution{Candidates: names}
}

// RecordCall notes that a further call for parent took from the time given until
// now.
func (t *CallTracker) RecordCall(parent *callInProgress, from time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	parent.further = append(parent.further, interval{from, t.clock.Mono()})
}

func fits(further *wire.Further, parent, child func(string) string) bool {
	for _, match := range further.Keys {
		if value := parent(match.Parent); value == "" || value != child(match.Child) {
			return false
		}
	}
	return true
}

func fieldsOf(r *http.Request, holes map[string]string) func(string) string {
	query, headers := r.URL.Query(), r.Header
	return func(name string) string { return lookup(name, holes, query, headers) }
}

func lookup(name string, holes map[string]string, query url.Values, headers http.Header) string {
	where, what, _ := strings.Cut(name, ":")
	switch where {
	case "path":
		return holes[what]
	case "query":
		return query.Get(what)
	case "header":
		return headers.Get(what)
	}
	return ""
}

func spanIn(traceparent string) string {
	pieces := strings.Split(traceparent, "-")
	if len(pieces) != 4 {
		return ""
	}
	return pieces[2]
}

func traceparent(trail *wire.Trail, span string) string {
	flags := "00"
	if trail.Sampled {
		flags = "01"
	}
	return "00-" + trail.Trace + "-" + span + "-" + flags
}

// Serialize waits until no other request is at work whose further calls couldn't be
// told from those of f. The caller calls leave when f has ended. An impatient
// caller is turned back at once, with kind Apart.
func (t *CallTracker) Serialize(s base.Scope, f *callInProgress, until time.Duration, patient bool) (leave func(), fault *base.Fault) {
	keys := t.keysOf(f)
	turns := map[int]func(){}
	var kept []func()
	leave = func() {
		t.mu.Lock()
		left := append(kept, slices.Collect(maps.Values(f.turns))...)
		f.turns, kept = nil, nil
		t.mu.Unlock()
		for _, drop := range left {
			drop()
		}
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		drop, fault := t.take(s, key, f.way.Identifier(), until, patient)
		if fault != nil {
			f.turns = turns
			leave()
			return nil, fault
		}
		if at := keys[key]; at >= 0 {
			turns[at] = drop
		} else {
			kept = append(kept, drop)
		}
	}
	f.turns = turns
	return leave, nil
}

// keysOf returns what must differ between f and other requests, for their
// further calls to be told apart: for each key the further call it stands for,
// by its index, or -1 if for several.
func (t *CallTracker) keysOf(f *callInProgress) map[string]int {
	keys := map[string]int{}
	if f.way.Route.Together || t.passes(f.seat) {
		return keys
	}
	for at, further := range f.way.Route.Further {
		key := further.Service + "/" + further.Route
		for _, match := range further.Keys {
			key += "\x00" + match.Child + "=" + f.fields(match.Parent)
		}
		if _, twice := keys[key]; twice {
			at = -1
		}
		keys[key] = at
	}
	return keys
}

func (t *CallTracker) take(s base.Scope, key, identifier string, until time.Duration, patient bool) (drop func(), fault *base.Fault) {
	at, ahead, usual := t.turn(key, identifier)
	if ahead > 0 && !patient {
		t.quit(key)
		return nil, base.NewFault(base.Contended, "", "another such request has the turn here")
	}
	if t.clock.Mono()+time.Duration(ahead)*usual > until {
		t.quit(key)
		return nil, base.NewFault(base.Contended, "", "its turn would come after the deadline")
	}
	if !at.latch.Lock(s) {
		t.quit(key)
		return nil, base.NewFault(base.Expired, "", "the deadline passed while kept apart")
	}
	began := t.clock.Mono()
	return func() {
		at.latch.Unlock()
		t.quit(key)
		t.mu.Lock()
		defer t.mu.Unlock()
		took := t.clock.Mono() - began
		if t.turns[identifier] == 0 {
			t.turns[identifier] = took
		}
		t.turns[identifier] += time.Duration(turnMemory * float64(took-t.turns[identifier]))
	}, nil
}

func (t *CallTracker) passes(at *instance) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return at.passes
}

func (t *CallTracker) turn(key, identifier string) (at *keyQueue, ahead int, usual time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at = t.apart[key]
	if at == nil {
		at = &keyQueue{latch: base.NewContextMutex()}
		t.apart[key] = at
	}
	at.users++
	return at, at.users - 1, t.turns[identifier]
}

func (t *CallTracker) quit(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.apart[key]
	if at.users--; at.users == 0 {
		delete(t.apart, key)
	}
}
