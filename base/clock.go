package base

import "time"

// Clock reads the wall clock and a monotonic clock. In simulations each machine
// has its own clock, which may have an offset or run at a different rate.
type Clock interface {
	// Wall returns the wall clock time, which may jump in either direction.
	Wall() time.Time
	// Mono returns the time since an arbitrary start. It never decreases, so
	// deadlines and timers use it.
	Mono() time.Duration
}

type realClock struct{ start time.Time }

// RealClock returns the operating system's clock. Its Mono counts from this call.
func RealClock() Clock { return realClock{time.Now()} }

func (c realClock) Wall() time.Time     { return time.Now() }
func (c realClock) Mono() time.Duration { return time.Since(c.start) }

// Milliseconds returns d in whole milliseconds, rounded down, or 0 if d is
// negative.
func Milliseconds(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

// ScaleDuration returns d multiplied by factor.
func ScaleDuration(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
