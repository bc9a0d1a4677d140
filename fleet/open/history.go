package open

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

type Arrival struct {
	ID      string
	At      time.Duration
	Ended   time.Duration
	Service string
	Berth   string
	Method  string
	Host    string
	Target  string
	Digest  string
	Caller  string
	Missed  bool
	Ran     bool
	Status  int
	Broke   bool
	Gone    bool
}

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

type Sent struct {
	Chart   *wire.Chart
	At      time.Duration
	Acked   time.Duration
	Refused bool
	Bad     bool
}

type Departure struct {
	Berth string
	Acked time.Duration
}

type Readback struct {
	At    time.Duration
	Keel  string
	Chart *wire.Chart
	Err   error
}

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
	spells   []*judge.Spell
	strays   []string
	reads    []Readback
}

func NewHistory(clock base.Clock) *History {
	return &History{clock: clock, told: map[string]*Told{}, ran: map[string]int{}}
}

func note[T any](h *History, rows *[]T, row T) {
	h.mu.Lock()
	defer h.mu.Unlock()
	*rows = append(*rows, row)
}

func (h *History) Asked(ask *Ask) { note(h, &h.asks, ask) }

func (h *History) Told(told *Told) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told[told.ID] = told
}

func (h *History) Arrived(a *Arrival) { note(h, &h.arrivals, a) }

func (h *History) Ran(a *Arrival) (again bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a.Ran = true
	h.ran[a.ID]++
	return h.ran[a.ID] > 1
}

func (h *History) Now() time.Duration { return h.clock.Mono() }

func (h *History) Mark(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

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

func (h *History) Jobs() []*Job {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.jobs)
}

func (h *History) Spell(name, cause string, planned bool) (end func()) {
	spell := &judge.Spell{Node: name, Cause: cause, Planned: planned, From: h.Now(), Till: -1}
	note(h, &h.spells, spell)
	return func() { h.Mark(func() { spell.Till = h.clock.Mono() }) }
}

func digest(parts ...[]byte) string {
	sum := sha256.New()
	for _, each := range parts {
		_, _ = sum.Write(each)
		_, _ = sum.Write([]byte{0})
	}
	return hex.EncodeToString(sum.Sum(nil)[:8])
}

func seal(id, berth string, body []byte) string {
	return berth + "." + digest([]byte(id), []byte(berth), body)
}
