package main

import (
	"slices"
	"strings"
	"testing"
)

const (
	detectorLine = "  ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346 \"((exiting || thr->fast_state.epoch() == kEpochLast)) != (0)\" (0x0, 0x0) (tid=9879)\n"
	cleanEnd     = "Exit result of proc 1:\n  exit status 0\n"
	detectorEnd  = "Exit result of proc 2:\n  exit status 66\n"
	failedFleet  = "There were failures detected in the following suites:\n  \x1b[38;5;9mfleet\x1b[0m \x1b[38;5;243m./fleet\x1b[0m\n\nTest Suite Failed\n"
	failedTwo    = "There were failures detected in the following suites:\n  fleet ./fleet\n  open ./fleet/open\n\nTest Suite Failed\n"
)

func TestJudge(t *testing.T) {
	for _, row := range []struct {
		name    string
		code    int
		output  string
		outcome Outcome
		suites  []string
	}{
		{"all pass", 0, "Test Suite Passed\n", Passed, nil},
		{"a detector that fails in one suite", 1, cleanEnd + detectorLine + detectorEnd + failedFleet, DetectorFailed, []string{"./fleet"}},
		{"a detector that fails in two suites", 1, detectorLine + detectorEnd + detectorLine + detectorEnd + failedTwo, DetectorFailed, []string{"./fleet", "./fleet/open"}},
		{"a race", 1, "WARNING: DATA RACE\n" + detectorEnd + failedFleet, Failed, nil},
		{"a race beside a detector that fails", 1, "WARNING: DATA RACE\n" + detectorLine + detectorEnd + failedFleet, Failed, nil},
		{"a failed spec beside a detector that fails", 1, "• [FAILED] [0.1 seconds]\n" + detectorLine + detectorEnd + failedFleet, Failed, nil},
		{"a failed test function beside a detector that fails", 1, "--- FAIL: TestX (0.00s)\n" + detectorLine + detectorEnd + failedFleet, Failed, nil},
		{"a panic beside a detector that fails", 1, "panic: x\n" + detectorLine + detectorEnd + failedFleet, Failed, nil},
		{"a spec that timed out beside it", 1, "• [TIMEDOUT]\n" + detectorLine + detectorEnd + failedFleet, Failed, nil},
		{"another process that failed beside it", 1, "  exit status 2\n" + detectorLine + detectorEnd + failedFleet, Failed, nil},
		{"a process that ended by a race that was not printed", 1, detectorEnd + detectorLine + detectorEnd + failedFleet, Failed, nil},
		{"a second suite that failed for another reason", 1, detectorLine + detectorEnd + failedTwo, Failed, nil},
		{"no list of suites", 1, detectorLine + detectorEnd, Failed, nil},
		{"an exit with no word", 1, failedFleet, Failed, nil},
		{"a build that failed", 1, "Failed to compile fleet\n" + failedFleet, Failed, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			outcome, suites := Classify(row.code, row.output, []string{allSuites})
			if outcome != row.outcome || !slices.Equal(suites, row.suites) {
				t.Errorf("got %v %v, want %v %v; output:\n%s", outcome, suites, row.outcome, row.suites, strings.TrimSpace(row.output))
			}
		})
	}
}

func TestJudgeOfASingleSuite(t *testing.T) {
	ran := []string{"./fleet"}
	if outcome, again := Classify(1, detectorLine+detectorEnd+"Test Suite Failed\n", ran); outcome != DetectorFailed || !slices.Equal(again, ran) {
		t.Errorf("a detector that fails: got %v %v", outcome, again)
	}
	if outcome, _ := Classify(1, "• [FAILED]\n"+detectorLine+detectorEnd, ran); outcome != Failed {
		t.Errorf("a failed spec: got %v", outcome)
	}
}
