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

// maxReturnRatio is the part of its time left for which a client stays away at most when it is told to.
const maxReturnRatio = 1.0 / 3

// canComeBack reports whether a client that is told to come back after the given wait is back by then, with time left
// to start.
func (w *waiter) canComeBack(now, wait time.Duration) bool {
	return wait <= base.ScaleDuration(w.LatestStart-now, maxReturnRatio)
}

// byLatestStart orders waiters by rank, then by their latest start, then by arrival. Within a rank no other order lets
// more of them start in time.
func byLatestStart(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.LatestStart, b.LatestStart), cmp.Compare(a.sequence, b.sequence))
}

// byWantedStart orders waiters by rank, then by when they should start, in time for the latency target or, if their
// caller's time ends before, at their latest start, then by arrival.
func byWantedStart(a, b *waiter) int {
	wantedA, wantedB := min(a.WantedStart, a.LatestStart), min(b.WantedStart, b.LatestStart)
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(wantedA, wantedB), cmp.Compare(a.sequence, b.sequence))
}
