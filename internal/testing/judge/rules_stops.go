package judge

import (
	"fmt"
	"math"
	"strings"
	"time"
)

func checkLeavingUpstreams(c *ruleCheck) {
	for _, run := range c.runs {
		if !run.Leaving {
			continue
		}
		c.addChecked()
		if run.At-run.Left > c.LeavingGrace {
			c.addViolation("%s at %s, %s after it announced leaving", run.ID, run.Address, run.At-run.Left)
		}
	}
}

// overlaps reports whether the disturbance overlaps a closed interval of time.
func (d Disturbance) overlaps(from, until time.Duration) bool {
	return d.From <= until && (d.Until < 0 || d.Until >= from)
}

// checkPlannedStops checks calls during which there was a planned stop and no other disturbance. A passed deadline or a
// refused connection is no violation.
func checkPlannedStops(c *ruleCheck) {
	for _, call := range c.calls {
		planned := c.plannedStopDuring(call)
		if planned == nil {
			continue
		}
		c.addChecked()
		interrupted := call.Outcome == "unknown" && call.Kind != "expired" || call.Broken != "" && !strings.Contains(call.Broken, "refused")
		if interrupted {
			c.addViolation("%s via %s in %s of %s: %s %s %s %s", call.ID, call.Via, planned.Cause, planned.Node, call.Broken, call.Outcome, call.Kind, call.Reason)
		}
	}
}

// plannedStopDuring returns the last planned stop during a call, or nil if there was none or if there was an unplanned
// disturbance too.
func (c *ruleCheck) plannedStopDuring(call Call) *Disturbance {
	var planned *Disturbance
	for _, disturbance := range c.disturbances {
		if !disturbance.overlaps(call.Started, call.Ended) {
			continue
		}
		if !disturbance.Planned {
			return nil
		}
		planned = disturbance
	}
	return planned
}

const (
	// recoveryInterval is the length of the intervals in which answers are counted after a return.
	recoveryInterval = time.Second
	// minCalls is the number of requests below which an interval isn't checked.
	minCalls = 4
)

func checkAllRecoveries(c *ruleCheck) {
	longest := time.Duration(0)
	for i := range c.returns {
		longest = max(longest, c.checkRecovery(c.returns[i], c.nextDisturbance(i)))
	}
	c.verdict.Note = fmt.Sprintf("(service recovered within %s)", longest)
}

// nextDisturbance returns the end of the time to check after a return: the next return or unplanned disturbance.
func (c *ruleCheck) nextDisturbance(i int) time.Duration {
	until := time.Duration(math.MaxInt64)
	if i+1 < len(c.returns) {
		until = c.returns[i+1]
	}
	for _, disturbance := range c.disturbances {
		if !disturbance.Planned && disturbance.From > c.returns[i] {
			until = min(until, disturbance.From)
		}
	}
	return until
}

// checkRecovery checks the intervals between a return and until. It returns the end of the last interval in which too
// few requests were answered, as the time since the return.
func (c *ruleCheck) checkRecovery(returned, until time.Duration) (lastShort time.Duration) {
	calls, answered := c.countAnswers(returned, until)
	for at := range calls {
		if calls[at] < minCalls {
			continue
		}
		short := float64(answered[at]) < c.MinAnswered*float64(calls[at])
		since := time.Duration(at) * recoveryInterval
		if short {
			lastShort = max(lastShort, since+recoveryInterval)
		}
		if since >= c.Recovery || !short {
			c.addChecked()
		}
		if since >= c.Recovery && short {
			c.addViolation("%s after the return: %d of %d answered", since, answered[at], calls[at])
		}
	}
	return lastShort
}

// countAnswers counts, for each interval since a return, the requests started in it and how many of these were answered.
// The last recoveryInterval before until is left out.
func (c *ruleCheck) countAnswers(returned, until time.Duration) (calls, answered []int) {
	for _, call := range c.calls {
		if call.Started < returned || call.Started >= until-recoveryInterval {
			continue
		}
		at := int((call.Started - returned) / recoveryInterval)
		for at >= len(calls) {
			calls, answered = append(calls, 0), append(answered, 0)
		}
		calls[at]++
		if call.Answered() {
			answered[at]++
		}
	}
	return calls, answered
}
