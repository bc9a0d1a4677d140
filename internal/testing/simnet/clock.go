package simnet

import (
	"sync/atomic"
	"time"
)

// Clock is the simulated clock of one machine. It is safe for concurrent use.
type Clock struct {
	start  time.Time
	offset atomic.Int64
	frozen atomic.Bool
}

// NewClock returns a clock whose monotonic time counts from start.
func NewClock(start time.Time) *Clock { return &Clock{start: start} }

// Wall returns the time of the synctest bubble, shifted by all jumps so far.
func (c *Clock) Wall() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// Mono returns the time since the clock's start. Jumps don't affect it.
func (c *Clock) Mono() time.Duration { return time.Since(c.start) }

// Jump moves the wall clock forward by d, or back if d is negative.
func (c *Clock) Jump(d time.Duration) { c.offset.Add(int64(d)) }

// Freeze marks the machine's processes as frozen or running. It doesn't stop the clock.
func (c *Clock) Freeze(frozen bool) { c.frozen.Store(frozen) }

// Frozen reports whether the machine's processes are frozen.
func (c *Clock) Frozen() bool { return c.frozen.Load() }
