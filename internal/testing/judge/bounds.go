package judge

import "time"

// Bounds are the figures that the rules judge by.
type Bounds struct {
	// InForce is how long after its confirmation a bundle may take to be in
	// force everywhere.
	InForce time.Duration
	// SlideBack is how long after a bundle was first seen at an upstream an
	// older one may still be used.
	SlideBack time.Duration
	// Leaving is how long after it said so a leaving upstream may still get
	// requests.
	Leaving time.Duration
	// Window is the time over which repeats are counted.
	Window time.Duration
	// Recovery is how long after the machines' return service may be short.
	Recovery time.Duration
	// Repeats is the allowed ratio of repeats to first requests.
	Repeats float64
	// Quarter is the part of requests answered below which service is short.
	Quarter float64
}

// Brief returns the bounds of the project's brief.
func Brief() Bounds {
	return Bounds{
		InForce: 2 * time.Second, SlideBack: 250 * time.Millisecond, Leaving: 2 * time.Second,
		Window: 10 * time.Second, Recovery: 15 * time.Second, Repeats: 0.2, Quarter: 0.25,
	}
}
