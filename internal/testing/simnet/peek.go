package simnet

import (
	"syscall"
	"time"
)

// Quiet says that nothing has come that was not read, neither bytes nor an end.
func (e *end) Quiet() bool {
	e.in.mu.Lock()
	defer e.in.mu.Unlock()
	return e.in.broken == nil && (len(e.in.packets) == 0 || e.in.packets[0].at.After(time.Now()))
}

// Unread counts the bytes sent that the other side has not read.
func (e *end) Unread() int {
	e.out.mu.Lock()
	defer e.out.mu.Unlock()
	return e.out.size
}

// Reset breaks both ways at once.
func (e *end) Reset() {
	e.out.fail(syscall.ECONNRESET)
	e.in.fail(syscall.ECONNRESET)
	_ = e.Close()
}

// Patience is how long this side waits for a machine that is silently gone.
func (e *end) Patience(d time.Duration) { e.patience.Store(int64(d)) }

func (e *end) abandon() {
	if d := time.Duration(e.patience.Load()); d > 0 {
		time.AfterFunc(d, func() { e.in.fail(syscall.ETIMEDOUT) })
	}
}
