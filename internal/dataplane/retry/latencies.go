package retry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"curlewreach/proto/wire"
)

// MinSamples is how many answers of a route are needed to tell a long wait.
const MinSamples = 20

const (
	// usualMemory is the weight of the newest answer in the averages.
	usualMemory = 0.05
	// usualSpread, times the mean deviation above the mean, is a latency that few requests reach.
	usualSpread = 5
)

// latency is what is known of a route, in seconds.
type latency struct {
	mean float64
	off  float64 // mean deviation
	seen int
	left float64 // the longest time that a client gave
}

// Latencies learns how long requests of a route take and how long their clients give them. It is safe for concurrent use.
type Latencies struct {
	mu        sync.Mutex
	latencies map[string]*latency
}

// NewLatencies knows nothing yet.
func NewLatencies() *Latencies { return &Latencies{latencies: map[string]*latency{}} }

func (u *Latencies) at(route string) *latency {
	p := u.latencies[route]
	if p == nil {
		p = &latency{}
		u.latencies[route] = p
	}
	return p
}

// Record folds in one answered request.
func (u *Latencies) Record(route string, took time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	p, s := u.at(route), took.Seconds()
	if p.seen == 0 {
		p.mean, p.off = s, s/2
	}
	p.seen++
	memory := max(usualMemory, 1/float64(p.seen))
	off := s - p.mean
	p.mean += memory * off
	p.off += memory * (max(off, -off) - p.off)
}

// Mean is the usual length, other while too little was seen.
func (u *Latencies) Mean(route string, other time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	if p := u.at(route); p.seen > 0 {
		return time.Duration(p.mean * float64(time.Second))
	}
	return other
}

// SlowThreshold is a length that few requests reach; zero while too little was seen.
func (u *Latencies) SlowThreshold(route string) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.at(route)
	if p.seen < MinSamples {
		return 0
	}
	return time.Duration(max(p.mean+usualSpread*p.off, 2*p.mean) * float64(time.Second))
}

// TimeLeftRatio is the share of its usual time that a client still has; a client who asks again has less than all.
func (u *Latencies) TimeLeftRatio(route string, left time.Duration) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	p := u.at(route)
	p.left = max(p.left, left.Seconds())
	return left.Seconds() / p.left
}

// View lists the latencies by route, for operators.
func (u *Latencies) View() (latencies []*wire.LatencyView) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, route := range slices.Sorted(maps.Keys(u.latencies)) {
		p := u.latencies[route]
		view := &wire.LatencyView{Route: route, MeanMs: 1000 * p.mean, Seen: uint64(p.seen)}
		if p.seen >= MinSamples {
			view.LongMs = 1000 * max(p.mean+usualSpread*p.off, 2*p.mean)
		}
		latencies = append(latencies, view)
	}
	return latencies
}
