// Command racerun runs ginkgo under the race detector, with the arguments given to it. The detector's runtime itself
// sometimes fails in suites that run many goroutines in simulated time ("ThreadSanitizer: CHECK failed"). The process
// then ends without having run all of its tests, although none failed, and racerun runs the whole suite again. Any other
// failure makes racerun fail without a retry.
package main

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
)

// maxRuns is the maximum number of runs if the detector keeps failing.
const maxRuns = 6

func main() {
	arguments, suites := os.Args[1:], []string{allSuites}
	for run := 1; ; run++ {
		code, output := runGinkgo(arguments, suites)
		outcome, again := Classify(code, output, suites)
		if outcome == DetectorFailed && run < maxRuns {
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

// runGinkgo runs the suites and returns ginkgo's exit code and output. It also copies the output to its own.
func runGinkgo(arguments, suites []string) (exitCode int, output string) {
	// Ginkgo's output interceptor is disabled because it would lose the last output of a process that crashes.
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
