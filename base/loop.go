package base

import (
	"sync"
	"time"
)

// Tick calls tick at each interval until the scope ends. If a call runs past one
// or more ticks, one of them is delivered when it returns and the others are
// dropped.
//
// It doesn't use time.Ticker: if the select of a goroutine in a synctest bubble
// finds a ticker expired, the ticker's function runs in that goroutine under a
// race context that all goroutines of the bubble share, and two at the same time
// crash the race detector (Go 1.26).
func Tick(s Scope, interval time.Duration, tick func(Scope)) {
	next := time.Now().Add(interval)
	for {
		Await(s, time.Until(next))
		if s.Err() != nil {
			return
		}
		next = followingTick(next, time.Now(), interval)
		tick(s)
	}
}

// followingTick returns the first tick that is after both due and now, where
// ticks follow due at multiples of the interval.
func followingTick(due, now time.Time, interval time.Duration) time.Time {
	missed := max(now.Sub(due), 0) / interval
	return due.Add((missed + 1) * interval)
}

// ForEach calls do for each item received from the channel until the scope ends.
func ForEach[T any](s Scope, items <-chan T, do func(T)) {
	for {
		select {
		case <-s.Done():
			return
		case item := <-items:
			do(item)
		}
	}
}

// Await waits for one of at most two signal channels to be readable or closed.
// It returns true if one is, and false if the scope ends or maxWait passes first.
// If maxWait isn't positive, it returns at once whether a signal is readable.
func Await(s Scope, maxWait time.Duration, signals ...<-chan struct{}) bool {
	var first, second <-chan struct{}
	if len(signals) > 0 {
		first = signals[0]
	}
	if len(signals) > 1 {
		second = signals[1]
	}
	if maxWait <= 0 {
		return readable(first) || readable(second)
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-s.Done():
		return false
	case <-first:
		return true
	case <-second:
		return true
	case <-timer.C:
		return false
	}
}

// readable reports whether a signal channel is readable or closed now. If it
// holds a value, the value is consumed.
func readable(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

// Broadcast wakes all goroutines that wait for a change. The zero value is ready
// for use.
type Broadcast struct {
	mu      sync.Mutex
	changed chan struct{}
}

// Next returns a channel that the next Notify closes.
func (b *Broadcast) Next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// Notify wakes all goroutines that wait on a channel from Next.
func (b *Broadcast) Notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// Group starts goroutines and waits for all of them to end.
type Group struct{ wg sync.WaitGroup }

// Go calls do in a new goroutine of the group.
func (g *Group) Go(do func()) { g.wg.Go(do) }

// Wait blocks until all goroutines of the group have ended.
func (g *Group) Wait() { g.wg.Wait() }

// Parallel calls do for each item in a goroutine of its own and returns when
// every call has returned.
func Parallel[T any](items []T, do func(T)) {
	var group Group
	for _, item := range items {
		group.Go(func() { do(item) })
	}
	group.Wait()
}
