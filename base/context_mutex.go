package base

import "context"

// ContextMutex is a mutex whose Lock returns early when a context ends. It is
// used where the lock is held during disk operations: a synctest bubble treats a
// goroutine that waits for it as durably blocked, unlike one that waits for a
// sync.Mutex.
type ContextMutex chan struct{}

// NewContextMutex returns an unlocked mutex.
func NewContextMutex() ContextMutex { return make(ContextMutex, 1) }

// Lock waits for the mutex. It returns true once the caller holds it, or false if
// ctx ended first.
func (m ContextMutex) Lock(ctx context.Context) bool {
	select {
	case m <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// Unlock releases the mutex. Only its holder may call it.
func (m ContextMutex) Unlock() { <-m }
