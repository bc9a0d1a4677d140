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

type signed struct {
	digest string
	base   uint64
	body   []byte
	bundle *bundle.Bundle
}

// History collects what was seen of a fleet. It is safe for concurrent use.
type History struct {
	// RunLog, if set, takes runs as JSON lines in place of the history.
	RunLog    io.Writer
	clock     base.Clock
	mu        sync.Mutex
	runs      []Run
	calls     []Call
	acks      []Ack
	sent      []Sent
	dials     []FailedDial
	readings  []Sample
	readbacks []Readback
	spells    []*Disturbance
	returns   []time.Duration
	signed    map[string]signed
}

// NewHistory returns an empty history that stamps by the clock.
func NewHistory(clock base.Clock) *History {
	return &History{clock: clock, signed: map[string]signed{}}
}

func note[T any](h *History, rows *[]T, row T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*rows = append(*rows, row)
}

func snapshot[T any](h *History, rows *[]T) []T {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]T(nil), *rows...)
}

// Now returns the clock's reading.
func (h *History) Now() time.Duration { return h.clock.Mono() }

// RecordRun notes that a request arrived at an upstream. A nil history ignores it.
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
	note(h, &h.runs, run)
}

// RecordCall notes a request as its visitor saw it.
func (h *History) RecordCall(call Call) { note(h, &h.calls, call) }

// RecordOutcome notes an outcome as an operator was told it.
func (h *History) RecordOutcome(outcome *wire.Outcome) {
	note(h, &h.acks, Ack{At: h.Now(), Submission: outcome.GetSubmission(), Verdict: outcome.GetVerdict(), Serial: outcome.GetSerial()})
}

// RecordSent notes that a node sent a request under a bundle.
func (h *History) RecordSent(sent Sent) { note(h, &h.sent, sent) }

// RecordFailedDial notes a failed dial of an attempt.
func (h *History) RecordFailedDial(dial FailedDial) { note(h, &h.dials, dial) }

// RecordEvent takes what concerns the rules out of a node's journal.
func (h *History) RecordEvent(node, topic, subject, detail string, at time.Duration) {
	switch topic {
	case "handed":
		_, last, _ := strings.Cut(detail, " under ")
		serial, _ := strconv.ParseUint(last, 10, 64)
		if serial > 0 {
			h.RecordSent(Sent{At: at, Node: node, Serial: serial})
		}
	case "dial-failed":
		ordinal, _ := strconv.Atoi(detail)
		h.RecordFailedDial(FailedDial{At: at, Service: subject, Attempt: ordinal})
	}
}

// RecordSample notes a sample of what a node would serve.
func (h *History) RecordSample(reading Sample) { note(h, &h.readings, reading) }

// RecordReadback notes what a disk had of the bundle, or the error.
func (h *History) RecordReadback(disk string, serial uint64, sealed *wire.Sealed, err error) {
	row := Readback{At: h.Now(), Disk: disk, Serial: serial, Body: whole(sealed)}
	if err != nil {
		row.Reason = err.Error()
	}
	note(h, &h.readbacks, row)
}

// RecordReturn notes that all machines are back from now on.
func (h *History) RecordReturn() { note(h, &h.returns, h.Now()) }

// RecordDisturbance notes the begin of a trouble or a planned stop; end notes its end.
func (h *History) RecordDisturbance(node, cause string, planned bool) (end func()) {
	spell := &Disturbance{Node: node, Cause: cause, Planned: planned, From: h.Now(), Until: -1}
	note(h, &h.spells, spell)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		spell.Until = h.clock.Mono()
	}
}

// RecordSigned notes a bundle that an operator handed in under a submission.
func (h *History) RecordSigned(submission string, sealed *wire.Sealed) {
	row := signed{digest: bundle.Digest(sealed), body: whole(sealed)}
	if raw, fault := bundle.Decode(sealed); fault == nil {
		row.base, row.bundle = raw.Base, bundle.Index(sealed, raw)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.signed[submission] = row
}

func whole(sealed *wire.Sealed) []byte {
	if sealed == nil {
		return nil
	}
	body, _ := proto.MarshalOptions{Deterministic: true}.Marshal(sealed)
	return body
}

// Runs returns a copy of the runs so far.
func (h *History) Runs() []Run { return snapshot(h, &h.runs) }

// Calls returns a copy of the calls so far.
func (h *History) Calls() []Call { return snapshot(h, &h.calls) }

// Acks returns a copy of the outcomes so far.
func (h *History) Acks() []Ack { return snapshot(h, &h.acks) }
