package judge

import (
	"maps"
	"slices"
	"time"

	"curlewreach/proto/wire"
)

// acceptedAcks returns the acknowledgements of accepted bundles.
func (c *ruleCheck) acceptedAcks() []Ack {
	return slices.DeleteFunc(slices.Clone(c.acks), func(ack Ack) bool { return ack.Verdict != wire.Verdict_TAKEN })
}

func checkInForce(c *ruleCheck) {
	reported := map[string]bool{}
	for _, ack := range c.acceptedAcks() {
		c.checkAckInForce(ack, reported)
	}
}

// checkAckInForce checks everything observed later than Bounds.InForce after ack. The nodes in reported were already
// reported as not ready.
func (c *ruleCheck) checkAckInForce(ack Ack, reported map[string]bool) {
	deadline := ack.At + c.InForce
	for _, run := range c.runs {
		if run.At > deadline {
			c.checkRunInForce(ack, run)
		}
	}
	for _, sent := range c.sent {
		if sent.At > deadline && sent.Serial < ack.Serial {
			c.addViolation("%s sent under %d, %s after %d was acked", sent.Node, sent.Serial, sent.At-ack.At, ack.Serial)
		}
	}
	for _, sample := range c.samples {
		if sample.At > deadline {
			c.checkSampleInForce(ack, sample, reported)
		}
	}
}

func (c *ruleCheck) checkRunInForce(ack Ack, run Run) {
	c.addChecked()
	if run.Serial < ack.Serial {
		c.addViolation("%s ran under %d, %s after %d was acked", run.ID, run.Serial, run.At-ack.At, ack.Serial)
	}
}

// checkSampleInForce checks a sample taken later than Bounds.InForce after ack. A node that isn't ready although the
// fleet is undisturbed is reported once. Around another acknowledgement a node may be not ready for a moment, while it
// takes over the next bundle.
func (c *ruleCheck) checkSampleInForce(ack Ack, sample Sample, reported map[string]bool) {
	c.addChecked()
	switch {
	case sample.Ready && sample.Serial < ack.Serial:
		c.addViolation("%s would serve under %d, %s after %d was acked", sample.Node, sample.Serial, sample.At-ack.At, ack.Serial)
	case sample.Calm && !sample.Ready && !reported[sample.Node] && !c.ackNear(sample.At):
		reported[sample.Node] = true
		c.addViolation("%s is not ready although the fleet is undisturbed, %s after %d was acked", sample.Node, sample.At-ack.At, ack.Serial)
	}
}

// ackNear reports whether any outcome was reported less than Bounds.InForce before or after a time.
func (c *ruleCheck) ackNear(at time.Duration) bool {
	return slices.ContainsFunc(c.acks, func(ack Ack) bool { return max(at-ack.At, ack.At-at) <= c.InForce })
}

func checkNoRegression(c *ruleCheck) {
	uses := newFirstUses(c.runs)
	for _, run := range c.runs {
		c.checkRegression(uses, run.ID+" arrived", run.Serial, run.At)
	}
	for _, sent := range c.sent {
		c.checkRegression(uses, sent.Node+" sent", sent.Serial, sent.At)
	}
	for _, sample := range c.samples {
		if sample.Ready {
			c.checkRegression(uses, sample.Node+" would serve", sample.Serial, sample.At)
		}
	}
}

// firstUses holds the serial numbers that upstreams saw, in ascending order, and when each was first seen.
type firstUses struct {
	first   map[uint64]time.Duration
	serials []uint64
}

// newFirstUses expects runs sorted by time.
func newFirstUses(runs []Run) firstUses {
	first := map[uint64]time.Duration{}
	for _, run := range runs {
		if _, seen := first[run.Serial]; !seen {
			first[run.Serial] = run.At
		}
	}
	return firstUses{first, slices.Sorted(maps.Keys(first))}
}

// checkRegression checks the use of a serial number against each newer one that an upstream saw earlier. The use of the
// newest one counts as checked too, so that the rule isn't vacuous in a run without late uses.
func (c *ruleCheck) checkRegression(uses firstUses, subject string, serial uint64, at time.Duration) {
	for _, newer := range uses.serials {
		if newer <= serial || at <= uses.first[newer] {
			continue
		}
		c.addChecked()
		if at-uses.first[newer] > c.RegressionGrace {
			c.addViolation("%s under %d, %s after %d was seen", subject, serial, at-uses.first[newer], newer)
		}
	}
	if len(uses.serials) > 1 && serial == uses.serials[len(uses.serials)-1] {
		c.addChecked()
	}
}

func checkSingleAck(c *ruleCheck) {
	final := map[string]wire.Verdict{}
	ackedBy := map[uint64]string{}
	for _, ack := range c.acks {
		if ack.Submission == "" || ack.Verdict == wire.Verdict_UNKNOWN {
			continue
		}
		c.addChecked()
		if earlier, known := final[ack.Submission]; known && earlier != ack.Verdict {
			c.addViolation("%s was %s, then %s", ack.Submission, earlier, ack.Verdict)
		}
		final[ack.Submission] = ack.Verdict
		if ack.Verdict != wire.Verdict_TAKEN {
			continue
		}
		if other, known := ackedBy[ack.Serial]; known && other != ack.Submission {
			c.addViolation("%s and %s were both acked as %d", other, ack.Submission, ack.Serial)
		}
		ackedBy[ack.Serial] = ack.Submission
	}
}

func checkRejectedNotInForce(c *ruleCheck) {
	if len(c.acks) == 0 {
		return
	}
	rejected, serials := c.rejectedAndAcked()
	for _, sample := range c.samples {
		if submission := rejected[sample.Digest]; sample.Digest != "" && submission != "" {
			c.addViolation("%s holds the bundle of the rejected %s", sample.Node, submission)
		}
	}
	for _, run := range c.runs {
		if !serials[run.Serial] {
			c.addViolation("%s ran under %d, which was never acked", run.ID, run.Serial)
		}
	}
}

// rejectedAndAcked returns the submissions whose bundles were only ever rejected, by the bundle's digest, and the serial
// numbers that were or may have been acknowledged.
func (c *ruleCheck) rejectedAndAcked() (rejected map[string]string, serials map[uint64]bool) {
	rejected, serials = map[string]string{}, map[uint64]bool{}
	mayBeInForce := map[string]bool{}
	for _, ack := range c.acks {
		signed, known := c.signed[ack.Submission]
		if ack.Verdict == wire.Verdict_BOUNCED {
			c.addChecked()
			if known {
				rejected[signed.digest] = ack.Submission
			}
			continue
		}
		serials[ack.Serial] = true
		if known {
			mayBeInForce[signed.digest] = true
			serials[signed.base+1] = true
		}
	}
	maps.DeleteFunc(rejected, func(digest, _ string) bool { return mayBeInForce[digest] })
	return rejected, serials
}

func checkDurability(c *ruleCheck) {
	for _, readback := range c.readbacks {
		newest, submission := uint64(0), ""
		for _, ack := range c.acceptedAcks() {
			if ack.At < readback.At && ack.Serial >= newest {
				newest, submission = ack.Serial, ack.Submission
			}
		}
		if newest == 0 {
			continue
		}
		c.addChecked()
		switch {
		case readback.Reason != "":
			c.addViolation("%s: %s", readback.Disk, readback.Reason)
		case readback.Serial < newest:
			c.addViolation("%s has %d, but %d was acked", readback.Disk, readback.Serial, newest)
		case readback.Serial == newest && c.signed[submission].body != nil && string(readback.Body) != string(c.signed[submission].body):
			c.addViolation("%s has %d, but not as it was signed", readback.Disk, readback.Serial)
		}
	}
}
