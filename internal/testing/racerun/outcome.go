package main

import "regexp"

// Outcome is the result of a run of ginkgo under the race detector.
type Outcome int

const (
	// Passed means that every suite passed.
	Passed Outcome = iota
	// Failed means that a test failed, that a race was found, or that the run failed for an unknown reason.
	Failed
	// DetectorFailed means that only the race detector's runtime failed, so that some suites have no result.
	DetectorFailed
)

// allSuites is the package pattern for all suites.
const allSuites = "./..."

// detectorExitStatus is the exit status of a process whose race detector failed, and also of one in which the detector
// found a race.
const detectorExitStatus = "66"

var (
	// detectorFailure matches what the detector prints when a check of its own data fails. Reports of races look
	// different.
	detectorFailure = regexp.MustCompile(`(?m)^\s*ThreadSanitizer: CHECK failed: tsan_\w+\.cpp:\d+ `)
	// testFailure matches output that shows a failed test or a race.
	testFailure = regexp.MustCompile(`DATA RACE|\[(FAIL|FAILED|PANICKED|TIMEDOUT|INTERRUPTED|ABORTED)\]|--- FAIL|panic:|fatal error:`)
	// processEnd matches ginkgo's line with the exit status of one of a suite's processes.
	processEnd = regexp.MustCompile(`(?m)^\s*exit status (\d+)$`)
	// failedSuites matches ginkgo's list of the suites that failed, failedSuite one line of it.
	failedSuites = regexp.MustCompile(`There were failures detected in the following suites:\n((?:\s+\S.*\n)+)`)
	failedSuite  = regexp.MustCompile(`(?m)^\s+\S+ (\./\S+)`)
	// terminalEscape matches a terminal escape sequence for colors.
	terminalEscape = regexp.MustCompile("\x1b\\[[0-9;]*m")
)

// Classify determines the outcome of a run of some suites from its exit code and output. If only the detector failed,
// again lists the folders of the suites to run again. There may be at most as many as there were detector failures;
// otherwise a suite failed for another reason.
func Classify(exitCode int, output string, suites []string) (outcome Outcome, again []string) {
	if exitCode == 0 {
		return Passed, nil
	}
	output = terminalEscape.ReplaceAllString(output, "")
	failures := len(detectorFailure.FindAllString(output, -1))
	if failures == 0 || testFailure.MatchString(output) || !onlyDetectorExits(output, failures) {
		return Failed, nil
	}
	again = suitesToRerun(output, suites)
	if len(again) == 0 || len(again) > failures {
		return Failed, nil
	}
	return DetectorFailed, again
}

// suitesToRerun returns the folders of the suites that failed. If a single suite was run, ginkgo prints no list, and that
// suite is the one that failed.
func suitesToRerun(output string, ran []string) (suites []string) {
	list := failedSuites.FindStringSubmatch(output)
	switch {
	case list == nil && len(ran) == 1 && ran[0] != allSuites:
		return ran
	case list == nil:
		return nil
	}
	for _, match := range failedSuite.FindAllStringSubmatch(list[1], -1) {
		suites = append(suites, match[1])
	}
	return suites
}

// onlyDetectorExits reports whether exactly so many processes exited with the detector's status, and no process with any
// other status but 0.
func onlyDetectorExits(output string, failures int) bool {
	ended := 0
	for _, match := range processEnd.FindAllStringSubmatch(output, -1) {
		switch match[1] {
		case "0":
		case detectorExitStatus:
			ended++
		default:
			return false
		}
	}
	return ended == failures
}
