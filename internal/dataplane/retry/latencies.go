package retry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"curlewreach/proto/wire"
)

// MinSamples is the number of responses of a route that are needed before SlowThreshold returns a value.
const MinSamples = 20

const (
	// latencySmoothing is the weight of the newest response in the averages; it is higher while there are few
	// samples.
	latencySmoothing = 0.05
	// slowDeviations is how many mean deviations above the mean a latency counts as slow; few requests reach
	// it.
	slowDeviations = 5
)

// routeLatency holds the statistics of a route; times are in seconds.
type routeLatency struct {
	mean      float64
	deviation float64 // mean deviation
	samples   int
}

// Latencies keeps statistics of how long requests of each route take. It is safe for concurrent use.
type Latencies struct {
	mu     sync.Mutex
	routes map[string]*routeLatency
}

// NewLatencies returns statistics without samples.
func NewLatencies() *Latencies { return &Latencies{routes: map[string]*routeLatency{}} }

// forRoute returns the statistics of a route and adds them if there are none. The caller must hold l.mu.
func (l *Latencies) forRoute(route string) *routeLatency {
	stats := l.routes[route]
	if stats == nil {
		stats = &routeLatency{}
		l.routes[route] = stats
	}
	return stats
}

// Record adds the latency of an answered request.
func (l *Latencies) Record(route string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats, seconds := l.forRoute(route), took.Seconds()
	if stats.samples == 0 {
		stats.mean, stats.deviation = seconds, seconds/2
	}
	stats.samples++
	weight := max(latencySmoothing, 1/float64(stats.samples))
	deviation := seconds - stats.mean
	stats.mean += weight * deviation
	stats.deviation += weight * (max(deviation, -deviation) - stats.deviation)
}

// Mean returns the average latency of a route; 0 if there is no sample.
func (l *Latencies) Mean(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.forRoute(route).mean * float64(time.Second))
}

// Sufficient returns a time within which most requests of a route end, the mean and one mean deviation; 0 if there is
// no sample.
func (l *Latencies) Sufficient(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.forRoute(route)
	return time.Duration((stats.mean + stats.deviation) * float64(time.Second))
}

// SlowThreshold returns a latency that few requests of the route reach; 0 if there are fewer than MinSamples
// samples.
func (l *Latencies) SlowThreshold(route string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.forRoute(route)
	if stats.samples < MinSamples {
		return 0
	}
	return time.Duration(max(stats.mean+slowDeviations*stats.deviation, 2*stats.mean) * float64(time.Second))
}

// View returns the statistics sorted by route, for operators.
func (l *Latencies) View() (latencies []*wire.LatencyView) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, route := range slices.Sorted(maps.Keys(l.routes)) {
		stats := l.routes[route]
		view := &wire.LatencyView{Route: route, MeanMs: 1000 * stats.mean, Seen: uint64(stats.samples)}
		if stats.samples >= MinSamples {
			view.LongMs = 1000 * max(stats.mean+slowDeviations*stats.deviation, 2*stats.mean)
		}
		latencies = append(latencies, view)
	}
	return latencies
}
