package judge

import (
	"maps"
	"slices"
	"time"

	"curlewreach/proto/wire"
)

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
func (a *account) readingInForce(ack Ack, reading Sample, told map[string]bool) {
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
		if at-seen.first[newer] > a.RegressionGrace {
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

func rejectedOut(a *account) {
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

// outcomes returns the submissions that were only ever rejected, by digest, and
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
