package base

import "time"

type Clock interface {
	Wall() time.Time
	Mono() time.Duration
}

type realClock struct{ born time.Time }

func RealClock() Clock { return realClock{time.Now()} }

func (c realClock) Wall() time.Time     { return time.Now() }
func (c realClock) Mono() time.Duration { return time.Since(c.born) }
