package judge

import (
	"fmt"
	"time"
)

func (a *account) allowance(service string) float64 {
	most := 0.0
	for _, row := range a.signed {
		if row.bundle != nil {
			most = max(most, float64(row.bundle.Service(service).GetAllowance()))
		}
	}
	return most
}

type arrival struct {
	at    time.Duration
	again bool
}

// window counts the arrivals at a service within the last span of time.
type window struct {
	span          time.Duration
	arrivals      []arrival
	firsts, again int
}

func (w *window) count(each arrival, by int) {
	if each.again {
		w.again += by
	} else {
		w.firsts += by
	}
}

func (w *window) add(last arrival) {
	w.arrivals = append(w.arrivals, last)
	w.count(last, 1)
	for last.at-w.arrivals[0].at > w.span {
		w.count(w.arrivals[0], -1)
		w.arrivals = w.arrivals[1:]
	}
}

func repeats(a *account) {
	services := map[string][]arrival{}
	seen := map[string]bool{}
	for _, run := range a.runs {
		services[run.Service] = append(services[run.Service], arrival{run.At, seen[run.ID]})
		seen[run.ID] = true
	}
	worst, dials := 0.0, 0
	for _, dial := range a.dials {
		if dial.Attempt > 0 {
			dials++
		}
	}
	for service, arrivals := range services {
		worst = max(worst, a.repeatsOf(service, arrivals))
	}
	a.verdict.Note = fmt.Sprintf("(most above a fifth: %.1f; failed dials of further attempts, not bound: %d)", worst, dials)
}

// repeatsOf judges a service's arrivals up to the first violation, and returns
// the most repeats above the ratio.
func (a *account) repeatsOf(service string, arrivals []arrival) (worst float64) {
	allowance := a.allowance(service)
	counted := &window{span: a.RepeatWindow}
	for _, last := range arrivals {
		if last.again {
			a.judged()
		}
		counted.add(last)
		over := float64(counted.again) - a.RepeatRatio*float64(counted.firsts)
		worst = max(worst, over)
		if over > allowance {
			a.found("%s: %d repeats of %d first requests, allowance %.0f, at %s", service, counted.again, counted.firsts, allowance, last.at)
			return worst
		}
	}
	return worst
}
