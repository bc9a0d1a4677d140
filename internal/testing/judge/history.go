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

type History struct {
	Spill     io.Writer
	clock     base.Clock
	mu        sync.Mutex
	runs      []Run
	calls     []Call
	acks      []Ack
	sent      []Sent
	dials     []Dial
	readings  []Reading
	readbacks []Readback
	spells    []*Spell
	returns   []time.Duration
	signed    map[string]signed
}

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

func (h *History) Now() time.Duration { return h.clock.Mono() }

func (h *History) Ran(run Run) {
	if h == nil {
		return
	}
	if run.At == 0 {
		run.At = h.Now()
	}
	if h.Spill != nil {
		line, _ := json.Marshal(run)
		h.mu.Lock()
		defer h.mu.Unlock()
		_, _ = h.Spill.Write(append(line, '\n'))
		return
	}
	note(h, &h.runs, run)
}

func (h *History) Called(call Call) { note(h, &h.calls, call) }

func (h *History) Acked(outcome *wire.Outcome) {
	note(h, &h.acks, Ack{At: h.Now(), Submission: outcome.GetSubmission(), Verdict: outcome.GetVerdict(), Serial: outcome.GetSerial()})
}

func (h *History) Sent(sent Sent) { note(h, &h.sent, sent) }

func (h *History) Dialled(dial Dial) { note(h, &h.dials, dial) }

func (h *History) Fold(node, topic, subject, detail string, at time.Duration) {
	switch topic {
	case "handed":
		_, last, _ := strings.Cut(detail, " under ")
		serial, _ := strconv.ParseUint(last, 10, 64)
		if serial > 0 {
			h.Sent(Sent{At: at, Node: node, Serial: serial})
		}
	case "dial-failed":
		ordinal, _ := strconv.Atoi(detail)
		h.Dialled(Dial{At: at, Service: subject, Ordinal: ordinal})
	}
}

func (h *History) Read(reading Reading) { note(h, &h.readings, reading) }

func (h *History) ReadBack(disk string, serial uint64, sealed *wire.Sealed, err error) {
	row := Readback{At: h.Now(), Disk: disk, Serial: serial, Body: whole(sealed)}
	if err != nil {
		row.Reason = err.Error()
	}
	note(h, &h.readbacks, row)
}

func (h *History) Returned() { note(h, &h.returns, h.Now()) }

func (h *History) Spell(node, cause string, planned bool) (end func()) {
	spell := &Spell{Node: node, Cause: cause, Planned: planned, From: h.Now(), Till: -1}
	note(h, &h.spells, spell)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		spell.Till = h.clock.Mono()
	}
}

func (h *History) Signed(submission string, sealed *wire.Sealed) {
	row := signed{digest: bundle.Digest(sealed), body: whole(sealed)}
	if raw, mishap := bundle.Open(sealed); mishap == nil {
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

func (h *History) Runs() []Run { return snapshot(h, &h.runs) }

func (h *History) Calls() []Call { return snapshot(h, &h.calls) }

func (h *History) Acks() []Ack { return snapshot(h, &h.acks) }
