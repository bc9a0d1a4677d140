package dataplane

import (
	"context"
	"slices"
	"sync"
	"time"

	"curlewreach/base"
)

const (
	holdMemory  = 0.1
	shareMemory = 0.02
	mostBetter  = 0.9
	staleHolds  = 8
	queueRatio  = 1
	topRank     = 1
)

// Ask is what a request wants of an admission queue: its rank, the last moments to start in aim and at all, and the longest wait it would accept.
type Ask struct {
	Rank     int
	AimBy    time.Duration
	DieBy    time.Duration
	Patience time.Duration
}

type waiter struct {
	Ask
	turn  uint64
	grant chan *base.Fault
}

func (w *waiter) before(other *waiter, now time.Duration) bool {
	late, otherLate := now > w.AimBy, now > other.AimBy
	switch {
	case w.Rank > topRank && late != otherLate || other.Rank > topRank && late != otherLate:
		return otherLate
	case w.Rank != other.Rank:
		return w.Rank < other.Rank
	case w.AimBy != other.AimBy:
		return w.AimBy < other.AimBy
	}
	return w.turn < other.turn
}

// AdmissionQueue lets so many requests at a time through to an upstream. The rest wait: those who can still make their aim first, by rank and by the time they have left.
type AdmissionQueue struct {
	clock   base.Clock
	mu      sync.Mutex
	limit   int
	flights map[uint64]time.Duration
	queue   []*waiter
	turn    uint64
	hold    float64
	top     float64
}

// NewAdmissionQueue starts with holds of usual length.
func NewAdmissionQueue(clock base.Clock, limit int, usual time.Duration) *AdmissionQueue {
	return &AdmissionQueue{clock: clock, limit: max(limit, 1), flights: map[uint64]time.Duration{}, hold: usual.Seconds()}
}

// Resize sets how many may pass at once.
func (g *AdmissionQueue) Resize(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(limit, 1)
	g.advance()
}

func (g *AdmissionQueue) flying() int {
	if len(g.flights) < g.limit {
		return len(g.flights)
	}
	stale, count := g.clock.Mono()-time.Duration(staleHolds*g.hold*float64(time.Second)), 0
	for _, began := range g.flights {
		if began >= stale {
			count++
		}
	}
	return count
}

func (g *AdmissionQueue) spell(ahead int, rank int) time.Duration {
	rate := float64(g.limit) / g.hold
	if rank > topRank {
		rate *= 1 - min(g.top, mostBetter)
	}
	return time.Duration(float64(ahead) / rate * float64(time.Second))
}

// Load tells how full the admission queue is, and how long a request of the top ranks and of the others would wait.
func (g *AdmissionQueue) Load() LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := LoadReport{Flying: g.flying(), Waiting: len(g.queue), Limit: g.limit, HoldMs: int(g.hold * 1000)}
	if w.Flying >= g.limit {
		now := g.clock.Mono()
		w.TopMs = int(g.wait(&waiter{Ask: Ask{Rank: topRank, AimBy: now}}, now).Milliseconds())
		w.RestMs = int(g.wait(&waiter{Ask: Ask{Rank: topRank + 1, AimBy: now + time.Hour}}, now).Milliseconds())
	}
	return w
}

func (g *AdmissionQueue) wait(mine *waiter, now time.Duration) time.Duration {
	ahead := 1
	for _, each := range g.queue {
		if each.before(mine, now) {
			ahead++
		}
	}
	return g.spell(ahead, mine.Rank)
}

// Enter takes a turn, or queues if the wait looks no longer than the ask's patience. The refusal of a full admission queue says how long it would be.
func (g *AdmissionQueue) Enter(ctx context.Context, ask Ask) (leave func(), fault *base.Fault) {
	g.mu.Lock()
	g.turn++
	now := g.clock.Mono()
	mine := &waiter{Ask: ask, turn: g.turn, grant: make(chan *base.Fault, 1)}
	if len(g.queue) == 0 && g.flying() < g.limit {
		defer g.mu.Unlock()
		return g.take(mine), nil
	}
	wait := g.wait(mine, now)
	impatient := ask.Patience <= 0 || wait > ask.Patience
	if impatient && !g.outranks(mine) || len(g.queue) >= queueRatio*g.limit && !g.evict(mine, now) {
		g.mu.Unlock()
		return nil, base.NewFault(base.Crowded, "", "every slot is taken").Later(wait)
	}
	g.queue = append(g.queue, mine)
	g.advance()
	g.mu.Unlock()
	wakeup := time.NewTimer(ask.DieBy - now)
	defer wakeup.Stop()
	select {
	case fault = <-mine.grant:
		if fault != nil {
			return nil, fault
		}
		return g.leaver(mine.turn), nil
	case <-ctx.Done():
		fault = base.NewFault(base.Expired, "", "the client is gone")
	case <-wakeup.C:
		fault = base.NewFault(base.Crowded, "", "no turn in time")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, each := range g.queue {
		if each == mine {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return nil, fault.Later(g.wait(mine, g.clock.Mono()))
		}
	}
	if said := <-mine.grant; said != nil {
		return nil, said
	}
	if ctx.Err() == nil {
		return g.leaver(mine.turn), nil
	}
	delete(g.flights, mine.turn)
	g.advance()
	return nil, fault
}

// outranks tells whether one of a less urgent kind waits here: a request that is refused while that one is served later
// would be served less often than what is less urgent. The top ranks are served first anyway.
func (g *AdmissionQueue) outranks(mine *waiter) bool {
	return mine.Rank > topRank && slices.ContainsFunc(g.queue, func(each *waiter) bool { return each.Rank > mine.Rank })
}

// evict makes room for a better waiter by refusing the one who would be served last.
func (g *AdmissionQueue) evict(mine *waiter, now time.Duration) bool {
	worst := 0
	for i, each := range g.queue {
		if g.queue[worst].before(each, now) {
			worst = i
		}
	}
	out := g.queue[worst]
	if !mine.before(out, now) {
		return false
	}
	g.queue = append(g.queue[:worst], g.queue[worst+1:]...)
	out.grant <- base.NewFault(base.Crowded, "", "a better one took its place").Later(g.wait(out, now))
	return true
}

func (g *AdmissionQueue) take(w *waiter) func() {
	g.flights[w.turn] = g.clock.Mono()
	share := 0.0
	if w.Rank <= topRank {
		share = 1
	}
	g.top += shareMemory * (share - g.top)
	return g.leaver(w.turn)
}

func (g *AdmissionQueue) leaver(turn uint64) func() {
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		began, flying := g.flights[turn]
		if !flying {
			return
		}
		delete(g.flights, turn)
		took := (g.clock.Mono() - began).Seconds()
		g.hold += holdMemory * (min(took, staleHolds*g.hold) - g.hold)
		g.hold = max(g.hold, 0.001)
		g.advance()
	}
}

func (g *AdmissionQueue) advance() {
	now := g.clock.Mono()
	for len(g.queue) > 0 && g.flying() < g.limit {
		first := 0
		for i, each := range g.queue {
			if each.before(g.queue[first], now) {
				first = i
			}
		}
		next := g.queue[first]
		g.queue = append(g.queue[:first], g.queue[first+1:]...)
		if now > next.DieBy {
			next.grant <- base.NewFault(base.Crowded, "", "no turn in time")
			continue
		}
		g.take(next)
		next.grant <- nil
	}
}
