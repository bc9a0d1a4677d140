package base

import "context"

type Latch chan struct{}

func NewLatch() Latch { return make(Latch, 1) }

func (l Latch) Take(ctx context.Context) bool {
	select {
	case l <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l Latch) Drop() { <-l }
