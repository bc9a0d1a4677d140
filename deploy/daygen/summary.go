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

// mostUnserved is the share of requests refused or failed above which a day fails its gate.
const mostUnserved = 0.6

// Report holds the fields of a bench's report on one day that its summary needs.
type Report struct {
	// Score is the weighted worth less prices.
	Score float64 `json:"G"`
	// Worth is the worth earned divided by the worth owed over the whole day.
	Worth    float64 `json:"served"`
	Unserved float64 `json:"unserved"`
	Fault    any     `json:"fault"`
	// Short names what lies below a floor of the gate.
	Short []any `json:"short"`
	// Breaks counts the breaks of each rule.
	Breaks map[string]any `json:"breaks"`
	// First tells the first breaks.
	First []Break `json:"first"`
	// Missed names duties that were missed.
	Missed []any `json:"missed"`
}

// Break is one break of a rule, as the bench tells it.
type Break struct {
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

// Broken tells whether a rule was broken or the day had a fault.
func (r Report) Broken() bool { return len(r.Breaks) > 0 || r.Fault != nil }

// GatePassed tells whether the day passes the gate.
func (r Report) GatePassed() bool {
	return !r.Broken() && len(r.Short) == 0 && r.Unserved <= mostUnserved
}

// Summary returns one line on the day.
func (r Report) Summary(name string) string {
	gate := "GATE failed"
	if r.GatePassed() {
		gate = "GATE passed"
	}
	parts := []string{fmt.Sprintf("%-30s %s, worth %.3f, score %.3f", name, gate, r.Worth, r.Score)}
	if len(r.Breaks) == 0 {
		parts = append(parts, "no rule broken")
	}
	for _, rule := range slices.Sorted(maps.Keys(r.Breaks)) {
		parts = append(parts, fmt.Sprintf("BROKEN %s: %v", rule, r.Breaks[rule]))
	}
	if r.Fault != nil {
		parts = append(parts, fmt.Sprintf("FAULT %v", r.Fault))
	}
	parts = appendList(parts, "short", r.Short)
	parts = appendList(parts, "missed", r.Missed)
	for _, first := range r.First {
		parts = append(parts, fmt.Sprintf("%s at %.3f s: %s", first.Rule, first.AtS, first.What))
	}
	return strings.Join(parts, "; ")
}

func appendList(parts []string, label string, list []any) []string {
	if len(list) == 0 {
		return parts
	}
	return append(parts, fmt.Sprintf("%s: %v", label, list))
}
