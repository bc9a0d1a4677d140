package admission

import (
	"context"
	"sync"
	"time"

	"curlewreach/base"
)

const (
	// PacerBurst is how much unused link time may be saved up.
	PacerBurst = 20 * time.Millisecond

	// linkUtilization is the fraction of the link's bandwidth that responses may use.
	linkUtilization = 0.8
	// maxUnpacedBytes is the size of the largest response that never waits.
	maxUnpacedBytes = 16 << 10
	// sizeSmoothing is the weight of the newest response in the average response size of a route.
	sizeSmoothing = 0.05
)

// LinkPacer paces the responses that leave by this machine's link. Small responses are sent at once and large
// ones one after the other, so that neither they nor control traffic wait behind a saturated link. It is safe
// for concurrent use.
type LinkPacer struct {
	clock base.Clock
	// rate is in bytes per second; 0 disables pacing.
	rate float64
	mu   sync.Mutex
	// busyUntil is when the link has sent every response accepted so far, at the given rate.
	busyUntil time.Duration
	// pendingBytes is the expected total size of the responses reserved and not settled.
	pendingBytes float64
	// averageSizes holds the average response size in bytes by route.
	averageSizes map[string]float64
}

// NewLinkPacer returns a pacer for a link of the given megabits per second; 0 disables pacing.
func NewLinkPacer(clock base.Clock, mbps float64) *LinkPacer {
	return &LinkPacer{clock: clock, rate: mbps * linkUtilization * 1e6 / 8, averageSizes: map[string]float64{}}
}

// transmitTime returns how long the paced link takes for the given number of bytes.
func (p *LinkPacer) transmitTime(bytes float64) time.Duration {
	return time.Duration(bytes / p.rate * float64(time.Second))
}

// Backlog returns how long a large response would wait if it began now, reserved responses included.
func (p *LinkPacer) Backlog() time.Duration {
	if p.rate <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.busyUntil-p.clock.Mono(), 0) + p.transmitTime(p.pendingBytes)
}

// ExpectedWait returns how long a response of the route, which is ready after the given work, would wait for the link,
// and the longest wait that makes sense: while one response is sent, one other keeps the link in use, and more would only
// make all later ones wait longer. Both are 0 for responses that are not paced.
func (p *LinkPacer) ExpectedWait(route string, work time.Duration) (wait, longest time.Duration) {
	if !p.IsPaced(route) {
		return 0, 0
	}
	p.mu.Lock()
	size := p.averageSizes[route]
	p.mu.Unlock()
	return max(p.Backlog()-work, 0), p.transmitTime(size)
}

// Reserve accounts for a response of the route's average size until settle is called with its actual size, or
// with 0 if there was no response. Further calls of settle have no effect.
func (p *LinkPacer) Reserve(route string) (settle func(size int64)) {
	if p.rate <= 0 {
		return func(int64) {}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	estimate := p.averageSizes[route]
	p.pendingBytes += estimate
	var once sync.Once
	return func(size int64) {
		once.Do(func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.pendingBytes = max(p.pendingBytes-estimate, 0)
			if size > 0 {
				p.averageSizes[route] += sizeSmoothing * (float64(size) - p.averageSizes[route])
				if estimate == 0 {
					p.averageSizes[route] = float64(size)
				}
			}
		})
	}
}

// IsPaced reports whether responses of a route are usually large enough to be paced.
func (p *LinkPacer) IsPaced(route string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rate > 0 && p.averageSizes[route] > maxUnpacedBytes
}

// Wait accounts for a response of the given size and waits until it may be written or ctx is done. Responses
// of up to maxUnpacedBytes do not wait.
func (p *LinkPacer) Wait(ctx context.Context, bytes int64) {
	if p.rate <= 0 {
		return
	}
	p.mu.Lock()
	now := p.clock.Mono()
	p.busyUntil = max(p.busyUntil, now-PacerBurst) + p.transmitTime(float64(bytes))
	wait := p.busyUntil - p.transmitTime(float64(bytes)) - now
	p.mu.Unlock()
	if bytes <= maxUnpacedBytes || wait <= 0 {
		return
	}
	wakeup := time.NewTimer(wait)
	defer wakeup.Stop()
	select {
	case <-wakeup.C:
	case <-ctx.Done():
	}
}
