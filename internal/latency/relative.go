// Package latency keeps moving averages of how long responses take.
package latency

import (
	"math"
	"time"
)

const (
	// Usual is the relative latency of a peer that answers as fast as is usual.
	Usual = 1.0
	// smoothing is the weight of the newest response in the average.
	smoothing = 0.15
	// minSample and maxSample bound a single relative latency before it is averaged; minAverage and maxAverage bound the
	// average.
	minSample, maxSample   = 0.2, 5.0
	minAverage, maxAverage = 0.3, 4.0
	// halfLife is the time in which an average counts half as much: a peer that was slow gets a request again in time,
	// which shows whether it still is.
	halfLife = 3 * time.Second
)

// Relative is a moving average of a peer's latencies, each in proportion to the latency that is usual for its request.
// It counts in full for a while after the last response, and then returns to Usual. The zero value is that of a peer that
// has not answered yet. Times are readings of the monotonic clock.
type Relative struct {
	// excess is the average less Usual at recordedAt.
	excess     float64
	recordedAt time.Duration
}

// Average returns the average as far as it still counts.
func (r *Relative) Average(now time.Duration) float64 {
	age := now - r.recordedAt
	if age <= halfLife {
		return Usual + r.excess
	}
	return Usual + r.excess*math.Exp2(1-age.Seconds()/halfLife.Seconds())
}

// Record adds a response that took the given time, where usual is the usual one.
func (r *Relative) Record(took, usual, now time.Duration) {
	sample := min(max(took.Seconds()/usual.Seconds(), minSample), maxSample)
	average := r.Average(now)
	average += smoothing * (sample - average)
	r.excess, r.recordedAt = min(max(average, minAverage), maxAverage)-Usual, now
}
