package judge

import (
	"cmp"
	"fmt"
	"slices"
)

const (
	RanTwice   = "ran twice"
	NotRun     = "not run"
	Whole      = "whole answers"
	Allowed    = "allowed services"
	InForce    = "in force"
	SlideBack  = "slide back"
	OneAck     = "one ack a base"
	BouncedOut = "bounced stay out"
	LeavingOff = "leaving"
	Stops      = "planned stops"
	Repeats    = "repeats"
	ReadBack   = "read back"
	Returns    = "returns"
)

type account struct {
	*History
	Bounds
	verdict *Verdict
}

func (a *account) found(format string, args ...any) {
	a.verdict.Found = append(a.verdict.Found, fmt.Sprintf(format, args...))
}

func (a *account) judged() { a.verdict.Judged++ }

func Check(h *History, bounds Bounds) []Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	slices.SortStableFunc(h.runs, func(a, b Run) int { return cmp.Compare(a.At, b.At) })
	rules := []struct {
		name  string
		judge func(*account)
	}{
		{RanTwice, ranTwice},
		{NotRun, notRun},
		{Whole, wholeAnswers},
		{Allowed, allowedServices},
		{InForce, inForce},
		{SlideBack, slideBack},
		{OneAck, oneAck},
		{BouncedOut, bouncedOut},
		{LeavingOff, leavingOff},
		{Stops, plannedStops},
		{Repeats, repeats},
		{ReadBack, readBack},
		{Returns, returned},
	}
	verdicts := make([]Verdict, len(rules))
	for i, rule := range rules {
		verdicts[i].Rule = rule.name
		rule.judge(&account{h, bounds, &verdicts[i]})
	}
	return verdicts
}

func Broken(verdicts []Verdict) []string {
	var broken []string
	for _, verdict := range verdicts {
		for _, each := range verdict.Found {
			broken = append(broken, verdict.Rule+": "+each)
		}
	}
	return broken
}

func Vacuous(verdicts []Verdict, wanted ...string) []string {
	var vacuous []string
	for _, verdict := range verdicts {
		if verdict.Judged == 0 && slices.Contains(wanted, verdict.Rule) {
			vacuous = append(vacuous, verdict.Rule)
		}
	}
	return vacuous
}
