package judge

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"curlewreach/proto/wire"
)

func ranTwice(a *account) {
	seen := map[string]bool{}
	for _, run := range a.runs {
		if run.Method == "GET" {
			continue
		}
		a.judged()
		if seen[run.ID] {
			a.found("%s %s at %s", run.ID, run.Path, run.Seat)
		}
		seen[run.ID] = true
	}
}

func notRun(a *account) {
	ran := map[string]bool{}
	for _, run := range a.runs {
		ran[run.ID] = true
	}
	for _, call := range a.calls {
		if call.Outcome != "not-run" {
			continue
		}
		a.judged()
		if ran[call.ID] {
			a.found("%s (%s) ran", call.ID, call.Kind)
		}
	}
}

func wholeAnswers(a *account) {
	for _, call := range a.calls {
		if call.Outcome == "" {
			a.judged()
		}
		if strings.HasPrefix(call.Broken, "not whole") {
			a.found("%s %s", call.ID, call.Broken)
		}
	}
}

func allowedServices(a *account) {
	for _, run := range a.runs {
		a.judged()
		if !strings.HasPrefix(run.Path, "/"+run.Service+"/") {
			a.found("%s %s reached %s", run.ID, run.Path, run.Service)
			continue
		}
		named := len(a.signed) == 0
		for _, row := range a.signed {
			if row.bundle != nil {
				way, known := row.bundle.Match(run.Method, run.Path)
				named = named || known && way.Service.Name == run.Service
			}
		}
		if !named {
			a.found("%s %s: no signed bundle names it", run.ID, run.Path)
		}
	}
}

func (a *account) taken() []Ack {
	return slices.DeleteFunc(slices.Clone(a.acks), func(ack Ack) bool { return ack.Verdict != wire.Verdict_TAKEN })
}

func inForce(a *account) {
	told := map[string]bool{}
	for _, ack := range a.taken() {
		a.ackInForce(ack, told)
	}
}

// ackInForce judges all that happened late after ack. The nodes in told were
// found to serve nothing.
func (a *account) ackInForce(ack Ack, told map[string]bool) {
	late := ack.At + a.InForce
	for _, run := range a.runs {
		if run.At > late {
			a.runInForce(ack, run)
		}
	}
	for _, sent := range a.sent {
		if sent.At > late && sent.Serial < ack.Serial {
			a.found("%s sent under %d, %s after %d was acked", sent.Node, sent.Serial, sent.At-ack.At, ack.Serial)
		}
	}
	for _, reading := range a.readings {
		if reading.At > late {
			a.readingInForce(ack, reading, told)
		}
	}
}

func (a *account) runInForce(ack Ack, run Run) {
	a.judged()
	if run.Serial < ack.Serial {
		a.found("%s ran under %d, %s after %d was acked", run.ID, run.Serial, run.At-ack.At, ack.Serial)
	}
}

// readingInForce judges a sample taken late after ack. That a node serves
// nothing though all is calm is told once a node.
func (a *account) readingInForce(ack Ack, reading Reading, told map[string]bool) {
	a.judged()
	switch {
	case reading.Ready && reading.Serial < ack.Serial:
		a.found("%s would serve under %d, %s after %d was acked", reading.Node, reading.Serial, reading.At-ack.At, ack.Serial)
	case reading.Calm && !reading.Ready && !told[reading.Node] && !a.rolling(reading.At):
		told[reading.Node] = true
		a.found("%s serves nothing though all is calm, %s after %d was acked", reading.Node, reading.At-ack.At, ack.Serial)
	}
}

func (a *account) rolling(at time.Duration) bool {
	return slices.ContainsFunc(a.acks, func(ack Ack) bool { return max(at-ack.At, ack.At-at) <= a.InForce })
}

func slideBack(a *account) {
	seen := newSightings(a.runs)
	for _, run := range a.runs {
		a.slid(seen, run.ID+" arrived", run.Serial, run.At)
	}
	for _, sent := range a.sent {
		a.slid(seen, sent.Node+" sent", sent.Serial, sent.At)
	}
	for _, reading := range a.readings {
		if reading.Ready {
			a.slid(seen, reading.Node+" would serve", reading.Serial, reading.At)
		}
	}
}

// sightings are the serials that upstreams saw, ascending, and when each was
// first seen.
type sightings struct {
	first   map[uint64]time.Duration
	serials []uint64
}

func newSightings(runs []Run) sightings {
	first := map[uint64]time.Duration{}
	for _, run := range runs {
		if _, seen := first[run.Serial]; !seen {
			first[run.Serial] = run.At
		}
	}
	return sightings{first, slices.Sorted(maps.Keys(first))}
}

// slid judges a use of a serial against each newer one seen before it.
func (a *account) slid(seen sightings, what string, serial uint64, at time.Duration) {
	for _, newer := range seen.serials {
		if newer <= serial || at <= seen.first[newer] {
			continue
		}
		a.judged()
		if at-seen.first[newer] > a.SlideBack {
			a.found("%s under %d, %s after %d was seen", what, serial, at-seen.first[newer], newer)
		}
	}
	if len(seen.serials) > 1 && serial == seen.serials[len(seen.serials)-1] {
		a.judged()
	}
}

func oneAck(a *account) {
	final := map[string]wire.Verdict{}
	winner := map[uint64]string{}
	for _, ack := range a.acks {
		if ack.Submission == "" || ack.Verdict == wire.Verdict_UNKNOWN {
			continue
		}
		a.judged()
		if prior, known := final[ack.Submission]; known && prior != ack.Verdict {
			a.found("%s was %s, then %s", ack.Submission, prior, ack.Verdict)
		}
		final[ack.Submission] = ack.Verdict
		if ack.Verdict != wire.Verdict_TAKEN {
			continue
		}
		if other, known := winner[ack.Serial]; known && other != ack.Submission {
			a.found("%s and %s were both acked as %d", other, ack.Submission, ack.Serial)
		}
		winner[ack.Serial] = ack.Submission
	}
}

func bouncedOut(a *account) {
	if len(a.acks) == 0 {
		return
	}
	out, serials := a.outcomes()
	for _, reading := range a.readings {
		if submission := out[reading.Digest]; reading.Digest != "" && submission != "" {
			a.found("%s holds the bounced %s", reading.Node, submission)
		}
	}
	for _, run := range a.runs {
		if !serials[run.Serial] {
			a.found("%s ran under %d, which nobody acked", run.ID, run.Serial)
		}
	}
}

// outcomes returns the submissions that were only ever bounced, by digest, and
// the serials that were or may have been acked.
func (a *account) outcomes() (out map[string]string, serials map[uint64]bool) {
	out, serials = map[string]string{}, map[uint64]bool{}
	in := map[string]bool{}
	for _, ack := range a.acks {
		row, known := a.signed[ack.Submission]
		if ack.Verdict == wire.Verdict_BOUNCED {
			a.judged()
			if known {
				out[row.digest] = ack.Submission
			}
			continue
		}
		serials[ack.Serial] = true
		if known {
			in[row.digest] = true
			serials[row.base+1] = true
		}
	}
	maps.DeleteFunc(out, func(digest, _ string) bool { return in[digest] })
	return out, serials
}

func leavingOff(a *account) {
	for _, run := range a.runs {
		if !run.Leaving {
			continue
		}
		a.judged()
		if run.At-run.Left > a.Leaving {
			a.found("%s at %s, %s after it said so", run.ID, run.Seat, run.At-run.Left)
		}
	}
}

func (s Spell) overlaps(from, till time.Duration) bool {
	return s.From <= till && (s.Till < 0 || s.Till >= from)
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
func (a *account) plannedOnly(call Call) *Spell {
	var planned *Spell
	for _, spell := range a.spells {
		if !spell.overlaps(call.Begun, call.Ended) {
			continue
		}
		if !spell.Planned {
			return nil
		}
		planned = spell
	}
	return planned
}

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
		if dial.Ordinal > 0 {
			dials++
		}
	}
	for service, arrivals := range services {
		worst = max(worst, a.repeatsOf(service, arrivals))
	}
	a.verdict.Remark = fmt.Sprintf("(most above a fifth: %.1f; failed dials of further attempts, not bound: %d)", worst, dials)
}

// repeatsOf judges a service's arrivals up to the first violation, and returns
// the most repeats above the ratio.
func (a *account) repeatsOf(service string, arrivals []arrival) (worst float64) {
	allowance := a.allowance(service)
	counted := &window{span: a.Window}
	for _, last := range arrivals {
		if last.again {
			a.judged()
		}
		counted.add(last)
		over := float64(counted.again) - a.Repeats*float64(counted.firsts)
		worst = max(worst, over)
		if over > allowance {
			a.found("%s: %d repeats of %d first requests, allowance %.0f, at %s", service, counted.again, counted.firsts, allowance, last.at)
			return worst
		}
	}
	return worst
}

func readBack(a *account) {
	for _, read := range a.readbacks {
		newest, submission := uint64(0), ""
		for _, ack := range a.taken() {
			if ack.At < read.At && ack.Serial >= newest {
				newest, submission = ack.Serial, ack.Submission
			}
		}
		if newest == 0 {
			continue
		}
		a.judged()
		switch {
		case read.Reason != "":
			a.found("%s: %s", read.Disk, read.Reason)
		case read.Serial < newest:
			a.found("%s reads %d, acked was %d", read.Disk, read.Serial, newest)
		case read.Serial == newest && a.signed[submission].body != nil && string(read.Body) != string(a.signed[submission].body):
			a.found("%s reads %d not as it was signed", read.Disk, read.Serial)
		}
	}
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
	a.verdict.Remark = fmt.Sprintf("(a quarter back within %s)", slowest)
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
		short := float64(got[at]) < a.Quarter*float64(asked[at])
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
		if call.Begun < back || call.Begun >= until-stretch {
			continue
		}
		at := int((call.Begun - back) / stretch)
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
