package openfleet

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"curlewreach/base"
	"curlewreach/internal/testing/judge"
	"curlewreach/proto/wire"
)

// Ask records one request attempt as a client sent it. At and Until (its deadline) are readings of the
// History's monotonic clock; Aim is the route's latency target. Life counts the starts of the node, Inner
// marks a call made by an upstream, Repeats a call made while serving a retry, and Proof a request whose
// rejection is allowed.
type Ask struct {
	At      time.Duration
	ID      string
	First   string
	Route   string
	Node    string
	Life    int
	Service string
	Method  string
	Host    string
	Target  string
	Digest  string
	Repeat  wire.Repeat
	Until   time.Duration
	Aim     time.Duration
	Inner   bool
	Repeats bool
	Proof   bool
}

// Told records the outcome of the attempt ID. Broken is the transport error, or empty; Status may be zero
// with it. Again is the Retry-After delay, Kind the error kind of a node's own response, and Mixed what
// shows that a response belongs to another request. Read tells whether the node had read the whole request.
type Told struct {
	ID     string
	At     time.Duration
	Status int
	Sealed bool
	Again  time.Duration
	Kind   string
	Mixed  string
	Broken string
	Read   bool
}

// Arrival records one attempt as an upstream received it. At and Ended are readings of the History's
// monotonic clock. Missed marks an attempt addressed to another instance, Ran one whose work began, Broke
// one whose response was spoilt by a Fault, and Gone one whose caller closed the connection before the work
// ended.
type Arrival struct {
	ID       string
	At       time.Duration
	Ended    time.Duration
	Service  string
	Instance string
	Method   string
	Host     string
	Target   string
	Digest   string
	Caller   string
	Missed   bool
	Ran      bool
	Status   int
	Broke    bool
	Gone     bool
}

// Job records one client operation with all its retries. At and Ended are readings of the History's
// monotonic clock; Aim is the route's latency target; Early is how long a first attempt took to be rejected
// as not run, and Fresh how long the successful attempt took, or zero.
type Job struct {
	ID     string
	Route  string
	Node   string
	At     time.Duration
	Ended  time.Duration
	Aim    time.Duration
	Tries  int
	Status int
	Early  time.Duration
	Served bool
	Fresh  time.Duration
}

// Sent records a configuration that an operator proposed. At and Acked are readings of the History's
// monotonic clock; Acked is -1 until the control plane accepts it. Bad marks a configuration that must be
// refused.
type Sent struct {
	Configuration *wire.Configuration
	At            time.Duration
	Acked         time.Duration
	Refused       bool
	Bad           bool
}

// Departure records when the node acknowledged that an instance is leaving, as a reading of the History's
// monotonic clock.
type Departure struct {
	Instance string
	Acked    time.Duration
}

// Readback records the configuration that a control plane replica returned at a time, or the error of the
// read.
type Readback struct {
	At            time.Duration
	Controller    string
	Configuration *wire.Configuration
	Err           error
}

// History collects everything observed in a run, for Check to judge. It is safe for concurrent use; its
// records are changed only under Mark.
type History struct {
	clock    base.Clock
	mu       sync.Mutex
	asks     []*Ask
	told     map[string]*Told
	ran      map[string]int
	arrivals []*Arrival
	jobs     []*Job
	sent     []*Sent
	left     []Departure
	spells   []*judge.Disturbance
	strays   []string
	reads    []Readback
}

// NewHistory returns an empty History whose times are readings of clock.
func NewHistory(clock base.Clock) *History {
	return &History{clock: clock, told: map[string]*Told{}, ran: map[string]int{}}
}

func note[T any](h *History, rows *[]T, row T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*rows = append(*rows, row)
}

// Asked records an attempt before it is sent.
func (h *History) Asked(ask *Ask) { note(h, &h.asks, ask) }

// Told records the outcome of an attempt, in place of any earlier one with the same ID.
func (h *History) Told(told *Told) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told[told.ID] = told
}

// Arrived records that an upstream received an attempt.
func (h *History) Arrived(a *Arrival) { note(h, &h.arrivals, a) }

// Ran marks that the work of an attempt began, and reports whether an attempt with the same ID had begun
// before.
func (h *History) Ran(a *Arrival) (again bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.Ran = true
	h.ran[a.ID]++
	return h.ran[a.ID] > 1
}

// Now returns the time on the monotonic clock that all records use.
func (h *History) Now() time.Duration { return h.clock.Mono() }

// Mark runs change under the History's lock. change must not call other methods of the History.
func (h *History) Mark(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// Arrivals returns the arrivals of the attempt id at all upstreams.
func (h *History) Arrivals(id string) (found []*Arrival) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, each := range h.arrivals {
		if each.ID == id {
			found = append(found, each)
		}
	}
	return found
}

// Jobs returns a copy of the list of finished jobs; the jobs themselves are shared.
func (h *History) Jobs() []*Job {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.jobs)
}

// Spell records that a disturbance of the named machine begins now; end records that it is over. A planned
// one is a graceful stop, which excuses no lost request.
func (h *History) Spell(name, cause string, planned bool) (end func()) {
	spell := &judge.Disturbance{Node: name, Cause: cause, Planned: planned, From: h.Now(), Until: -1}
	note(h, &h.spells, spell)
	return func() { h.Mark(func() { spell.Until = h.clock.Mono() }) }
}

func digest(parts ...[]byte) string {
	sum := sha256.New()
	for _, each := range parts {
		_, _ = sum.Write(each)
		_, _ = sum.Write([]byte{0})
	}
	return hex.EncodeToString(sum.Sum(nil)[:8])
}

func seal(id, instance string, body []byte) string {
	return instance + "." + digest([]byte(id), []byte(instance), body)
}
