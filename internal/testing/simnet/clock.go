package simnet

import (
	"sync/atomic"
	"time"
)

// Clock is one machine's clock.
type Clock struct {
	born time.Time
	skew atomic.Int64
	ice  atomic.Bool
}

// NewClock returns a clock whose Mono counts from born.
func NewClock(born time.Time) *Clock { return &Clock{born: born} }

// Wall returns the bubble's time with the jumps so far.
func (c *Clock) Wall() time.Time { return time.Now().Add(time.Duration(c.skew.Load())) }

// Mono returns the time since born, whatever the jumps.
func (c *Clock) Mono() time.Duration { return time.Since(c.born) }

// Jump sets the wall clock forward, or back if d is negative.
func (c *Clock) Jump(d time.Duration) { c.skew.Add(int64(d)) }

// Freeze marks the machine's processes as frozen or not.
func (c *Clock) Freeze(frozen bool) { c.ice.Store(frozen) }

// Frozen reports whether the machine's processes are frozen.
func (c *Clock) Frozen() bool { return c.ice.Load() }
