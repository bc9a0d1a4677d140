package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	"curlewreach/base"
)

const (
	// workSmoothing is the weight of the newest request in the average work.
	workSmoothing = 0.1
	// staleWorkTimes is how many times its expected work a request may hold a slot. After that it no longer counts
	// while all slots are taken: a response that was lost on its way never releases the slot that the upstream has
	// long had free.
	staleWorkTimes = 8
	// waitersPerSlot is how many requests may wait for each slot. One keeps every slot in use, even if all are
	// released at once; any more would only make all later callers wait longer.
	waitersPerSlot = 1
	// MinRetryAfter is the shortest Retry-After, the resolution in which it is sent.
	MinRetryAfter = time.Millisecond
)

// Queue limits the number of requests at an upstream. Further requests wait, one for each slot, as long as a slot is
// expected in time for them. They are admitted by rank, then by the time by which they should start. What becomes of a
// request depends on nothing but that: requests with the same time left, work and rank that find the same queue are
// treated alike. It is safe for concurrent use.
type Queue struct {
	clock base.Clock
	mu    sync.Mutex
	limit int
	// active holds the requests in flight by sequence number, waiters those that wait, in their order.
	active       map[uint64]active
	waiters      []*waiter
	lastSequence uint64
	// meanWork is the average time for which a request occupies a slot; 0 until one has ended.
	meanWork time.Duration
	// closed is the fault with which requests are rejected; nil while the queue is open.
	closed *base.Fault
}

// NewQueue returns a queue in front of limit slots.
func NewQueue(clock base.Clock, limit int) *Queue {
	return &Queue{clock: clock, limit: max(limit, 1), active: map[uint64]active{}}
}

// Resize sets the number of slots; at least one.
func (q *Queue) Resize(limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = max(limit, 1)
	q.admitWaiters()
	now := q.clock.Mono()
	for _, late := range q.lateOf(q.waiters, now) {
		q.reject(late, "no turn is expected in time", now)
	}
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

// MeanWork returns the average time for which a request occupies a slot; 0 until one has ended.
func (q *Queue) MeanWork() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.meanWork
}

// inFlight counts the occupied slots. Once all are taken, stale requests are left out, as many as there are slots at
// most: an upstream that is only slow gets no more than that beyond its slots. The caller must hold q.mu.
func (q *Queue) inFlight() int {
	if len(q.active) < q.limit {
		return len(q.active)
	}
	now, count := q.clock.Mono(), 0
	for _, each := range q.active {
		if !q.isStale(each, now) {
			count++
		}
	}
	return max(count, len(q.active)-q.limit)
}

// Load describes how full a queue is.
type Load struct {
	// InFlight is the number of requests at the upstream, Waiting those in the queue, and Limit the number of
	// slots.
	InFlight, Waiting, Limit int
	// ServiceTimeMs is the average time in milliseconds for which a request occupies a slot.
	ServiceTimeMs int
	// SlotWaitMs is the expected time in milliseconds until a slot is released, QueueWaitMs until there is one for a
	// request behind all that wait; 0 while a slot is free.
	SlotWaitMs, QueueWaitMs int
}

// Full reports whether no slot is free and no further request may wait.
func (l Load) Full() bool { return l.Limit > 0 && l.Waiting >= waitersPerSlot*l.Limit }

// Load returns how full the queue is and how long requests would wait.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Mono()
	load := Load{InFlight: q.inFlight(), Waiting: len(q.waiters), Limit: q.limit, ServiceTimeMs: int(q.expectedWork(now).Milliseconds())}
	if load.InFlight >= q.limit {
		starts := q.starts(append(slices.Clone(q.waiters), &waiter{}), now, asLongAgain)
		load.SlotWaitMs = int((starts[0] - now).Milliseconds())
		load.QueueWaitMs = int((starts[len(starts)-1] - now).Milliseconds())
	}
	return load
}

// Acquire takes a slot. If none is free, it waits for one, if the request may wait, a slot is expected by its latest
// start, and there is room for it in the queue or is made. release returns the slot. A fault of kind Overloaded carries
// the expected time until there is a slot for the request.
func (q *Queue) Acquire(ctx context.Context, request Request) (release func(), fault *base.Fault) {
	w, release, fault := q.enter(request)
	if w == nil {
		return release, fault
	}
	wakeup := time.NewTimer(request.LatestStart - q.clock.Mono())
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
	if wait, accepted := q.offer(w, now); !accepted {
		return nil, nil, overloaded("every slot is taken", wait)
	}
	q.admitWaiters()
	return w, nil, nil
}

// offer adds a request to the waiters if it may wait, can start in time, keeps no other one of its rank or a higher one
// from that, and there is room for it or is made (see makeRoom). Those of lower ranks that it keeps from that are
// rejected. If the request is not accepted, the waiters stay as they are, and wait is the expected time until there is a
// slot for it. The caller must hold q.mu.
func (q *Queue) offer(w *waiter, now time.Duration) (wait time.Duration, accepted bool) {
	before := q.waiters
	order := slices.SortedFunc(slices.Values(before), byLatestStart)
	position, _ := slices.BinarySearchFunc(order, w, byLatestStart)
	wait = q.waitBehind(order[:position], w, now)
	if !w.MayWait {
		return wait, false
	}
	lateBefore := q.lateOf(order, now)
	q.waiters = slices.Insert(order, position, w)
	made := slices.DeleteFunc(q.lateOf(q.waiters, now), func(each *waiter) bool { return slices.Contains(lateBefore, each) })
	if len(made) > 0 && made[0].Rank <= w.Rank {
		q.waiters = before
		return wait, false
	}
	for _, each := range made {
		q.reject(each, "no turn is expected in time", now)
	}
	if len(q.waiters) > waitersPerSlot*q.limit && !q.makeRoom(w, now) {
		q.waiters = before
		return wait, false
	}
	q.arrange(now)
	return 0, true
}

// arrange puts the waiters in the order of their turns: those of a rank as soon as each wants to start, unless that
// makes one start too late. The caller must hold q.mu.
func (q *Queue) arrange(now time.Duration) {
	slices.SortFunc(q.waiters, byWantedStart)
	if len(q.lateOf(q.waiters, now)) > 0 {
		slices.SortFunc(q.waiters, byLatestStart)
	}
}

// remove removes a waiter and reports whether it was in the queue. The caller must hold q.mu.
func (q *Queue) remove(w *waiter) bool {
	position := slices.Index(q.waiters, w)
	if position < 0 {
		return false
	}
	q.waiters = slices.Delete(q.waiters, position, position+1)
	return true
}

// leave removes a waiter that no longer waits, for the reason given by fault. If it has been admitted meanwhile, it
// keeps its slot, unless its context is done.
func (q *Queue) leave(ctx context.Context, w *waiter, fault *base.Fault) (release func(), _ *base.Fault) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.remove(w) {
		return nil, fault.WithRetryAfter(q.waitBehind(q.waiters, w, q.clock.Mono()))
	}
	if decided := <-w.decision; decided != nil {
		return nil, decided
	}
	if ctx.Err() == nil {
		return q.releaseFunc(w.sequence), nil
	}
	delete(q.active, w.sequence)
	q.admitWaiters()
	return nil, fault
}

// makeRoom rejects a waiter to make room for w in a full queue, and reports whether it did: the last one, if it is of a
// lower rank, or else one of the same rank that can come back in time, if w can't. The caller must hold q.mu.
func (q *Queue) makeRoom(w *waiter, now time.Duration) bool {
	last := q.waiters[len(q.waiters)-1]
	if last.Rank > w.Rank {
		q.reject(last, "one of a higher priority took its place", now)
		return true
	}
	wait := q.waitBehind(slices.DeleteFunc(slices.Clone(q.waiters), func(each *waiter) bool { return each == w }), w, now)
	if w.canComeBack(now, wait) {
		return false
	}
	for _, each := range slices.Backward(q.waiters) {
		if each.Rank == w.Rank && each.canComeBack(now, wait) {
			q.reject(each, "one that can't come back in time took its place", now)
			return true
		}
	}
	return false
}

// reject removes a waiter and tells it when a slot is expected for one behind all others. The caller must hold q.mu.
func (q *Queue) reject(w *waiter, reason string, now time.Duration) {
	q.remove(w)
	w.decision <- overloaded(reason, q.waitBehind(q.waiters, w, now))
}

// overloaded returns the fault of a request for which a slot is expected after the given wait.
func overloaded(reason string, wait time.Duration) *base.Fault {
	return base.NewFault(base.Overloaded, "", "%s", reason).WithRetryAfter(wait)
}

// admit gives a slot to a request and returns its release function. The caller must hold q.mu.
func (q *Queue) admit(w *waiter) func() {
	q.active[w.sequence] = active{since: q.clock.Mono(), work: w.Work}
	return q.releaseFunc(w.sequence)
}

// releaseFunc returns the function that releases a slot, adds the time for which it was held to the average and admits
// waiters. Further calls of the function have no effect.
func (q *Queue) releaseFunc(sequence uint64) func() {
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		ended, isActive := q.active[sequence]
		if !isActive {
			return
		}
		delete(q.active, sequence)
		q.recordWork(q.clock.Mono() - ended.since)
		q.admitWaiters()
	}
}

// recordWork adds a time for which a slot was held to the average. A much longer one than usual counts as
// staleWorkTimes the average. The caller must hold q.mu.
func (q *Queue) recordWork(took time.Duration) {
	if q.meanWork == 0 {
		q.meanWork = took
		return
	}
	took = min(took, staleWorkTimes*q.meanWork)
	q.meanWork += time.Duration(workSmoothing * float64(took-q.meanWork))
}

// admitWaiters gives free slots to waiters in their order, and rejects those past their latest start. The caller must
// hold q.mu.
func (q *Queue) admitWaiters() {
	now := q.clock.Mono()
	for len(q.waiters) > 0 && q.inFlight() < q.limit {
		next := q.waiters[0]
		if now > next.LatestStart {
			q.reject(next, "no turn in time", now)
			continue
		}
		q.remove(next)
		q.admit(next)
		next.decision <- nil
	}
}
