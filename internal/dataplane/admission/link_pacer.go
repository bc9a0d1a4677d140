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
	// waiting counts the responses in Wait.
	waiting int
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

// Waiting returns the number of responses that wait until they may be written.
func (p *LinkPacer) Waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting
}

func (p *LinkPacer) countWaiting(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting += change
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
	p.countWaiting(1)
	defer p.countWaiting(-1)
	wakeup := time.NewTimer(wait)
	defer wakeup.Stop()
	select {
	case <-wakeup.C:
	case <-ctx.Done():
	}
}
