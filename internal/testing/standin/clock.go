package standin

import (
	"time"

	"golang.org/x/sys/unix"
)

type machineClock struct{}

func (machineClock) Wall() time.Time { return time.Now() }

func (machineClock) Mono() time.Duration {
	var at unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &at)
	return time.Duration(at.Nano())
}

func MachineClock() machineClock { return machineClock{} }
