package base

import (
	"sync"
	"time"
)

func Tick(s Scope, every time.Duration, do func(Scope)) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-s.Done():
			return
		case <-ticker.C:
			do(s)
		}
	}
}

func Drain[T any](s Scope, in <-chan T, do func(T)) {
	for {
		select {
		case <-s.Done():
			return
		case item := <-in:
			do(item)
		}
	}
}

func Await(s Scope, longest time.Duration, signals ...<-chan struct{}) bool {
	wakeup := time.NewTimer(longest)
	defer wakeup.Stop()
	var first, second <-chan struct{}
	if len(signals) > 0 {
		first = signals[0]
	}
	if len(signals) > 1 {
		second = signals[1]
	}
	select {
	case <-s.Done():
		return false
	case <-first:
		return true
	case <-second:
		return true
	case <-wakeup.C:
		return false
	}
}

type Bell struct {
	mu   sync.Mutex
	rung chan struct{}
}

func (b *Bell) Heard() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rung == nil {
		b.rung = make(chan struct{})
	}
	return b.rung
}

func (b *Bell) Ring() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rung != nil {
		close(b.rung)
		b.rung = nil
	}
}

type Crew struct{ wg sync.WaitGroup }

func (c *Crew) Go(do func()) { c.wg.Go(do) }

func (c *Crew) Wait() { c.wg.Wait() }

func All[T any](items []T, do func(T)) {
	var crew Crew
	for _, item := range items {
		crew.Go(func() { do(item) })
	}
	crew.Wait()
}
