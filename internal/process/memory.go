package process

import (
	"runtime/metrics"
	"time"

	"curlewreach/base"
)

const (
	// memoryCheckInterval is the interval at which the memory of the process is compared with its limit.
	memoryCheckInterval = time.Second
	// highMemoryRatio of the limit is logged, so that a process that is killed for its memory has said so.
	highMemoryRatio = 0.8
	// highMemoryReminder is the time after which memory that stays high is logged again.
	highMemoryReminder = 10 * time.Second
	megabyte           = 1 << 20
)

// watchMemory logs when the memory of the process comes near the limit in its settings, until the scope ends.
func watchMemory(s base.Scope, settings any) {
	limited, has := settings.(interface{ GetMemoryMb() uint32 })
	if !has || limited.GetMemoryMb() == 0 {
		return
	}
	limit := uint64(limited.GetMemoryMb()) * megabyte
	loggedAt, logged := time.Duration(0), false
	base.Tick(s, memoryCheckInterval, func(s base.Scope) {
		held, now := heldMemory(), s.Clock.Mono()
		if float64(held) < highMemoryRatio*float64(limit) || logged && now-loggedAt < highMemoryReminder {
			return
		}
		loggedAt, logged = now, true
		s.Log.Warn("memory near its limit", "held_mb", held/megabyte, "limit_mb", limit/megabyte)
	})
}

// heldMemory returns the bytes that the Go runtime holds of the system.
func heldMemory() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}
