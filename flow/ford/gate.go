package ford

import (
	"context"
	"sync"
	"time"

	"curlewreach/base"
)

const (
	holdMemory = 0.1
	staleHolds = 8
	queueRatio = 4
)

type waiter struct {
	late  bool
	rank  int
	turn  uint64
	grant chan struct{}
}

func (w *waiter) before(other *waiter) bool {
	if w.late != other.late {
		return !w.late
	}
	if w.rank != other.rank {
		return w.rank < other.rank
	}
	return w.turn < other.turn
}

// Gate lets so many requests at a time through to an upstream; the rest wait by rank and turn, or are bounced.
type Gate struct {
	clock   base.Clock
	mu      sync.Mutex
	limit   int
	flights map[uint64]time.Duration
	queue   []*waiter
	turn    uint64
	hold    float64
}

// NewGate starts with holds of usual length.
func NewGate(clock base.Clock, limit int, usual time.Duration) *Gate {
	return &Gate{clock: clock, limit: max(limit, 1), flights: map[uint64]time.Duration{}, hold: usual.Seconds()}
}

// Resize sets how many may pass at once.
func (g *Gate) Resize(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(limit, 1)
	g.advance()
}

func (g *Gate) flying() int {
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

// Weight tells how full the gate is.
func (g *Gate) Weight() Weight {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Weight{Flying: g.flying(), Waiting: len(g.queue), Limit: g.limit, HoldMs: int(g.hold * 1000)}
}

func (g *Gate) wait(mine *waiter) time.Duration {
	ahead := 1
	for _, each := range g.queue {
		if each.before(mine) {
			ahead++
		}
	}
	return time.Duration(g.hold * float64(ahead) / float64(g.limit) * float64(time.Second))
}

// Enter takes a turn, or queues for at most stay if the wait looks no longer than patience. The bounce of a full gate says how long it would be.
func (g *Gate) Enter(ctx context.Context, rank int, late bool, patience, stay time.Duration) (leave func(), mishap *base.Mishap) {
	g.mu.Lock()
	g.turn++
	mine := &waiter{late: late, rank: rank, turn: g.turn, grant: make(chan struct{}, 1)}
	if len(g.queue) == 0 && g.flying() < g.limit {
		defer g.mu.Unlock()
		return g.take(mine.turn), nil
	}
	wait := g.wait(mine)
	if patience <= 0 || wait > patience || len(g.queue) >= queueRatio*g.limit {
		g.mu.Unlock()
		return nil, base.Bounce(base.Crowded, "", "every slot is taken").Later(wait)
	}
	at := len(g.queue)
	for at > 0 && mine.before(g.queue[at-1]) {
		at--
	}
	g.queue = append(g.queue, nil)
	copy(g.queue[at+1:], g.queue[at:])
	g.queue[at] = mine
	g.mu.Unlock()
	wakeup := time.NewTimer(max(patience, stay))
	defer wakeup.Stop()
	select {
	case <-mine.grant:
		return g.leaver(mine.turn), nil
	case <-ctx.Done():
	case <-wakeup.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, each := range g.queue {
		if each == mine {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return nil, base.Bounce(base.Crowded, "", "no turn in time").Later(g.wait(mine))
		}
	}
	if ctx.Err() == nil {
		return g.leaver(mine.turn), nil
	}
	delete(g.flights, mine.turn)
	g.advance()
	return nil, base.Bounce(base.Expired, "", "the visitor is gone")
}

func (g *Gate) take(turn uint64) func() {
	g.flights[turn] = g.clock.Mono()
	return g.leaver(turn)
}

func (g *Gate) leaver(turn uint64) func() {
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

func (g *Gate) advance() {
	for len(g.queue) > 0 && g.flying() < g.limit {
		first := g.queue[0]
		g.queue = g.queue[1:]
		g.flights[first.turn] = g.clock.Mono()
		first.grant <- struct{}{}
	}
}
