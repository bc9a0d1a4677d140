package listednode

import (
	"sync"
	"time"

	"github.com/gammazero/deque"

	"curlewreach/base"
)

const (
	// holdMemory is the weight of the newest request in the moving average of
	// how long one holds its candidate.
	holdMemory = 0.1
	// leastLeft, of that average, is the time to its deadline that a waiter
	// must have left to be let in.
	leastLeft = 0.5
)

type waiter struct {
	until time.Duration
	grant chan *base.Fault
	gone  bool
}

type groupQueue struct {
	group   string
	waiting deque.Deque[*waiter]
	weight  float64
	pass    float64
	granted uint64
}

// AdmissionQueue is the admission queue in front of an upstream or a node: a bounded
// number of requests are inside, others wait. Groups get their turns by the
// weights of their shares. It is safe for concurrent use.
type AdmissionQueue struct {
	mu      sync.Mutex
	clock   base.Clock
	limit   int
	bound   int
	flying  int
	waiting int
	now     float64
	hold    float64
	lanes   map[string]*groupQueue
}

// NewAdmissionQueue returns a gate that lets limit requests in and bound wait.
func NewAdmissionQueue(clock base.Clock, limit, bound int) *AdmissionQueue {
	return &AdmissionQueue{clock: clock, limit: max(limit, 1), bound: bound, lanes: map[string]*groupQueue{}}
}

// SetLimit sets how many requests may be inside.
func (g *AdmissionQueue) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(limit, 1)
	g.advance()
}

// InFlight returns how many requests are inside.
func (g *AdmissionQueue) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.flying
}

// Granted returns how many were let in so far, by group.
func (g *AdmissionQueue) Granted() map[string]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	granted := map[string]uint64{}
	for group, at := range g.lanes {
		granted[group] = at.granted
	}
	return granted
}

// Acquire waits to be let in until the time given. The caller calls leave when
// its request has ended. The error is of kind Crowded if it can't be let in in
// time or the queue is full, and Expired if the time passed.
func (g *AdmissionQueue) Acquire(s base.Scope, group string, weight float64, until time.Duration) (leave func(), fault *base.Fault) {
	g.mu.Lock()
	at := g.lanes[group]
	if at == nil {
		at = &groupQueue{group: group}
		g.lanes[group] = at
	}
	at.weight = max(weight, 0.001)
	if g.flying < g.limit && g.waiting == 0 {
		g.take(at)
		g.mu.Unlock()
		return g.leaver(), nil
	}
	left := (until - g.clock.Mono()).Seconds()
	wait := g.hold * g.ahead(at) / float64(g.limit)
	after := time.Duration(wait * float64(time.Second))
	if g.hold > 0 && wait > left {
		g.mu.Unlock()
		return nil, base.NewFault(base.Overloaded, "", "the wait would outlast the deadline").WithRetryAfter(after)
	}
	if g.waiting >= g.bound && !g.evict(at) {
		g.mu.Unlock()
		return nil, base.NewFault(base.Overloaded, "", "the queue of group %q is full", group).WithRetryAfter(after)
	}
	mine := &waiter{until: until, grant: make(chan *base.Fault, 1)}
	if at.waiting.Len() == 0 {
		at.pass = max(at.pass, g.now)
	}
	at.waiting.PushBack(mine)
	g.waiting++
	g.mu.Unlock()

	wakeup := time.NewTimer(time.Duration(left * float64(time.Second)))
	defer wakeup.Stop()
	select {
	case fault := <-mine.grant:
		if fault != nil {
			return nil, fault
		}
		return g.leaver(), nil
	case <-s.Done():
	case <-wakeup.C:
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case fault := <-mine.grant:
		if fault == nil {
			g.flying--
			g.advance()
		}
	default:
		mine.gone = true
		g.waiting--
	}
	return nil, base.NewFault(base.Expired, "", "the deadline passed in the queue")
}

func (g *AdmissionQueue) ahead(at *groupQueue) float64 {
	total := 0.0
	for _, each := range g.lanes {
		if each.waiting.Len() > 0 || each == at {
			total += each.weight
		}
	}
	return float64(at.waiting.Len()+1) * total / at.weight
}

func (g *AdmissionQueue) evict(newcomer *groupQueue) bool {
	var fullest *groupQueue
	for _, each := range g.lanes {
		if each.waiting.Len() > 0 && (fullest == nil || over(each) > over(fullest)) {
			fullest = each
		}
	}
	if fullest == nil || fullest == newcomer || over(fullest) <= (float64(newcomer.waiting.Len())+1)/newcomer.weight {
		return false
	}
	last := fullest.waiting.PopBack()
	if !last.gone {
		g.waiting--
		last.grant <- base.NewFault(base.Overloaded, "", "the queue is full and another group is owed its place")
	}
	return true
}

func over(at *groupQueue) float64 { return float64(at.waiting.Len()) / at.weight }

func (g *AdmissionQueue) take(at *groupQueue) {
	at.pass = max(at.pass, g.now) + 1/at.weight
	g.now = max(g.now, at.pass-1/at.weight)
	at.granted++
	g.flying++
}

func (g *AdmissionQueue) leaver() func() {
	began := g.clock.Mono()
	var once sync.Once
	return func() {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.flying--
			took := (g.clock.Mono() - began).Seconds()
			if g.hold == 0 {
				g.hold = took
			}
			g.hold += holdMemory * (took - g.hold)
			g.advance()
		})
	}
}

func (g *AdmissionQueue) shed(at *groupQueue) {
	late := g.clock.Mono() + time.Duration(leastLeft*g.hold*float64(time.Second))
	for at.waiting.Len() > 0 {
		first := at.waiting.Front()
		if !first.gone && first.until > late {
			return
		}
		at.waiting.PopFront()
		if !first.gone {
			g.waiting--
			first.grant <- base.NewFault(base.Overloaded, "", "too little time was left when its turn came")
		}
	}
}

func (g *AdmissionQueue) advance() {
	for g.flying < g.limit {
		var next *groupQueue
		for _, each := range g.lanes {
			g.shed(each)
			if each.waiting.Len() > 0 && (next == nil || each.pass < next.pass || each.pass == next.pass && each.group < next.group) {
				next = each
			}
		}
		if next == nil {
			return
		}
		first := next.waiting.PopFront()
		g.waiting--
		g.take(next)
		first.grant <- nil
	}
}
