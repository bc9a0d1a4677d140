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

// overdue says when a request that takes longer than expected is thought to release its slot.
type overdue func(end, now time.Duration) time.Duration

// atAnyMoment serves the decision whether a request may wait: nothing says that the slot will not be free in time.
func atAnyMoment(_, now time.Duration) time.Duration { return now }

// asLongAgain serves to tell a request when to come back: a slot that is overdue is expected to stay so for as long
// again, which makes the delays longer from try to try.
func asLongAgain(end, now time.Duration) time.Duration { return now + (now - end) }

// starts returns when each of the given requests starts if they are admitted in their order as slots are released. The
// caller must hold q.mu.
func (q *Queue) starts(waiters []*waiter, now time.Duration, late overdue) []time.Duration {
	meanWork := q.expectedWork(now)
	releases := q.releases(now, late)
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

// releases returns, in order, when each slot is expected to be free. The caller must hold q.mu.
func (q *Queue) releases(now time.Duration, late overdue) []time.Duration {
	releases := make([]time.Duration, 0, max(q.limit, len(q.active)))
	for _, each := range q.active {
		if q.isStale(each, now) {
			continue
		}
		end := each.since + cmp.Or(each.work, q.meanWork)
		if end <= now {
			end = late(end, now)
		}
		releases = append(releases, end)
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
	work := max(a.work, q.meanWork)
	return work > 0 && now-a.since > staleWorkTimes*work
}

// lateOf returns those of the given requests that can't start in time in their order, however soon overdue slots are
// released. The caller must hold q.mu.
func (q *Queue) lateOf(waiters []*waiter, now time.Duration) (late []*waiter) {
	for i, start := range q.starts(waiters, now, atAnyMoment) {
		if start > waiters[i].LatestStart {
			late = append(late, waiters[i])
		}
	}
	return late
}

// waitBehind returns the expected time until a request that comes behind the given ones has a slot. The caller must
// hold q.mu.
func (q *Queue) waitBehind(ahead []*waiter, w *waiter, now time.Duration) time.Duration {
	starts := q.starts(append(slices.Clone(ahead), w), now, asLongAgain)
	return max(starts[len(starts)-1]-now, MinRetryAfter)
}
