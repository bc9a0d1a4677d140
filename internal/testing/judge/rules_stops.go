package judge

import (
	"fmt"
	"math"
	"strings"
	"time"
)

func leavingOff(a *account) {
	for _, run := range a.runs {
		if !run.Leaving {
			continue
		}
		a.judged()
		if run.At-run.Left > a.LeavingGrace {
			a.found("%s at %s, %s after it said so", run.ID, run.Address, run.At-run.Left)
		}
	}
}

func (s Disturbance) overlaps(from, till time.Duration) bool {
	return s.From <= till && (s.Until < 0 || s.Until >= from)
}

func plannedStops(a *account) {
	for _, call := range a.calls {
		planned := a.plannedOnly(call)
		if planned == nil {
			continue
		}
		a.judged()
		midway := call.Outcome == "unknown" && call.Kind != "expired" || call.Broken != "" && !strings.Contains(call.Broken, "refused")
		if midway {
			a.found("%s via %s in %s of %s: %s %s %s %s", call.ID, call.Via, planned.Cause, planned.Node, call.Broken, call.Outcome, call.Kind, call.Reason)
		}
	}
}

// plannedOnly returns the last planned stop during a call, or nil if there was
// none, or trouble too.
func (a *account) plannedOnly(call Call) *Disturbance {
	var planned *Disturbance
	for _, spell := range a.spells {
		if !spell.overlaps(call.Started, call.Ended) {
			continue
		}
		if !spell.Planned {
			return nil
		}
		planned = spell
	}
	return planned
}

const (
	// stretch is the time over which answers are counted after a return.
	stretch = time.Second
	// fewest is the least number of requests in a stretch to judge it by.
	fewest = 4
)

func returned(a *account) {
	slowest := time.Duration(0)
	for i := range a.returns {
		slowest = max(slowest, a.returnedSince(a.returns[i], a.untilTrouble(i)))
	}
	a.verdict.Note = fmt.Sprintf("(a quarter back within %s)", slowest)
}

// untilTrouble returns when the time after a return ends: at the next return
// or the next trouble.
func (a *account) untilTrouble(i int) time.Duration {
	until := time.Duration(math.MaxInt64)
	if i+1 < len(a.returns) {
		until = a.returns[i+1]
	}
	for _, spell := range a.spells {
		if !spell.Planned && spell.From > a.returns[i] {
			until = min(until, spell.From)
		}
	}
	return until
}

// returnedSince judges the stretches between a return and until, and returns
// the end of the last short one.
func (a *account) returnedSince(back, until time.Duration) (slowest time.Duration) {
	asked, got := a.answers(back, until)
	for at := range asked {
		if asked[at] < fewest {
			continue
		}
		short := float64(got[at]) < a.MinAnswered*float64(asked[at])
		since := time.Duration(at) * stretch
		if short {
			slowest = max(slowest, since+stretch)
		}
		if since >= a.Recovery || !short {
			a.judged()
		}
		if since >= a.Recovery && short {
			a.found("%s after the return: %d of %d answered", since, got[at], asked[at])
		}
	}
	return slowest
}

// answers counts, by stretches since a return, the requests begun and those of
// them that were answered. The last stretch before until is left out.
func (a *account) answers(back, until time.Duration) (asked, got []int) {
	for _, call := range a.calls {
		if call.Started < back || call.Started >= until-stretch {
			continue
		}
		at := int((call.Started - back) / stretch)
		for at >= len(asked) {
			asked, got = append(asked, 0), append(got, 0)
		}
		asked[at]++
		if call.Answered() {
			got[at]++
		}
	}
	return asked, got
}
