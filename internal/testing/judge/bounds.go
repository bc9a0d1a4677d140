package judge

import "time"

// Bounds are the limits that the rules check against.
type Bounds struct {
	// InForce is the longest time after its acknowledgement until a bundle is in force on every node.
	InForce time.Duration
	// RegressionGrace is how long an older bundle may still be used after an upstream first saw a newer one.
	RegressionGrace time.Duration
	// LeavingGrace is how long an upstream may still receive requests after it announced that it is leaving.
	LeavingGrace time.Duration
	// RepeatWindow is the length of the sliding window over which repeats are counted.
	RepeatWindow time.Duration
	// Recovery is how long after all machines are back fewer requests than MinAnswered may be answered.
	Recovery time.Duration
	// RepeatRatio is the allowed ratio of repeated arrivals to first arrivals of requests. A service's allowance comes
	// on top.
	RepeatRatio float64
	// MinAnswered is the fraction of requests that must be answered after Recovery.
	MinAnswered float64
}

// DefaultBounds returns the bounds of the project's requirements.
func DefaultBounds() Bounds {
	return Bounds{
		InForce: 2 * time.Second, RegressionGrace: 250 * time.Millisecond, LeavingGrace: 2 * time.Second,
		RepeatWindow: 10 * time.Second, Recovery: 15 * time.Second, RepeatRatio: 0.2, MinAnswered: 0.25,
	}
}
