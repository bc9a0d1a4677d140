package base

import "context"

// ContextMutex is a mutex whose taking can be given up. It is used where the lock is
// held during disk work: a synctest bubble counts a goroutine that waits on it
// as durably blocked, which it doesn't for a sync.Mutex.
type ContextMutex chan struct{}

// NewContextMutex returns a free mutex.
func NewContextMutex() ContextMutex { return make(ContextMutex, 1) }

// Lock waits for the latch and returns true when it holds it, or false if ctx
// ended first.
func (l ContextMutex) Lock(ctx context.Context) bool {
	select {
	case l <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// Unlock frees the latch. Only its holder may call it.
func (l ContextMutex) Unlock() { <-l }
