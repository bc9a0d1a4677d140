package main

import (
	"fmt"

	"github.com/onsi/ginkgo/v2/types"
	"github.com/pkg/errors"
)

// Verdict is what a run showed of a listed test.
type Verdict struct {
	Entry  Entry
	Failed bool
}

// String returns the line that CI prints for the test.
func (v Verdict) String() string {
	if v.Failed {
		return fmt.Sprintf("KNOWN RED, passed over: %s (cause: %s; %s)", v.Entry.Test, v.Entry.Cause, v.Entry.Issue)
	}
	return fmt.Sprintf("KNOWN RED PASSES, take it off the list: %s (%s)", v.Entry.Test, v.Entry.Issue)
}

// SpecVerdict looks an entry up in the reports of a run. It returns an error unless
// exactly one spec of that text ran to an end: a line that names no test, or
// several, must not pass over anything.
func SpecVerdict(entry Entry, reports []types.Report) (Verdict, error) {
	verdict := Verdict{Entry: entry}
	ran := 0
	for _, report := range reports {
		for _, spec := range report.SpecReports {
			if spec.FullText() != entry.Test || !spec.State.Is(types.SpecStatePassed|types.SpecStateFailureStates) {
				continue
			}
			ran++
			verdict.Failed = spec.State.Is(types.SpecStateFailureStates)
		}
	}
	if ran != 1 {
		return verdict, errors.Errorf("%d tests of this text ran, want 1: %q", ran, entry.Test)
	}
	return verdict, nil
}
