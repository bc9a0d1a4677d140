package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	"curlewreach/base"
)

// MaxUrgentRank is the highest rank that counts as urgent. Among urgent requests, a missed soft deadline does
// not change the order of admission.
const MaxUrgentRank = 1

const (
	// serviceTimeSmoothing is the weight of the newest request in the average service time.
	serviceTimeSmoothing = 0.1
	// urgentShareSmoothing is the weight of the newest request in the share of urgent requests.
	urgentShareSmoothing = 0.02
	// maxUrgentShare bounds the share of urgent requests in estimates of the wait.
	maxUrgentShare = 0.9
	// staleServiceTimes is the number of average service times after which an admitted request no longer
	// counts as occupying its slot.
	staleServiceTimes = 8
	// waitersPerSlot is how many requests may wait for each slot.
	waitersPerSlot = 1
	// minServiceTime is the lower bound of the average service time, in seconds.
	minServiceTime = 0.001
)

// Request holds the conditions of a request that asks for admission. Times are readings of the monotonic
// clock.
type Request struct {
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// SoftDeadline is the latest start with which the response still meets the latency target.
	SoftDeadline time.Duration
	// HardDeadline is the latest start; a request that has not been admitted by then is rejected.
	HardDeadline time.Duration
	// MaxWait is the longest wait that the request accepts. If the expected wait is longer, the request is
	// rejected at once.
	MaxWait time.Duration
}

// waiter is a request in the queue.
type waiter struct {
	Request
	// sequence is the order of arrival.
	sequence uint64
	// decision receives nil when the request is admitted, and a fault when it is rejected.
	decision chan *base.Fault
}

// before reports whether w is admitted ahead of other. Requests that can still meet their soft deadline go
// ahead of those that can't, unless both are urgent. Ties are broken by rank, soft deadline and order of
// arrival.
func (w *waiter) before(other *waiter, now time.Duration) bool {
	late, otherLate := now > w.SoftDeadline, now > other.SoftDeadline
	switch {
	case w.Rank > MaxUrgentRank && late != otherLate || other.Rank > MaxUrgentRank && late != otherLate:
		return otherLate
	case w.Rank != other.Rank:
		return w.Rank < other.Rank
	case w.SoftDeadline != other.SoftDeadline:
		return w.SoftDeadline < other.SoftDeadline
	}
	return w.sequence < other.sequence
}

// Queue limits the number of requests at an upstream. Further requests wait. Those that can still meet their
// latency target are admitted first, by rank and then by the time left. It is safe for concurrent use.
type Queue struct {
	clock base.Clock
	mu    sync.Mutex
	limit int
	// startedAt holds the admission time of the requests in flight, by sequence number.
	startedAt    map[uint64]time.Duration
	waiters      []*waiter
	lastSequence uint64
	// serviceTime is the average time in seconds for which a request occupies a slot.
	serviceTime float64
	// urgentShare is the average share of urgent requests among those admitted.
	urgentShare float64
	// closed is the fault with which requests are rejected; nil while the queue is open.
	closed *base.Fault
}

// NewQueue returns a queue in front of limit slots. serviceTime is the assumed service time until requests
// have been measured.
func NewQueue(clock base.Clock, limit int, serviceTime time.Duration) *Queue {
	return &Queue{clock: clock, limit: max(limit, 1), startedAt: map[uint64]time.Duration{}, serviceTime: serviceTime.Seconds()}
}

// Resize sets the number of slots; at least one.
func (q *Queue) Resize(limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = max(limit, 1)
	q.admitWaiters()
}

// Close rejects all waiters, and all requests that ask for admission from now on, with the given fault. Requests that
// hold a slot keep it. Further calls have no effect.
func (q *Queue) Close(fault *base.Fault) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != nil {
		return
	}
	q.closed = fault
	for _, each := range q.waiters {
		each.decision <- fault
	}
	q.waiters = nil
}

// ServiceTime returns the average time for which a request occupies a slot.
func (q *Queue) ServiceTime() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return time.Duration(q.serviceTime * float64(time.Second))
}

// inFlight counts the occupied slots. Once all are taken, requests admitted longer than staleServiceTimes
// average service times ago are left out. The caller must hold q.mu.
func (q *Queue) inFlight() int {
	if len(q.startedAt) < q.limit {
		return len(q.startedAt)
	}
	cutoff, count := q.clock.Mono()-time.Duration(staleServiceTimes*q.serviceTime*float64(time.Second)), 0
	for _, began := range q.startedAt {
		if began >= cutoff {
			count++
		}
	}
	return count
}

// drainTime estimates how long it takes until as many slots are released as there are requests ahead. For
// ranks that are not urgent, the share of urgent requests is deducted from the rate.
func (q *Queue) drainTime(ahead int, rank int) time.Duration {
	rate := float64(q.limit) / q.serviceTime
	if rank > MaxUrgentRank {
		rate *= 1 - min(q.urgentShare, maxUrgentShare)
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// Load describes how full a queue is.
type Load struct {
	// InFlight is the number of requests at the upstream, Waiting those in the queue, and Limit the number of
	// slots.
	InFlight, Waiting, Limit int
	// ServiceTimeMs is the average time in milliseconds for which a request occupies a slot.
	ServiceTimeMs int
	// UrgentWaitMs and NormalWaitMs are the expected waits in milliseconds of an urgent request and of
	// others; 0 while a slot is free.
	UrgentWaitMs, NormalWaitMs int
}

// Load returns how full the queue is and how long urgent and other requests would wait.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	load := Load{InFlight: q.inFlight(), Waiting: len(q.waiters), Limit: q.limit, ServiceTimeMs: int(q.serviceTime * 1000)}
	if load.InFlight >= q.limit {
		now := q.clock.Mono()
		load.UrgentWaitMs = int(q.expectedWait(&waiter{Request: Request{Rank: MaxUrgentRank, SoftDeadline: now}}, now).Milliseconds())
		load.NormalWaitMs = int(q.expectedWait(&waiter{Request: Request{Rank: MaxUrgentRank + 1, SoftDeadline: now + time.Hour}}, now).Milliseconds())
	}
	return load
}

// expectedWait estimates the wait of a request by the waiters ahead of it. The caller must hold q.mu.
func (q *Queue) expectedWait(w *waiter, now time.Duration) time.Duration {
	ahead := 1
	for _, each := range q.waiters {
		if each.before(w, now) {
			ahead++
		}
	}
	return q.drainTime(ahead, w.Rank)
}

// Acquire takes a slot. If none is free, it waits for one, provided that the expected wait does not exceed
// the request's MaxWait or a lower rank is waiting (see outranksWaiter), and that the queue has room or a
// waiter can be evicted. release returns the slot. A fault of kind Overloaded carries the time after which to
// retry.
func (q *Queue) Acquire(ctx context.Context, request Request) (release func(), fault *base.Fault) {
	w, release, fault := q.enter(request)
	if w == nil {
		return release, fault
	}
	wakeup := time.NewTimer(request.HardDeadline - q.clock.Mono())
	defer wakeup.Stop()
	select {
	case fault = <-w.decision:
		if fault != nil {
			return nil, fault
		}
		return q.releaseFunc(w.sequence), nil
	case <-ctx.Done():
		fault = base.NewFault(base.Expired, "", "the client is gone")
	case <-wakeup.C:
		fault = base.NewFault(base.Overloaded, "", "no turn in time")
	}
	return q.leave(ctx, w, fault)
}

// enter admits or rejects a request at once, or returns it as a waiter.
func (q *Queue) enter(request Request) (w *waiter, release func(), fault *base.Fault) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != nil {
		return nil, nil, q.closed
	}
	q.lastSequence++
	now := q.clock.Mono()
	w = &waiter{Request: request, sequence: q.lastSequence, decision: make(chan *base.Fault, 1)}
	if len(q.waiters) == 0 && q.inFlight() < q.limit {
		return nil, q.admit(w), nil
	}
	wait := q.expectedWait(w, now)
	waitTooLong := request.MaxWait <= 0 || wait > request.MaxWait
	if waitTooLong && !q.outranksWaiter(w) || len(q.waiters) >= waitersPerSlot*q.limit && !q.evict(w, now) {
		return nil, nil, base.NewFault(base.Overloaded, "", "every slot is taken").WithRetryAfter(wait)
	}
	q.waiters = append(q.waiters, w)
	q.admitWaiters()
	return w, nil, nil
}

// leave removes a waiter that no longer waits, for the reason given by fault. If it has been admitted meanwhile, it
// keeps its slot, unless its context is done.
func (q *Queue) leave(ctx context.Context, w *waiter, fault *base.Fault) (release func(), _ *base.Fault) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, each := range q.waiters {
		if each == w {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return nil, fault.WithRetryAfter(q.expectedWait(w, q.clock.Mono()))
		}
	}
	if decided := <-w.decision; decided != nil {
		return nil, decided
	}
	if ctx.Err() == nil {
		return q.releaseFunc(w.sequence), nil
	}
	delete(q.startedAt, w.sequence)
	q.admitWaiters()
	return nil, fault
}

// outranksWaiter reports whether a request of a lower priority is waiting. A request is not rejected for its
// expected wait then: if it were, while that one is served later, its rank would be served less often than a
// lower one. Urgent ranks are excluded, since they are served first anyway.
func (q *Queue) outranksWaiter(w *waiter) bool {
	return w.Rank > MaxUrgentRank && slices.ContainsFunc(q.waiters, func(each *waiter) bool { return each.Rank > w.Rank })
}

// evict rejects the waiter that would be served last if w goes ahead of it, and reports whether it did.
func (q *Queue) evict(w *waiter, now time.Duration) bool {
	worst := 0
	for i, each := range q.waiters {
		if q.waiters[worst].before(each, now) {
			worst = i
		}
	}
	evicted := q.waiters[worst]
	if !w.before(evicted, now) {
		return false
	}
	q.waiters = append(q.waiters[:worst], q.waiters[worst+1:]...)
	evicted.decision <- base.NewFault(base.Overloaded, "", "a better one took its place").WithRetryAfter(q.expectedWait(evicted, now))
	return true
}

// admit gives a slot to a request and returns its release function. The caller must hold q.mu.
func (q *Queue) admit(w *waiter) func() {
	q.startedAt[w.sequence] = q.clock.Mono()
	sample := 0.0
	if w.Rank <= MaxUrgentRank {
		sample = 1
	}
	q.urgentShare += urgentShareSmoothing * (sample - q.urgentShare)
	return q.releaseFunc(w.sequence)
}

// releaseFunc returns the function that releases a slot, adds the service time to the average and admits
// waiters. Further calls of the function have no effect.
func (q *Queue) releaseFunc(sequence uint64) func() {
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		began, active := q.startedAt[sequence]
		if !active {
			return
		}
		delete(q.startedAt, sequence)
		took := (q.clock.Mono() - began).Seconds()
		q.serviceTime += serviceTimeSmoothing * (min(took, staleServiceTimes*q.serviceTime) - q.serviceTime)
		q.serviceTime = max(q.serviceTime, minServiceTime)
		q.admitWaiters()
	}
}

// admitWaiters gives free slots to waiters in their order, and rejects those past their hard deadline. The
// caller must hold q.mu.
func (q *Queue) admitWaiters() {
	now := q.clock.Mono()
	for len(q.waiters) > 0 && q.inFlight() < q.limit {
		first := 0
		for i, each := range q.waiters {
			if each.before(q.waiters[first], now) {
				first = i
			}
		}
		next := q.waiters[first]
		q.waiters = append(q.waiters[:first], q.waiters[first+1:]...)
		if now > next.HardDeadline {
			next.decision <- base.NewFault(base.Overloaded, "", "no turn in time")
			continue
		}
		q.admit(next)
		next.decision <- nil
	}
}
