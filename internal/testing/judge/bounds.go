package judge

import "time"

// Bounds are the figures that the rules judge by.
type Bounds struct {
	// InForce is how long after its confirmation a bundle may take to be in
	// force everywhere.
	InForce time.Duration
	// RegressionGrace is how long after a bundle was first seen at an upstream an
	// older one may still be used.
	RegressionGrace time.Duration
	// LeavingGrace is how long after it said so a leaving upstream may still get
	// requests.
	LeavingGrace time.Duration
	// RepeatWindow is the time over which repeats are counted.
	RepeatWindow time.Duration
	// Recovery is how long after the machines' return service may be short.
	Recovery time.Duration
	// RepeatRatio is the allowed ratio of repeats to first requests.
	RepeatRatio float64
	// MinAnswered is the part of requests answered below which service is short.
	MinAnswered float64
}

// DefaultBounds returns the bounds of the project's brief.
func DefaultBounds() Bounds {
	return Bounds{
		InForce: 2 * time.Second, RegressionGrace: 250 * time.Millisecond, LeavingGrace: 2 * time.Second,
		RepeatWindow: 10 * time.Second, Recovery: 15 * time.Second, RepeatRatio: 0.2, MinAnswered: 0.25,
	}
}
