// Command racerun runs ginkgo under the race detector, with the arguments given to it. The detector's own runtime fails at
// times in suites that run many goroutines in simulated time ("ThreadSanitizer: CHECK failed"). Such a process has not
// run its tests to the end, and no test has failed in it; its suite is run again, whole. Any other failure counts at once.
package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
)

// mostRuns bounds how often a suite is run because of the detector.
const mostRuns = 6

func main() {
	arguments, suites := os.Args[1:], []string{allSuites}
	for run := 1; ; run++ {
		code, output := ginkgo(arguments, suites)
		outcome, again := Classify(code, output, suites)
		if outcome == DetectorFailed && run < mostRuns {
			fmt.Printf("racerun: run %d: the race detector itself failed; running again: %v\n", run, again)
			suites = again
			continue
		}
		if outcome != Passed {
			os.Exit(1)
		}
		return
	}
}

// ginkgo runs the suites and returns its exit code and what it printed, which is passed on as well.
func ginkgo(arguments, suites []string) (exitCode int, output string) {
	// Without an interceptor, so that what a process printed last is not lost with it.
	all := append([]string{"tool", "ginkgo", "-p", "--race", "--keep-going", "--no-color", "--output-interceptor-mode=none"}, arguments...)
	command := exec.Command("go", append(all, suites...)...)
	var printed bytes.Buffer
	command.Stdout = io.MultiWriter(os.Stdout, &printed)
	command.Stderr = io.MultiWriter(os.Stderr, &printed)
	if err := command.Run(); err != nil {
		exitCode = max(command.ProcessState.ExitCode(), 1)
	}
	return exitCode, printed.String()
}
