package judge

import "time"

type Bounds struct {
	InForce   time.Duration
	SlideBack time.Duration
	Leaving   time.Duration
	Window    time.Duration
	Recovery  time.Duration
	Repeats   float64
	Quarter   float64
}

func Brief() Bounds {
	return Bounds{
		InForce: 2 * time.Second, SlideBack: 250 * time.Millisecond, Leaving: 2 * time.Second,
		Window: 10 * time.Second, Recovery: 15 * time.Second, Repeats: 0.2, Quarter: 0.25,
	}
}
