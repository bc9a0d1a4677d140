package base

import (
	"sync"
	"time"
)

// Tick calls do at each interval until the scope ends. Ticks that fall due
// while do runs are dropped but for one.
//
// It is no time.Ticker: one that is found due by the select of a goroutine in a
// synctest bubble is run there, under a race context that all goroutines of the
// bubble share, and two at a time bring the race detector down (Go 1.26).
func Tick(s Scope, every time.Duration, do func(Scope)) {
	next := time.Now().Add(every)
	for {
		Await(s, time.Until(next))
		if s.Err() != nil {
			return
		}
		next = followingTick(next, time.Now(), every)
		do(s)
	}
}

// followingTick returns the first tick after now, of those that follow due at
// each interval.
func followingTick(due, now time.Time, every time.Duration) time.Time {
	missed := max(now.Sub(due), 0) / every
	return due.Add((missed + 1) * every)
}

// ForEach calls do for each item of the channel until the scope ends.
func ForEach[T any](s Scope, in <-chan T, do func(T)) {
	for {
		select {
		case <-s.Done():
			return
		case item := <-in:
			do(item)
		}
	}
}

// Await blocks until one of at most two signals is readable (true), or until
// the scope ends or the longest wait is over (false).
func Await(s Scope, longest time.Duration, signals ...<-chan struct{}) bool {
	var first, second <-chan struct{}
	if len(signals) > 0 {
		first = signals[0]
	}
	if len(signals) > 1 {
		second = signals[1]
	}
	if longest <= 0 {
		return readable(first) || readable(second)
	}
	wakeup := time.NewTimer(longest)
	defer wakeup.Stop()
	select {
	case <-s.Done():
		return false
	case <-first:
		return true
	case <-second:
		return true
	case <-wakeup.C:
		return false
	}
}

// readable reports whether a signal is readable now.
func readable(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

// Broadcast wakes all that wait for a change. The zero value is ready for use.
type Broadcast struct {
	mu   sync.Mutex
	rung chan struct{}
}

// Next returns a channel that the next Ring closes.
func (b *Broadcast) Next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rung == nil {
		b.rung = make(chan struct{})
	}
	return b.rung
}

// Notify wakes all that hold a channel from Heard.
func (b *Broadcast) Notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rung != nil {
		close(b.rung)
		b.rung = nil
	}
}

// Group is a group of goroutines to wait for.
type Group struct{ wg sync.WaitGroup }

// Go runs do in a goroutine of the group.
func (c *Group) Go(do func()) { c.wg.Go(do) }

// Wait blocks until all goroutines of the group have ended.
func (c *Group) Wait() { c.wg.Wait() }

// Parallel calls do for all items concurrently and returns when every call has.
func Parallel[T any](items []T, do func(T)) {
	var crew Group
	for _, item := range items {
		crew.Go(func() { do(item) })
	}
	crew.Wait()
}
