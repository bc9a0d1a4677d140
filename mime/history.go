package mime

import (
	"sync"
	"time"

	"curlewreach/base"
)

type Run struct {
	At      time.Duration
	ID      string
	Service string
	Seat    string
	Serial  uint64
	Leaving bool
	Repeats int
	Left    time.Duration
	Method  string
	Path    string
}

type Call struct {
	ID      string
	Service string
	Route   string
	Group   string
	Begun   time.Duration
	Ended   time.Duration
	Status  int
	Outcome string
	Kind    string
	Reason  string
	Broken  string
}

type History struct {
	clock base.Clock
	mu    sync.Mutex
	runs  []Run
	calls []Call
}

func NewHistory(clock base.Clock) *History { return &History{clock: clock} }

func (h *History) Ran(run Run) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	run.At = h.clock.Mono()
	h.runs = append(h.runs, run)
}

func (h *History) Called(call Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, call)
}

func (h *History) Runs() []Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Run(nil), h.runs...)
}

func (h *History) Calls() []Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Call(nil), h.calls...)
}
