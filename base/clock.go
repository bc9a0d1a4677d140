package base

import "time"

// Clock tells the time. Simulations give each machine a clock of its own, which
// may be off or run fast.
type Clock interface {
	// Wall returns the wall clock's time, which may jump.
	Wall() time.Time
	// Mono returns the time since an arbitrary start. It never goes back;
	// deadlines and timers are measured with it.
	Mono() time.Duration
}

type realClock struct{ born time.Time }

// RealClock returns the machine's clock. Mono counts from this call.
func RealClock() Clock { return realClock{time.Now()} }

func (c realClock) Wall() time.Time     { return time.Now() }
func (c realClock) Mono() time.Duration { return time.Since(c.born) }

// Milliseconds returns a duration in whole milliseconds; zero for a negative one.
func Milliseconds(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

// ScaleDuration returns a ratio of a bound.
func ScaleDuration(bound time.Duration, ratio float64) time.Duration {
	return time.Duration(float64(bound) * ratio)
}
