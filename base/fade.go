package base

import (
	"math"
	"time"
)

// Faded returns a measured value that counts less the older it is: in full up to halfLife, and half as much with each
// further one.
func Faded(value float64, age, halfLife time.Duration) float64 {
	if age <= halfLife {
		return value
	}
	return value * math.Exp2(1-age.Seconds()/halfLife.Seconds())
}
