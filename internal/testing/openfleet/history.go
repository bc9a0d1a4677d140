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

// Attempt records one request attempt as a client sent it. SentAt and Deadline are readings of the History's monotonic
// clock. ID names the attempt and FirstID the first attempt of the same job. Incarnation counts the starts of the node
// up to the attempt. FromUpstream marks a call made by an upstream, DuringRetry a call made while executing a retry,
// and RejectionAllowed a request that needn't have a route.
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

// Outcome records the outcome of the attempt ID. TransportError is empty if a complete response was read; otherwise
// Status may be zero. Sealed tells whether the response carries an upstream's seal, RetryAfter is the Retry-After
// delay, and ErrorKind the error kind of a node's own response. Mismatch describes how the response fails to match the
// request, or is empty. RequestRead tells whether the node had read the whole request.
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

// Arrival records one attempt as an upstream received it. ArrivedAt and EndedAt are readings of the History's monotonic
// clock. Misdirected marks an attempt addressed to another instance, Executed one whose execution began, ResponseBroken
// one whose response an injected Fault withheld, replaced or cut off, and CallerGone one whose caller closed the
// connection before the execution ended.
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

// Job records one client operation with all its retries. StartedAt and EndedAt are readings of the History's monotonic
// clock; LatencyTarget is that of the route. SuccessLatency is how long the successful attempt took; zero if there is none.
type Job struct {
	ID             string
	Route          string
	Node           string
	StartedAt      time.Duration
	EndedAt        time.Duration
	LatencyTarget  time.Duration
	Attempts       int
	Status         int
	Succeeded      bool
	SuccessLatency time.Duration
}

// Proposal records a configuration that an operator proposed. SentAt and AckedAt are readings of the History's
// monotonic clock; AckedAt is -1 until the control plane accepts it. Invalid marks a configuration that must be
// rejected.
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
// records are changed only through Update.
type History struct {
	clock        base.Clock
	mu           sync.Mutex
	attempts     []*Attempt
	outcomes     map[string]*Outcome
	executions   map[string]int
	arrivals     []*Arrival
	jobs         []*Job
	proposals    []*Proposal
	departures   []Departure
	disturbances []*judge.Disturbance
	strayBytes   []string
	configReads  []ConfigRead
}

// NewHistory returns an empty History whose times are readings of clock.
func NewHistory(clock base.Clock) *History {
	return &History{clock: clock, outcomes: map[string]*Outcome{}, executions: map[string]int{}}
}

// appendRecord appends a row to a list of the History, under its lock.
func appendRecord[T any](h *History, rows *[]T, row T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*rows = append(*rows, row)
}

// RecordAttempt records an attempt before it is sent.
func (h *History) RecordAttempt(attempt *Attempt) { appendRecord(h, &h.attempts, attempt) }

// RecordOutcome records the outcome of an attempt, in place of any earlier one with the same ID.
func (h *History) RecordOutcome(outcome *Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outcomes[outcome.ID] = outcome
}

// RecordArrival records that an upstream received an attempt.
func (h *History) RecordArrival(a *Arrival) { appendRecord(h, &h.arrivals, a) }

// RecordExecution records that the execution of an attempt began, and reports whether an attempt with the same ID was
// executed before.
func (h *History) RecordExecution(a *Arrival) (retry bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.Executed = true
	h.executions[a.ID]++
	return h.executions[a.ID] > 1
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
	for _, arrival := range h.arrivals {
		if arrival.ID == id {
			found = append(found, arrival)
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
// disturbance is a graceful stop, which exempts no request from the rules.
func (h *History) StartDisturbance(name, cause string, planned bool) (end func()) {
	disturbance := &judge.Disturbance{Node: name, Cause: cause, Planned: planned, From: h.Now(), Until: -1}
	appendRecord(h, &h.disturbances, disturbance)
	return func() { h.Update(func() { disturbance.Until = h.clock.Mono() }) }
}

// digest returns a short hash over the parts, which also depends on where each part ends.
func digest(parts ...[]byte) string {
	sum := sha256.New()
	for _, part := range parts {
		_, _ = sum.Write(part)
		_, _ = sum.Write([]byte{0})
	}
	return hex.EncodeToString(sum.Sum(nil)[:8])
}

// seal returns the seal header with which an instance signs a response body to the request id.
func seal(id, instance string, body []byte) string {
	return instance + "." + digest([]byte(id), []byte(instance), body)
}
