package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"curlewreach/mime"
	"curlewreach/proto/wire"
)

const (
	inForce   = 2 * time.Second
	slideBack = 250 * time.Millisecond
	leaving   = 2 * time.Second
	window    = 10 * time.Second
	allowance = 12
)

func Check(history *mime.History, acks *Acks) []string {
	runs, calls := history.Runs(), history.Calls()
	slices.SortFunc(runs, func(a, b mime.Run) int { return int(a.At - b.At) })
	var found []string
	found = append(found, runTwice(runs)...)
	found = append(found, ranAfterAll(runs, calls)...)
	found = append(found, notWhole(calls)...)
	found = append(found, wrongService(runs)...)
	found = append(found, slidBack(runs)...)
	found = append(found, lateInForce(runs, acks.All())...)
	found = append(found, stillLeaving(runs)...)
	found = append(found, tooManyRepeats(runs)...)
	found = append(found, neverAcked(runs, acks.All())...)
	return found
}

func repeatable(run mime.Run) bool { return run.Method == "GET" }

func runTwice(runs []mime.Run) []string {
	var found []string
	seen := map[string]bool{}
	for _, run := range runs {
		if seen[run.ID] && !repeatable(run) {
			found = append(found, "ran twice: "+run.ID+" "+run.Path)
		}
		seen[run.ID] = true
	}
	return found
}

func ranAfterAll(runs []mime.Run, calls []mime.Call) []string {
	ran := map[string]bool{}
	for _, run := range runs {
		ran[run.ID] = true
	}
	var found []string
	for _, call := range calls {
		if call.Outcome == "not-run" && ran[call.ID] {
			found = append(found, fmt.Sprintf("promised not run, yet ran: %s (%s)", call.ID, call.Kind))
		}
	}
	return found
}

func notWhole(calls []mime.Call) []string {
	var found []string
	for _, call := range calls {
		if strings.HasPrefix(call.Broken, "not whole") {
			found = append(found, call.ID+" "+call.Broken)
		}
	}
	return found
}

func wrongService(runs []mime.Run) []string {
	var found []string
	for _, run := range runs {
		if !strings.HasPrefix(run.Path, "/"+run.Service+"/") {
			found = append(found, fmt.Sprintf("reached another service: %s %s at %s", run.ID, run.Path, run.Service))
		}
	}
	return found
}

func slidBack(runs []mime.Run) []string {
	var found []string
	newest, since := uint64(0), time.Duration(0)
	for _, run := range runs {
		if run.Serial > newest {
			newest, since = run.Serial, run.At
		}
		if run.Serial < newest && run.At-since > slideBack {
			found = append(found, fmt.Sprintf("slid back: %s under %d, %s after %d was seen", run.ID, run.Serial, run.At-since, newest))
		}
	}
	return found
}

func lateInForce(runs []mime.Run, acks []Ack) []string {
	var found []string
	for _, ack := range acks {
		if ack.Outcome.Verdict != wire.Verdict_TAKEN {
			continue
		}
		for _, run := range runs {
			if run.At-ack.At > inForce && run.Serial < ack.Outcome.Serial {
				found = append(found, fmt.Sprintf("late in force: %s under %d, %s after %d was acked", run.ID, run.Serial, run.At-ack.At, ack.Outcome.Serial))
			}
		}
	}
	return found
}

func stillLeaving(runs []mime.Run) []string {
	var found []string
	for _, run := range runs {
		if run.Leaving && run.At-run.Left > leaving {
			found = append(found, fmt.Sprintf("still asked after leaving: %s at %s", run.ID, run.Seat))
		}
	}
	return found
}

func tooManyRepeats(runs []mime.Run) []string {
	var found []string
	services := map[string][]mime.Run{}
	for _, run := range runs {
		services[run.Service] = append(services[run.Service], run)
	}
	for service, each := range services {
		seen := map[string]bool{}
		again := make([]int, len(each))
		for i, run := range each {
			again[i] = run.Repeats
			if seen[run.ID] {
				again[i]++
			}
			seen[run.ID] = true
		}
		first, repeats := 0, 0
		for last := range each {
			repeats += again[last]
			for each[last].At-each[first].At > window {
				repeats -= again[first]
				first++
			}
			if asked := last - first + 1; float64(repeats) > 0.2*float64(asked)+allowance {
				found = append(found, fmt.Sprintf("repeats to %s: %d among %d", service, repeats, asked))
				break
			}
		}
	}
	return found
}

func neverAcked(runs []mime.Run, acks []Ack) []string {
	if len(acks) == 0 {
		return nil
	}
	var found []string
	taken := map[uint64]bool{}
	for _, ack := range acks {
		if ack.Outcome.Verdict != wire.Verdict_BOUNCED {
			taken[ack.Outcome.Serial] = true
		}
	}
	for _, run := range runs {
		if !taken[run.Serial] {
			found = append(found, fmt.Sprintf("in force with no ack: serial %d at %s", run.Serial, run.ID))
		}
	}
	return found
}
