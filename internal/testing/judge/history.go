package judge

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/proto/wire"
)

// signedBundle is a bundle that an operator submitted. The bundle is nil if it couldn't be opened.
type signedBundle struct {
	digest string
	base   uint64
	body   []byte
	bundle *bundle.Bundle
}

// History records what was observed of a fleet. It is safe for concurrent use.
type History struct {
	// RunLog, if set, receives runs as lines of JSON. They are then not kept in the history.
	RunLog       io.Writer
	clock        base.Clock
	mu           sync.Mutex
	runs         []Run
	calls        []Call
	acks         []Ack
	sent         []Sent
	failedDials  []FailedDial
	samples      []Sample
	readbacks    []Readback
	disturbances []*Disturbance
	returns      []time.Duration
	signed       map[string]signedBundle
}

// NewHistory returns an empty history that takes timestamps from the clock's monotonic time.
func NewHistory(clock base.Clock) *History {
	return &History{clock: clock, signed: map[string]signedBundle{}}
}

func appendRow[T any](h *History, rows *[]T, row T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*rows = append(*rows, row)
}

func copyRows[T any](h *History, rows *[]T) []T {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]T(nil), *rows...)
}

// Now returns the clock's monotonic time.
func (h *History) Now() time.Duration { return h.clock.Mono() }

// RecordRun records the arrival of a request at an upstream, at the current time if run.At is 0. A nil history ignores
// it.
func (h *History) RecordRun(run Run) {
	if h == nil {
		return
	}
	if run.At == 0 {
		run.At = h.Now()
	}
	if h.RunLog != nil {
		line, _ := json.Marshal(run)
		h.mu.Lock()
		defer h.mu.Unlock()
		_, _ = h.RunLog.Write(append(line, '\n'))
		return
	}
	appendRow(h, &h.runs, run)
}

// RecordCall records a request as its client saw it.
func (h *History) RecordCall(call Call) { appendRow(h, &h.calls, call) }

// RecordOutcome records the outcome of a submission as reported to an operator.
func (h *History) RecordOutcome(outcome *wire.Outcome) {
	appendRow(h, &h.acks, Ack{At: h.Now(), Submission: outcome.GetSubmission(), Verdict: outcome.GetVerdict(), Serial: outcome.GetSerial()})
}

// RecordSent records that a node sent a request under a bundle.
func (h *History) RecordSent(sent Sent) { appendRow(h, &h.sent, sent) }

// RecordFailedDial records an attempt that failed to connect.
func (h *History) RecordFailedDial(failed FailedDial) { appendRow(h, &h.failedDials, failed) }

// RecordEvent records an event of a node's journal if the rules need it, and ignores it otherwise.
func (h *History) RecordEvent(node, topic, subject, detail string, at time.Duration) {
	switch topic {
	case "handed":
		_, digits, _ := strings.Cut(detail, " under ")
		serial, _ := strconv.ParseUint(digits, 10, 64)
		if serial > 0 {
			h.RecordSent(Sent{At: at, Node: node, Serial: serial})
		}
	case "dial-failed":
		attempt, _ := strconv.Atoi(detail)
		h.RecordFailedDial(FailedDial{At: at, Service: subject, Attempt: attempt})
	}
}

// RecordSample records a sample of a node's state.
func (h *History) RecordSample(sample Sample) { appendRow(h, &h.samples, sample) }

// RecordReadback records the bundle read from a disk, or the error of reading it.
func (h *History) RecordReadback(disk string, serial uint64, sealed *wire.Sealed, err error) {
	row := Readback{At: h.Now(), Disk: disk, Serial: serial, Body: marshalSealed(sealed)}
	if err != nil {
		row.Reason = err.Error()
	}
	appendRow(h, &h.readbacks, row)
}

// RecordReturn records that all machines are back from now on.
func (h *History) RecordReturn() { appendRow(h, &h.returns, h.Now()) }

// RecordDisturbance records that a fault or a planned stop begins. The caller calls end when it is over.
func (h *History) RecordDisturbance(node, cause string, planned bool) (end func()) {
	disturbance := &Disturbance{Node: node, Cause: cause, Planned: planned, From: h.Now(), Until: -1}
	appendRow(h, &h.disturbances, disturbance)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		disturbance.Until = h.clock.Mono()
	}
}

// RecordSigned records the signed bundle that an operator submits under a submission's ID.
func (h *History) RecordSigned(submission string, sealed *wire.Sealed) {
	row := signedBundle{digest: bundle.Digest(sealed), body: marshalSealed(sealed)}
	if raw, fault := bundle.Decode(sealed); fault == nil {
		row.base, row.bundle = raw.Base, bundle.Index(sealed, raw)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.signed[submission] = row
}

// marshalSealed returns a deterministic encoding for comparisons, nil for a nil bundle.
func marshalSealed(sealed *wire.Sealed) []byte {
	if sealed == nil {
		return nil
	}
	body, _ := proto.MarshalOptions{Deterministic: true}.Marshal(sealed)
	return body
}

// Runs returns a copy of the recorded runs.
func (h *History) Runs() []Run { return copyRows(h, &h.runs) }

// Calls returns a copy of the recorded calls.
func (h *History) Calls() []Call { return copyRows(h, &h.calls) }

// Acks returns a copy of the recorded outcomes.
func (h *History) Acks() []Ack { return copyRows(h, &h.acks) }
