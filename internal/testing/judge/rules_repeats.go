package judge

import (
	"fmt"
	"time"
)

// allowance returns the largest allowance for a service's repeats in any signed bundle.
func (c *ruleCheck) allowance(service string) float64 {
	largest := 0.0
	for _, signed := range c.signed {
		if signed.bundle != nil {
			largest = max(largest, float64(signed.bundle.Service(service).GetAllowance()))
		}
	}
	return largest
}

// arrival is the arrival of a request at a service. It is repeated if the request's ID arrived before, at any service.
type arrival struct {
	at       time.Duration
	repeated bool
}

// slidingWindow counts the first and the repeated arrivals at a service within the last span of time.
type slidingWindow struct {
	span               time.Duration
	arrivals           []arrival
	distinct, repeated int
}

// adjust adds change to the count of the arrival's kind.
func (w *slidingWindow) adjust(arrival arrival, change int) {
	if arrival.repeated {
		w.repeated += change
	} else {
		w.distinct += change
	}
}

// add counts an arrival and drops those that lie more than span before it. Arrivals must be added in order of time.
func (w *slidingWindow) add(last arrival) {
	w.arrivals = append(w.arrivals, last)
	w.adjust(last, 1)
	for last.at-w.arrivals[0].at > w.span {
		w.adjust(w.arrivals[0], -1)
		w.arrivals = w.arrivals[1:]
	}
}

func checkRepeats(c *ruleCheck) {
	services := map[string][]arrival{}
	seen := map[string]bool{}
	for _, run := range c.runs {
		services[run.Service] = append(services[run.Service], arrival{run.At, seen[run.ID]})
		seen[run.ID] = true
	}
	largestExcess, failedRetries := 0.0, 0
	for _, dial := range c.failedDials {
		if dial.Attempt > 0 {
			failedRetries++
		}
	}
	for service, arrivals := range services {
		largestExcess = max(largestExcess, c.checkServiceRepeats(service, arrivals))
	}
	c.verdict.Note = fmt.Sprintf("(largest excess over the repeat ratio: %.1f; failed dials of further attempts, not bounded: %d)", largestExcess, failedRetries)
}

// checkServiceRepeats checks a service's arrivals up to the first violation and returns the largest number of repeats
// in excess of the ratio.
func (c *ruleCheck) checkServiceRepeats(service string, arrivals []arrival) (largestExcess float64) {
	allowance := c.allowance(service)
	recent := &slidingWindow{span: c.RepeatWindow}
	for _, last := range arrivals {
		if last.repeated {
			c.addChecked()
		}
		recent.add(last)
		excess := float64(recent.repeated) - c.RepeatRatio*float64(recent.distinct)
		largestExcess = max(largestExcess, excess)
		if excess > allowance {
			c.addViolation("%s: %d repeats of %d first requests, allowance %.0f, at %s", service, recent.repeated, recent.distinct, allowance, last.at)
			return largestExcess
		}
	}
	return largestExcess
}
