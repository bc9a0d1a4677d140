package standin

import (
	"time"

	"golang.org/x/sys/unix"

	"curlewreach/base"
)

type machineClock struct{}

func (machineClock) Wall() time.Time { return time.Now() }

func (machineClock) Mono() time.Duration {
	var at unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &at)
	return time.Duration(at.Nano())
}

// MachineClock returns a clock whose Mono is the machine's CLOCK_MONOTONIC, so that the histories of several processes on
// one machine can be merged.
func MachineClock() base.Clock { return machineClock{} }
