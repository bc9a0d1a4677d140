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

// Drain calls do for each item of the channel until the scope ends.
func Drain[T any](s Scope, in <-chan T, do func(T)) {
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

// Bell wakes all that wait for a change. The zero value is ready for use.
type Bell struct {
	mu   sync.Mutex
	rung chan struct{}
}

// Heard returns a channel that the next Ring closes.
func (b *Bell) Heard() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rung == nil {
		b.rung = make(chan struct{})
	}
	return b.rung
}

// Ring wakes all that hold a channel from Heard.
func (b *Bell) Ring() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rung != nil {
		close(b.rung)
		b.rung = nil
	}
}

// Crew is a group of goroutines to wait for.
type Crew struct{ wg sync.WaitGroup }

// Go runs do in a goroutine of the group.
func (c *Crew) Go(do func()) { c.wg.Go(do) }

// Wait blocks until all goroutines of the group have ended.
func (c *Crew) Wait() { c.wg.Wait() }

// All calls do for all items concurrently and returns when every call has.
func All[T any](items []T, do func(T)) {
	var crew Crew
	for _, item := range items {
		crew.Go(func() { do(item) })
	}
	crew.Wait()
}
