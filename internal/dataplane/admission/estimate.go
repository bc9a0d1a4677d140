package admission

import (
	"cmp"
	"slices"
	"time"
)

// active is a request that holds a slot.
type active struct {
	since time.Duration
	// work is how long it is expected to hold the slot; 0 if that is not known.
	work time.Duration
}

// expectedRelease returns when a request is expected to release its slot. One that takes longer than expected is
// expected to take as long again as it is overdue.
func (a active) expectedRelease(now, meanWork time.Duration) time.Duration {
	end := a.since + cmp.Or(a.work, meanWork)
	if end < now {
		return now + (now - end)
	}
	return end
}

// expectedStarts returns when each of the given requests is expected to start, if they are admitted in their order as
// slots are released. The caller must hold q.mu.
func (q *Queue) expectedStarts(waiters []*waiter, now time.Duration) []time.Duration {
	meanWork := q.expectedWork(now)
	releases := q.expectedReleases(now)
	starts := make([]time.Duration, len(waiters))
	for i, each := range waiters {
		starts[i] = releases[0]
		release := starts[i] + cmp.Or(each.Work, meanWork)
		position, _ := slices.BinarySearch(releases[1:], release)
		copy(releases, releases[1:position+1])
		releases[position] = release
	}
	return starts
}

// expectedReleases returns, in order, when each slot is expected to be free. The caller must hold q.mu.
func (q *Queue) expectedReleases(now time.Duration) []time.Duration {
	releases := make([]time.Duration, 0, max(q.limit, len(q.active)))
	for _, each := range q.active {
		if !q.isStale(each, now) {
			releases = append(releases, each.expectedRelease(now, q.meanWork))
		}
	}
	for len(releases) < q.limit {
		releases = append(releases, now)
	}
	slices.Sort(releases)
	return releases[len(releases)-q.limit:] // a limit that was lowered has fewer slots than requests in flight
}

// expectedWork returns how long a request is expected to hold a slot if nothing is known of its route: the average, or
// as long as the oldest request in flight has taken already while none has ended. The caller must hold q.mu.
func (q *Queue) expectedWork(now time.Duration) time.Duration {
	if q.meanWork > 0 {
		return q.meanWork
	}
	oldest := time.Duration(0)
	for _, each := range q.active {
		oldest = max(oldest, now-each.since)
	}
	return oldest
}

// isStale reports whether a request has held its slot for so much longer than expected that its response must be lost.
// The caller must hold q.mu.
func (q *Queue) isStale(a active, now time.Duration) bool {
	work := cmp.Or(a.work, q.meanWork)
	return work > 0 && now-a.since > staleWorkTimes*work
}
