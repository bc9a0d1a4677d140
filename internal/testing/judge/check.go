// Package judge checks the recorded history of a fleet of listed machines against the mesh's invariants. The rules only
// use what upstreams, clients, operators and samples of the nodes' state observed. Each rule counts what it checked, so
// that a run in which a rule had nothing to check isn't mistaken for a pass. docs/proof.md lists the rules.
package judge

import (
	"cmp"
	"fmt"
	"slices"
)

// The names of the rules.
const (
	// RunOnce requires that no request other than GET runs twice.
	RunOnce = "ran twice"
	// NotRun requires that a request which the mesh reported as not run never ran.
	NotRun = "not run"
	// WholeAnswers requires that an answer which a client took as complete is complete and answers its request.
	WholeAnswers = "whole answers"
	// AllowedServices requires that a request only runs at a service to which a signed bundle routes it.
	AllowedServices = "allowed services"
	// InForce requires that an acknowledged bundle is in force on every node within Bounds.InForce.
	InForce = "in force"
	// NoRegression requires that no older bundle is used after a newer one was seen, but for Bounds.RegressionGrace.
	NoRegression = "slide back"
	// SingleAck requires that a submission has one final outcome and that a serial number is acknowledged to one
	// submission only.
	SingleAck = "one ack a base"
	// RejectedNotInForce requires that a rejected bundle is never in force, nor one that was never acknowledged.
	RejectedNotInForce = "bounced stay out"
	// LeavingUpstreams requires that a leaving upstream gets no new requests after Bounds.LeavingGrace.
	LeavingUpstreams = "leaving"
	// PlannedStops requires that no request fails because of a planned stop.
	PlannedStops = "planned stops"
	// Repeats requires that repeated arrivals stay within Bounds.RepeatRatio plus the service's allowance.
	Repeats = "repeats"
	// Durability requires that core machines have the newest acknowledged bundle unaltered, also after one lost its
	// disk.
	Durability = "read back"
	// Recovery requires that requests are answered again within Bounds.Recovery after all machines are back.
	Recovery = "returns"
)

// ruleCheck is the check of a history against one rule.
type ruleCheck struct {
	*History
	Bounds
	verdict *Verdict
}

func (c *ruleCheck) addViolation(format string, args ...any) {
	c.verdict.Violations = append(c.verdict.Violations, fmt.Sprintf(format, args...))
}

// addChecked counts one thing that the rule applied to.
func (c *ruleCheck) addChecked() { c.verdict.Checked++ }

// Check checks the history against all rules and returns one verdict per rule. It sorts the history's runs by time.
func Check(h *History, bounds Bounds) []Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	slices.SortStableFunc(h.runs, func(a, b Run) int { return cmp.Compare(a.At, b.At) })
	rules := []struct {
		name  string
		check func(*ruleCheck)
	}{
		{RunOnce, checkRunOnce},
		{NotRun, checkNotRun},
		{WholeAnswers, checkWholeAnswers},
		{AllowedServices, checkAllowedServices},
		{InForce, checkInForce},
		{NoRegression, checkNoRegression},
		{SingleAck, checkSingleAck},
		{RejectedNotInForce, checkRejectedNotInForce},
		{LeavingUpstreams, checkLeavingUpstreams},
		{PlannedStops, checkPlannedStops},
		{Repeats, checkRepeats},
		{Durability, checkDurability},
		{Recovery, checkAllRecoveries},
	}
	verdicts := make([]Verdict, len(rules))
	for i, rule := range rules {
		verdicts[i].Rule = rule.name
		rule.check(&ruleCheck{h, bounds, &verdicts[i]})
	}
	return verdicts
}

// Violations returns the violations of all rules, each prefixed with the rule's name.
func Violations(verdicts []Verdict) []string {
	var violations []string
	for _, verdict := range verdicts {
		for _, each := range verdict.Violations {
			violations = append(violations, verdict.Rule+": "+each)
		}
	}
	return violations
}

// Vacuous returns those of the wanted rules that had nothing to check.
func Vacuous(verdicts []Verdict, wanted ...string) []string {
	var vacuous []string
	for _, verdict := range verdicts {
		if verdict.Checked == 0 && slices.Contains(wanted, verdict.Rule) {
			vacuous = append(vacuous, verdict.Rule)
		}
	}
	return vacuous
}
