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

// Attempt records one request attempt as a client sent it. At and Until (its deadline) are readings of the
// History's monotonic clock; Aim is the route's latency target. Life counts the starts of the node, Inner
// marks a call made by an upstream, Repeats a call made while serving a retry, and Proof a request whose
// rejection is allowed.
type Attempt struct {
	SentAt           time.Duration
	ID               string
	FirstID          string
	Route            string
	Node             string
	Incarnation      int
	Service          string
	Method           string
	Host             string
	Target           string
	Digest           string
	Repeat           wire.Repeat
	Deadline         time.Duration
	LatencyTarget    time.Duration
	FromUpstream     bool
	DuringRetry      bool
	RejectionAllowed bool
}

// Outcome records the outcome of the attempt ID. Broken is the transport error, or empty; Status may be zero
// with it. Again is the Retry-After delay, Kind the error kind of a node's own response, and Mixed what
// shows that a response belongs to another request. Read tells whether the node had read the whole request.
type Outcome struct {
	ID             string
	EndedAt        time.Duration
	Status         int
	Sealed         bool
	RetryAfter     time.Duration
	ErrorKind      string
	Mismatch       string
	TransportError string
	RequestRead    bool
}

// Arrival records one attempt as an upstream received it. At and Ended are readings of the History's
// monotonic clock. Missed marks an attempt addressed to another instance, Ran one whose work began, Broke
// one whose response was spoilt by a Fault, and Gone one whose caller closed the connection before the work
// ended.
type Arrival struct {
	ID             string
	ArrivedAt      time.Duration
	EndedAt        time.Duration
	Service        string
	Instance       string
	Method         string
	Host           string
	Target         string
	Digest         string
	Caller         string
	Misdirected    bool
	Executed       bool
	Status         int
	ResponseBroken bool
	CallerGone     bool
}

// Job records one client operation with all its retries. At and Ended are readings of the History's
// monotonic clock; Aim is the route's latency target; Early is how long a first attempt took to be rejected
// as not run, and Fresh how long the successful attempt took, or zero.
type Job struct {
	ID             string
	Route          string
	Node           string
	StartedAt      time.Duration
	EndedAt        time.Duration
	LatencyTarget  time.Duration
	Attempts       int
	Status         int
	RejectedAfter  time.Duration
	Succeeded      bool
	SuccessLatency time.Duration
}

// Proposal records a configuration that an operator proposed. At and Acked are readings of the History's
// monotonic clock; Acked is -1 until the control plane accepts it. Bad marks a configuration that must be
// refused.
type Proposal struct {
	Configuration *wire.Configuration
	SentAt        time.Duration
	AckedAt       time.Duration
	Rejected      bool
	Invalid       bool
}

// Departure records when the node acknowledged that an instance is leaving, as a reading of the History's
// monotonic clock.
type Departure struct {
	Instance string
	AckedAt  time.Duration
}

// ConfigRead records the configuration that a control plane replica returned at a time, or the error of the
// read.
type ConfigRead struct {
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
	asks     []*Attempt
	told     map[string]*Outcome
	ran      map[string]int
	arrivals []*Arrival
	jobs     []*Job
	sent     []*Proposal
	left     []Departure
	spells   []*judge.Disturbance
	strays   []string
	reads    []ConfigRead
}

// NewHistory returns an empty History whose times are readings of clock.
func NewHistory(clock base.Clock) *History {
	return &History{clock: clock, told: map[string]*Outcome{}, ran: map[string]int{}}
}

func note[T any](h *History, rows *[]T, row T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*rows = append(*rows, row)
}

// RecordAttempt records an attempt before it is sent.
func (h *History) RecordAttempt(ask *Attempt) { note(h, &h.asks, ask) }

// RecordOutcome records the outcome of an attempt, in place of any earlier one with the same ID.
func (h *History) RecordOutcome(told *Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told[told.ID] = told
}

// RecordArrival records that an upstream received an attempt.
func (h *History) RecordArrival(a *Arrival) { note(h, &h.arrivals, a) }

// RecordExecution marks that the work of an attempt began, and reports whether an attempt with the same ID had begun
// before.
func (h *History) RecordExecution(a *Arrival) (again bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.Executed = true
	h.ran[a.ID]++
	return h.ran[a.ID] > 1
}

// Now returns the time on the monotonic clock that all records use.
func (h *History) Now() time.Duration { return h.clock.Mono() }

// Update runs change under the History's lock. change must not call other methods of the History.
func (h *History) Update(change func()) {
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

// StartDisturbance records that a disturbance of the named machine begins now; end records that it is over. A planned
// one is a graceful stop, which excuses no lost request.
func (h *History) StartDisturbance(name, cause string, planned bool) (end func()) {
	spell := &judge.Disturbance{Node: name, Cause: cause, Planned: planned, From: h.Now(), Until: -1}
	note(h, &h.spells, spell)
	return func() { h.Update(func() { spell.Until = h.clock.Mono() }) }
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
