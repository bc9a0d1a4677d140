package admission

import (
	"cmp"
	"time"

	"curlewreach/base"
)

// Request holds the conditions of a request that asks for admission. Times are readings of the monotonic
// clock.
type Request struct {
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// WantedStart is the latest start with which the response still meets the latency target.
	WantedStart time.Duration
	// LatestStart is the latest start with which there is time enough for the work until the caller's deadline.
	LatestStart time.Duration
	// Work is how long the request is expected to hold its slot; 0 if that is not known.
	Work time.Duration
	// MayWait is set if the request may wait for a slot. Otherwise it is rejected unless one is free.
	MayWait bool
}

// waiter is a request in the queue.
type waiter struct {
	Request
	// sequence is the order of arrival.
	sequence uint64
	// decision receives nil when the request is admitted, and a fault when it is rejected.
	decision chan *base.Fault
}

// wantedBy returns when the request should start: in time for its latency target, or earlier if its caller's time
// ends before.
func (w *waiter) wantedBy() time.Duration { return min(w.WantedStart, w.LatestStart) }

// compare orders waiters by their turn: by rank, then by the time by which they should start, then by arrival.
func (w *waiter) compare(other *waiter) int {
	return cmp.Or(cmp.Compare(w.Rank, other.Rank), cmp.Compare(w.wantedBy(), other.wantedBy()), cmp.Compare(w.sequence, other.sequence))
}
