package admission

import (
	"context"
	"slices"
	"sync"
	"time"

	"curlewreach/base"
)

// MaxUrgentRank is the last of the urgent ranks: their requests are served before all others, also when late.
const MaxUrgentRank = 1

const (
	// holdMemory is the weight of the newest request in the average time that requests hold a slot.
	holdMemory = 0.1
	// urgentMemory is the weight of the newest request in the urgent ranks' share of all.
	urgentMemory = 0.02
	// mostUrgent bounds that share where waits are guessed.
	mostUrgent = 0.9
	// staleHolds average holds after it began, a request no longer counts as holding its slot.
	staleHolds = 8
	// queueRatio, times the number of slots, is how many may wait.
	queueRatio = 1
	// shortestHold, in seconds, bounds the average from below.
	shortestHold = 0.001
)

// Request is what a request asks of an admission queue. Times are by the steady clock.
type Request struct {
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// SoftDeadline is the last moment to start so that the answer meets the latency target.
	SoftDeadline time.Duration
	// HardDeadline is the last moment to start at all.
	HardDeadline time.Duration
	// MaxWait is the longest wait that the request accepts; it is rejected at once if a longer one is to be expected.
	MaxWait time.Duration
}

type waiter struct {
	Request
	turn  uint64
	grant chan *base.Fault
}

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
	return w.turn < other.turn
}

// Queue lets a bounded number of requests through to an upstream at a time. The others wait; those that can still meet their
// latency target go first, by rank and by the time they have left. It is safe for concurrent use.
type Queue struct {
	clock   base.Clock
	mu      sync.Mutex
	limit   int
	flights map[uint64]time.Duration
	queue   []*waiter
	turn    uint64
	hold    float64
	top     float64
}

// NewQueue returns a queue in front of limit slots. usual is how long a request is expected to hold one, until some have.
func NewQueue(clock base.Clock, limit int, usual time.Duration) *Queue {
	return &Queue{clock: clock, limit: max(limit, 1), flights: map[uint64]time.Duration{}, hold: usual.Seconds()}
}

// Resize sets the number of slots.
func (q *Queue) Resize(limit int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit = max(limit, 1)
	q.advance()
}

func (q *Queue) flying() int {
	if len(q.flights) < q.limit {
		return len(q.flights)
	}
	stale, count := q.clock.Mono()-time.Duration(staleHolds*q.hold*float64(time.Second)), 0
	for _, began := range q.flights {
		if began >= stale {
			count++
		}
	}
	return count
}

func (q *Queue) spell(ahead int, rank int) time.Duration {
	rate := float64(q.limit) / q.hold
	if rank > MaxUrgentRank {
		rate *= 1 - min(q.top, mostUrgent)
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// Load is how full an admission queue is.
type Load struct {
	// Flying counts the requests at the upstream, Waiting those in the queue, and Limit how many may be at the upstream.
	InFlight, Waiting, Limit int
	// ServiceTimeMs is how long a request is at the upstream, on average, in milliseconds.
	ServiceTimeMs int
	// UrgentWaitMs and RestMs are how long a request of the most urgent ranks, and of the others, would wait, in milliseconds.
	UrgentWaitMs, NormalWaitMs int
}

// Load tells how full the admission queue is, and how long a request of the top ranks and of the others would wait.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := Load{InFlight: q.flying(), Waiting: len(q.queue), Limit: q.limit, ServiceTimeMs: int(q.hold * 1000)}
	if w.InFlight >= q.limit {
		now := q.clock.Mono()
		w.UrgentWaitMs = int(q.wait(&waiter{Request: Request{Rank: MaxUrgentRank, SoftDeadline: now}}, now).Milliseconds())
		w.NormalWaitMs = int(q.wait(&waiter{Request: Request{Rank: MaxUrgentRank + 1, SoftDeadline: now + time.Hour}}, now).Milliseconds())
	}
	return w
}

func (q *Queue) wait(mine *waiter, now time.Duration) time.Duration {
	ahead := 1
	for _, each := range q.queue {
		if each.before(mine, now) {
			ahead++
		}
	}
	return q.spell(ahead, mine.Rank)
}

// Acquire takes a slot, or waits for one if the wait looks no longer than the request's patience. leave gives the slot back.
// A fault of kind Crowded says after how long to come back.
func (q *Queue) Acquire(ctx context.Context, request Request) (leave func(), fault *base.Fault) {
	q.mu.Lock()
	q.turn++
	now := q.clock.Mono()
	mine := &waiter{Request: request, turn: q.turn, grant: make(chan *base.Fault, 1)}
	if len(q.queue) == 0 && q.flying() < q.limit {
		defer q.mu.Unlock()
		return q.take(mine), nil
	}
	wait := q.wait(mine, now)
	impatient := request.MaxWait <= 0 || wait > request.MaxWait
	if impatient && !q.outranks(mine) || len(q.queue) >= queueRatio*q.limit && !q.evict(mine, now) {
		q.mu.Unlock()
		return nil, base.NewFault(base.Overloaded, "", "every slot is taken").WithRetryAfter(wait)
	}
	q.queue = append(q.queue, mine)
	q.advance()
	q.mu.Unlock()
	wakeup := time.NewTimer(request.HardDeadline - now)
	defer wakeup.Stop()
	select {
	case fault = <-mine.grant:
		if fault != nil {
			return nil, fault
		}
		return q.leaver(mine.turn), nil
	case <-ctx.Done():
		fault = base.NewFault(base.Expired, "", "the client is gone")
	case <-wakeup.C:
		fault = base.NewFault(base.Overloaded, "", "no turn in time")
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, each := range q.queue {
		if each == mine {
			q.queue = append(q.queue[:i], q.queue[i+1:]...)
			return nil, fault.WithRetryAfter(q.wait(mine, q.clock.Mono()))
		}
	}
	if said := <-mine.grant; said != nil {
		return nil, said
	}
	if ctx.Err() == nil {
		return q.leaver(mine.turn), nil
	}
	delete(q.flights, mine.turn)
	q.advance()
	return nil, fault
}

// outranks tells whether one of a less urgent kind waits here: a request that is refused while that one is served later
// would be served less often than what is less urgent. The top ranks are served first anyway.
func (q *Queue) outranks(mine *waiter) bool {
	return mine.Rank > MaxUrgentRank && slices.ContainsFunc(q.queue, func(each *waiter) bool { return each.Rank > mine.Rank })
}

// evict makes room for a better waiter by refusing the one who would be served last.
func (q *Queue) evict(mine *waiter, now time.Duration) bool {
	worst := 0
	for i, each := range q.queue {
		if q.queue[worst].before(each, now) {
			worst = i
		}
	}
	out := q.queue[worst]
	if !mine.before(out, now) {
		return false
	}
	q.queue = append(q.queue[:worst], q.queue[worst+1:]...)
	out.grant <- base.NewFault(base.Overloaded, "", "a better one took its place").WithRetryAfter(q.wait(out, now))
	return true
}

func (q *Queue) take(w *waiter) func() {
	q.flights[w.turn] = q.clock.Mono()
	share := 0.0
	if w.Rank <= MaxUrgentRank {
		share = 1
	}
	q.top += urgentMemory * (share - q.top)
	return q.leaver(w.turn)
}

func (q *Queue) leaver(turn uint64) func() {
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		began, flying := q.flights[turn]
		if !flying {
			return
		}
		delete(q.flights, turn)
		took := (q.clock.Mono() - began).Seconds()
		q.hold += holdMemory * (min(took, staleHolds*q.hold) - q.hold)
		q.hold = max(q.hold, shortestHold)
		q.advance()
	}
}

func (q *Queue) advance() {
	now := q.clock.Mono()
	for len(q.queue) > 0 && q.flying() < q.limit {
		first := 0
		for i, each := range q.queue {
			if each.before(q.queue[first], now) {
				first = i
			}
		}
		next := q.queue[first]
		q.queue = append(q.queue[:first], q.queue[first+1:]...)
		if now > next.HardDeadline {
			next.grant <- base.NewFault(base.Overloaded, "", "no turn in time")
			continue
		}
		q.take(next)
		next.grant <- nil
	}
}
