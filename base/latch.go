package base

import "context"

// Latch is a mutex whose taking can be given up. It is used where the lock is
// held during disk work: a synctest bubble counts a goroutine that waits on it
// as durably blocked, which it doesn't for a sync.Mutex.
type Latch chan struct{}

// NewLatch returns a free latch.
func NewLatch() Latch { return make(Latch, 1) }

// Take waits for the latch and returns true when it holds it, or false if ctx
// ended first.
func (l Latch) Take(ctx context.Context) bool {
	select {
	case l <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// Drop frees the latch. Only its holder may call it.
func (l Latch) Drop() { <-l }
