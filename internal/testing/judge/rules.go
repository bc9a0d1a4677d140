package judge

import (
	"fmt"
	"maps"
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
		late := ack.At + a.InForce
		for _, run := range a.runs {
			if run.At > late {
				a.judged()
				if run.Serial < ack.Serial {
					a.found("%s ran under %d, %s after %d was acked", run.ID, run.Serial, run.At-ack.At, ack.Serial)
				}
			}
		}
		for _, sent := range a.sent {
			if sent.At > late && sent.Serial < ack.Serial {
				a.found("%s sent under %d, %s after %d was acked", sent.Node, sent.Serial, sent.At-ack.At, ack.Serial)
			}
		}
		for _, reading := range a.readings {
			if reading.At <= late {
				continue
			}
			a.judged()
			switch {
			case reading.Ready && reading.Serial < ack.Serial:
				a.found("%s would serve under %d, %s after %d was acked", reading.Node, reading.Serial, reading.At-ack.At, ack.Serial)
			case reading.Calm && !reading.Ready && !told[reading.Node] && !a.rolling(reading.At):
				told[reading.Node] = true
				a.found("%s serves nothing though all is calm, %s after %d was acked", reading.Node, reading.At-ack.At, ack.Serial)
			}
		}
	}
}

func (a *account) rolling(at time.Duration) bool {
	return slices.ContainsFunc(a.acks, func(ack Ack) bool { return max(at-ack.At, ack.At-at) <= a.InForce })
}

func slideBack(a *account) {
	first := map[uint64]time.Duration{}
	for _, run := range a.runs {
		if _, seen := first[run.Serial]; !seen {
			first[run.Serial] = run.At
		}
	}
	serials := slices.Sorted(maps.Keys(first))
	judge := func(what string, serial uint64, at time.Duration) {
		for _, newer := range serials {
			if newer > serial && at > first[newer] {
				a.judged()
				if at-first[newer] > a.SlideBack {
					a.found("%s under %d, %s after %d was seen", what, serial, at-first[newer], newer)
				}
			}
		}
		if len(serials) > 1 && serial == serials[len(serials)-1] {
			a.judged()
		}
	}
	for _, run := range a.runs {
		judge(run.ID+" arrived", run.Serial, run.At)
	}
	for _, sent := range a.sent {
		judge(sent.Node+" sent", sent.Serial, sent.At)
	}
	for _, reading := range a.readings {
		if reading.Ready {
			judge(reading.Node+" would serve", reading.Serial, reading.At)
		}
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
	out, in := map[string]string{}, map[string]bool{}
	serials := map[uint64]bool{}
	for _, ack := range a.acks {
		row, known := a.signed[ack.Submission]
		switch ack.Verdict {
		case wire.Verdict_BOUNCED:
			a.judged()
			if known {
				out[row.digest] = ack.Submission
			}
		default:
			serials[ack.Serial] = true
			if known {
				in[row.digest] = true
				serials[row.base+1] = true
			}
		}
	}
	for _, reading := range a.readings {
		if submission := out[reading.Digest]; reading.Digest != "" && submission != "" && !in[reading.Digest] {
			a.found("%s holds the bounced %s", reading.Node, submission)
		}
	}
	for _, run := range a.runs {
		if !serials[run.Serial] {
			a.found("%s ran under %d, which nobody acked", run.ID, run.Serial)
		}
	}
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
		var planned *Spell
		excused := false
		for _, spell := range a.spells {
			if !spell.overlaps(call.Begun, call.Ended) {
				continue
			}
			excused = excused || !spell.Planned
			if spell.Planned {
				planned = spell
			}
		}
		if planned == nil || excused {
			continue
		}
		a.judged()
		midway := call.Outcome == "unknown" && call.Kind != "expired" || call.Broken != "" && !strings.Contains(call.Broken, "refused")
		if midway {
			a.found("%s via %s in %s of %s: %s %s %s %s", call.ID, call.Via, planned.Cause, planned.Node, call.Broken, call.Outcome, call.Kind, call.Reason)
		}
	}
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
	for service, each := range services {
		allowance := a.allowance(service)
		start, firsts, again := 0, 0, 0
		for _, last := range each {
			if last.again {
				again++
				a.judged()
			} else {
				firsts++
			}
			for last.at-each[start].at > a.Window {
				if each[start].again {
					again--
				} else {
					firsts--
				}
				start++
			}
			over := float64(again) - a.Repeats*float64(firsts)
			worst = max(worst, over)
			if over > allowance {
				a.found("%s: %d repeats of %d first requests, allowance %.0f, at %s", service, again, firsts, allowance, last.at)
				break
			}
		}
	}
	a.verdict.Remark = fmt.Sprintf("(most above a fifth: %.1f; failed dials of further attempts, not bound: %d)", worst, dials)
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
	stretch = time.Second
	fewest  = 4
)

func returned(a *account) {
	slowest := time.Duration(0)
	for i, back := range a.returns {
		until := time.Duration(1 << 62)
		if i+1 < len(a.returns) {
			until = a.returns[i+1]
		}
		for _, spell := range a.spells {
			if !spell.Planned && spell.From > back {
				until = min(until, spell.From)
			}
		}
		asked, got := map[int]int{}, map[int]int{}
		last := 0
		for _, call := range a.calls {
			if call.Begun < back || call.Begun >= until-stretch {
				continue
			}
			at := int((call.Begun - back) / stretch)
			last = max(last, at)
			asked[at]++
			if call.Answered() {
				got[at]++
			}
		}
		for at := range last + 1 {
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
	}
	a.verdict.Remark = fmt.Sprintf("(a quarter back within %s)", slowest)
}
