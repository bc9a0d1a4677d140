package main

import "regexp"

// Outcome is how a run of ginkgo under the race detector ended.
type Outcome int

const (
	// Passed means: every suite passed.
	Passed Outcome = iota
	// Failed means: a test failed, a race was found, or nothing is known of why the run failed.
	Failed
	// DetectorFailed means: nothing but the race detector's own runtime failed, so that the run says nothing of some suites.
	DetectorFailed
)

// allSuites stands for the suites of all folders.
const allSuites = "./..."

// detectorExit is the exit status of a process whose race detector failed, and also of one in which it found a race.
const detectorExit = "66"

var (
	// detectorFailure is what the detector prints when a check of its own data fails. Races are reported otherwise.
	detectorFailure = regexp.MustCompile(`(?m)^\s*ThreadSanitizer: CHECK failed: tsan_\w+\.cpp:\d+ `)
	// testFailure is what tells that a test failed or a race was found.
	testFailure = regexp.MustCompile(`DATA RACE|\[(FAIL|FAILED|PANICKED|TIMEDOUT|INTERRUPTED|ABORTED)\]|--- FAIL|panic:|fatal error:`)
	// processEnd is how ginkgo tells the exit status of one of a suite's processes.
	processEnd = regexp.MustCompile(`(?m)^\s*exit status (\d+)$`)
	// failedSuites is ginkgo's list of the suites that failed, and failedSuite one line of it.
	failedSuites = regexp.MustCompile(`There were failures detected in the following suites:\n((?:\s+\S.*\n)+)`)
	failedSuite  = regexp.MustCompile(`(?m)^\s+\S+ (\./\S+)`)
	// color is an escape sequence of a terminal.
	color = regexp.MustCompile("\x1b\\[[0-9;]*m")
)

// Classify tells from the exit code and output of a run of some suites how it ended. Where only the detector failed, again
// lists the folders of the suites to run again.
func Classify(exitCode int, output string, suites []string) (outcome Outcome, again []string) {
	if exitCode == 0 {
		return Passed, nil
	}
	output = color.ReplaceAllString(output, "")
	failures := len(detectorFailure.FindAllString(output, -1))
	if failures == 0 || testFailure.MatchString(output) || !endedByDetector(output, failures) {
		return Failed, nil
	}
	again = listedSuites(output, suites)
	if len(again) == 0 || len(again) > failures {
		return Failed, nil
	}
	return DetectorFailed, again
}

// listedSuites reads the folders of the suites that failed. Ginkgo lists none if a single suite was run.
func listedSuites(output string, ran []string) (suites []string) {
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

// endedByDetector tells whether exactly so many processes ended by the detector, and no other process failed.
func endedByDetector(output string, failures int) bool {
	ended := 0
	for _, match := range processEnd.FindAllStringSubmatch(output, -1) {
		switch match[1] {
		case "0":
		case detectorExit:
			ended++
		default:
			return false
		}
	}
	return ended == failures
}
