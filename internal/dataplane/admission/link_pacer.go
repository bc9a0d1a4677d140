package admission

import (
	"context"
	"sync"
	"time"

	"curlewreach/base"
)

const (
	// PacerBurst is how much of the link's time may be saved up.
	PacerBurst = 20 * time.Millisecond

	// pacerRatio is the part of the link that answers may fill.
	pacerRatio = 0.8
	// smallBytes is the largest answer that never waits.
	smallBytes = 16 << 10
	// sizeMemory is the weight of the newest answer in the average size of a route's answers.
	sizeMemory = 0.05
)

// LinkPacer paces what leaves by this machine's link: small answers at once, large ones one after the other, so that neither
// they nor control traffic wait behind a full link. It is safe for concurrent use.
type LinkPacer struct {
	clock base.Clock
	rate  float64
	mu    sync.Mutex
	free  time.Duration
	owed  float64
	sizes map[string]float64
}

// NewLinkPacer paces to a part of the link's megabits a second; zero paces nothing.
func NewLinkPacer(clock base.Clock, mbps float64) *LinkPacer {
	return &LinkPacer{clock: clock, rate: mbps * pacerRatio * 1e6 / 8, sizes: map[string]float64{}}
}

func (p *LinkPacer) spell(bytes float64) time.Duration {
	return time.Duration(bytes / p.rate * float64(time.Second))
}

// Backlog is how long an answer begun now would wait.
func (p *LinkPacer) Backlog() time.Duration {
	if p.rate <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.free-p.clock.Mono(), 0) + p.spell(p.owed)
}

// Reserve expects an answer of a route's usual size until settle is called with its size, 0 if there was none.
func (p *LinkPacer) Reserve(route string) (settle func(size int64)) {
	if p.rate <= 0 {
		return func(int64) {}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	expected := p.sizes[route]
	p.owed += expected
	var once sync.Once
	return func(size int64) {
		once.Do(func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.owed = max(p.owed-expected, 0)
			if size > 0 {
				p.sizes[route] += sizeMemory * (float64(size) - p.sizes[route])
				if expected == 0 {
					p.sizes[route] = float64(size)
				}
			}
		})
	}
}

// IsPaced tells whether a route's answers are usually paced.
func (p *LinkPacer) IsPaced(route string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rate > 0 && p.sizes[route] > smallBytes
}

// Wait waits until so many bytes may be written, or ctx ends.
func (p *LinkPacer) Wait(ctx context.Context, bytes int64) {
	if p.rate <= 0 {
		return
	}
	p.mu.Lock()
	now := p.clock.Mono()
	p.free = max(p.free, now-PacerBurst) + p.spell(float64(bytes))
	wait := p.free - p.spell(float64(bytes)) - now
	p.mu.Unlock()
	if bytes <= smallBytes || wait <= 0 {
		return
	}
	wakeup := time.NewTimer(wait)
	defer wakeup.Stop()
	select {
	case <-wakeup.C:
	case <-ctx.Done():
	}
}
