package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// maxUnserved is the share of refused or failed requests above which a day fails the gate.
const maxUnserved = 0.6

// Report contains the fields of the bench's report on one day that the summary needs.
type Report struct {
	// Score is the weighted worth minus prices.
	Score float64 `json:"G"`
	// Worth is the worth earned as a share of the worth owed over the whole day.
	Worth float64 `json:"served"`
	// Unserved is the share of requests that were refused or failed.
	Unserved float64 `json:"unserved"`
	// Fault is set if the day had a fault.
	Fault any `json:"fault"`
	// BelowFloor names what is below a minimum of the gate.
	BelowFloor []any `json:"short"`
	// Violations counts the violations by rule.
	Violations map[string]any `json:"breaks"`
	// FirstViolations describes the first violations.
	FirstViolations []Violation `json:"first"`
	// Missed names the duties that the deployment missed.
	Missed []any `json:"missed"`
}

// Violation describes one violation of a rule, in the bench's words.
type Violation struct {
	AtS  float64 `json:"at_s"`
	Rule string  `json:"rule"`
	What string  `json:"what"`
}

// ReadReport reads a report as the bench writes it.
func ReadReport(from io.Reader) (Report, error) {
	var report Report
	if err := json.NewDecoder(from).Decode(&report); err != nil {
		return Report{}, errors.Wrap(err, "report of a day")
	}
	return report, nil
}

// Broken reports whether a rule was violated or the day had a fault.
func (r Report) Broken() bool { return len(r.Violations) > 0 || r.Fault != nil }

// GatePassed reports whether the day passes the gate.
func (r Report) GatePassed() bool {
	return !r.Broken() && len(r.BelowFloor) == 0 && r.Unserved <= maxUnserved
}

// Summary returns one line about the day.
func (r Report) Summary(name string) string {
	gate := "GATE failed"
	if r.GatePassed() {
		gate = "GATE passed"
	}
	parts := []string{fmt.Sprintf("%-30s %s, worth %.3f, score %.3f", name, gate, r.Worth, r.Score)}
	if len(r.Violations) == 0 {
		parts = append(parts, "no rule broken")
	}
	for _, rule := range slices.Sorted(maps.Keys(r.Violations)) {
		parts = append(parts, fmt.Sprintf("BROKEN %s: %v", rule, r.Violations[rule]))
	}
	if r.Fault != nil {
		parts = append(parts, fmt.Sprintf("FAULT %v", r.Fault))
	}
	parts = appendList(parts, "short", r.BelowFloor)
	parts = appendList(parts, "missed", r.Missed)
	for _, first := range r.FirstViolations {
		parts = append(parts, fmt.Sprintf("%s at %.3f s: %s", first.Rule, first.AtS, first.What))
	}
	return strings.Join(parts, "; ")
}

// appendList appends a labelled list unless it is empty.
func appendList(parts []string, label string, list []any) []string {
	if len(list) == 0 {
		return parts
	}
	return append(parts, fmt.Sprintf("%s: %v", label, list))
}
