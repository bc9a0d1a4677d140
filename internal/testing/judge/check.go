// Package judge judges a history of a fleet of listed machines by the rules
// that must never be broken. The rules look only at what upstreams, visitors,
// operators and samplers saw; each tells how many things it judged, so that a
// run which judged nothing doesn't pass for a good one. docs/proof.md lists the
// rules.
package judge

import (
	"cmp"
	"fmt"
	"slices"
)

// The names of the rules.
const (
	// RunOnce: no request other than GET runs twice.
	RunOnce = "ran twice"
	// NotRun: a request told as not run didn't run.
	NotRun = "not run"
	// WholeAnswers: answers are complete and of the right request.
	WholeAnswers = "whole answers"
	// AllowedServices: a request runs only at a service that a signed bundle routes it
	// to.
	AllowedServices = "allowed services"
	// InForce: a confirmed bundle is in force everywhere in time.
	InForce = "in force"
	// NoRegression: nobody goes back to an older bundle.
	NoRegression = "slide back"
	// SingleAck: a submission has one outcome, and a serial number one submission.
	SingleAck = "one ack a base"
	// BouncedOut: what was refused is never in force.
	RejectedNotInForce = "bounced stay out"
	// LeavingUpstreams: a leaving upstream gets no new requests after a while.
	LeavingUpstreams = "leaving"
	// PlannedStops: a planned stop breaks no request.
	PlannedStops = "planned stops"
	// Repeats: repeats stay within their ratio and allowance.
	Repeats = "repeats"
	// Durability: the newest confirmed bundle is read back whole after a disk
	// loss.
	Durability = "read back"
	// Recovery: after a return, service is back in time.
	Recovery = "returns"
)

// account is a history being judged by one rule.
type account struct {
	*History
	Bounds
	verdict *Verdict
}

func (a *account) found(format string, args ...any) {
	a.verdict.Violations = append(a.verdict.Violations, fmt.Sprintf(format, args...))
}

func (a *account) judged() { a.verdict.Checked++ }

// Check judges the history by all rules and returns a verdict for each.
func Check(h *History, bounds Bounds) []Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	slices.SortStableFunc(h.runs, func(a, b Run) int { return cmp.Compare(a.At, b.At) })
	rules := []struct {
		name  string
		judge func(*account)
	}{
		{RunOnce, ranTwice},
		{NotRun, notRun},
		{WholeAnswers, wholeAnswers},
		{AllowedServices, allowedServices},
		{InForce, inForce},
		{NoRegression, slideBack},
		{SingleAck, oneAck},
		{RejectedNotInForce, rejectedOut},
		{LeavingUpstreams, leavingOff},
		{PlannedStops, plannedStops},
		{Repeats, repeats},
		{Durability, readBack},
		{Recovery, returned},
	}
	verdicts := make([]Verdict, len(rules))
	for i, rule := range rules {
		verdicts[i].Rule = rule.name
		rule.judge(&account{h, bounds, &verdicts[i]})
	}
	return verdicts
}

// Violations returns all violations, each with its rule's name.
func Violations(verdicts []Verdict) []string {
	var broken []string
	for _, verdict := range verdicts {
		for _, each := range verdict.Violations {
			broken = append(broken, verdict.Rule+": "+each)
		}
	}
	return broken
}

// Vacuous returns the rules, of those wanted, that found nothing to judge.
func Vacuous(verdicts []Verdict, wanted ...string) []string {
	var vacuous []string
	for _, verdict := range verdicts {
		if verdict.Checked == 0 && slices.Contains(wanted, verdict.Rule) {
			vacuous = append(vacuous, verdict.Rule)
		}
	}
	return vacuous
}
