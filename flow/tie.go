package flow

import (
	"cmp"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"curlewreach/base"
	"curlewreach/pact"
	"curlewreach/proto/wire"
)

type interval struct{ from, till time.Duration }

type flight struct {
	span      string
	trail     *wire.Trail
	way       pact.Way
	seat      *seat
	fields    func(name string) string
	began     time.Duration
	further   []interval
	uncertain bool
}

func (f *flight) self(ended time.Duration) time.Duration {
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

type turnstile struct {
	latch base.Latch
	users int
}

type Ties struct {
	clock   base.Clock
	mu      sync.Mutex
	flights map[string]*flight
	apart   map[string]*turnstile
}

func NewTies(clock base.Clock) *Ties {
	return &Ties{clock: clock, flights: map[string]*flight{}, apart: map[string]*turnstile{}}
}

func (t *Ties) Board(f *flight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f.began = t.clock.Mono()
	t.flights[f.span] = f
}

func (t *Ties) Land(f *flight) (self time.Duration, uncertain bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.flights, f.span)
	return f.self(t.clock.Mono()), f.uncertain
}

type Tie struct {
	Parent     *flight
	Candidates []string
	Tied       bool
}

func (t *Ties) Find(r *http.Request, way pact.Way, holes map[string]string, header string) Tie {
	t.mu.Lock()
	defer t.mu.Unlock()
	if parent := t.flights[spanIn(r.Header.Get(header))]; parent != nil {
		parent.seat.passes = true
		return Tie{Parent: parent, Tied: true}
	}
	child := fieldsOf(r, holes)
	var candidates []*flight
	for _, each := range t.flights {
		for _, further := range each.way.Route.Further {
			if further.Service == way.Service.Name && further.Route == way.Route.Name && fits(further, each.fields, child) {
				candidates = append(candidates, each)
				break
			}
		}
	}
	switch len(candidates) {
	case 0:
		return Tie{}
	case 1:
		return Tie{Parent: candidates[0], Tied: true}
	}
	names := make([]string, len(candidates))
	for i, each := range candidates {
		names[i] = each.span
		each.uncertain = true
		each.seat.passes = false
	}
	slices.Sort(names)
	return Tie{Candidates: names}
}

func (t *Ties) Spent(parent *flight, from time.Duration) {
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

func (t *Ties) Apart(s base.Scope, f *flight) (leave func(), mishap *base.Mishap) {
	var keys []string
	if !f.way.Route.Together && !t.passes(f.seat) {
		for _, further := range f.way.Route.Further {
			key := further.Service + "/" + further.Route
			for _, match := range further.Keys {
				key += "\x00" + match.Child + "=" + f.fields(match.Parent)
			}
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	keys = slices.Compact(keys)
	var held []string
	leave = func() {
		for _, key := range held {
			t.turn(key).latch.Drop()
			t.quit(key, 2)
		}
	}
	for _, key := range keys {
		if !t.turn(key).latch.Take(s) {
			t.quit(key, 1)
			leave()
			return nil, base.Bounce(base.Expired, "", "the deadline passed while kept apart")
		}
		held = append(held, key)
	}
	return leave, nil
}

func (t *Ties) passes(at *seat) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return at.passes
}

func (t *Ties) turn(key string) *turnstile {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.apart[key]
	if at == nil {
		at = &turnstile{latch: base.NewLatch()}
		t.apart[key] = at
	}
	at.users++
	return at
}

func (t *Ties) quit(key string, users int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.apart[key]
	if at.users -= users; at.users == 0 {
		delete(t.apart, key)
	}
}
