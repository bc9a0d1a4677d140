// Command knownred lets CI pass over the tests that KNOWN-RED.txt lists, and
// over these only. It reads the list from standard input.
//
//	knownred skip   prints ginkgo's --skip flags for the listed tests, a line
//	                each, so that all others run without them
//	knownred run    runs the listed tests alone and prints how each ended
//
// Both exit with 1 if the list is malformed or too long; run also does if a
// line doesn't name exactly one test. A listed test's own failure is printed
// and does not change the exit code.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/onsi/ginkgo/v2/types"
	"github.com/pkg/errors"
)

const reportFile = "report.json"

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: knownred skip|run < KNOWN-RED.txt")
		os.Exit(2)
	}
	if err := command(os.Args[1], os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "KNOWN-RED.txt:", err)
		os.Exit(1)
	}
}

func command(name string, list io.Reader, out io.Writer) error {
	entries, err := ParseEntries(list)
	if err != nil {
		return err
	}
	switch name {
	case "skip":
		for _, entry := range entries {
			fmt.Fprintln(out, "--skip="+entry.Pattern())
		}
		return nil
	case "run":
		return runListed(entries, out)
	default:
		return errors.Errorf("no command %q", name)
	}
}

// runListed runs the listed tests in all packages and prints their verdicts.
func runListed(entries []Entry, out io.Writer) error {
	if len(entries) == 0 {
		return nil
	}
	reports, err := runFocused(entries, out)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		verdict, err := Judge(entry, reports)
		if err != nil {
			return err
		}
		fmt.Fprintln(out, verdict)
	}
	return nil
}

// runFocused runs ginkgo over the listed tests and returns its reports.
// Ginkgo's exit code is not looked at: that a listed test fails is expected,
// and anything else that goes wrong leaves it without a result to judge.
func runFocused(entries []Entry, out io.Writer) ([]types.Report, error) {
	dir, err := os.MkdirTemp("", "knownred")
	if err != nil {
		return nil, errors.Wrap(err, "a folder for the report")
	}
	defer os.RemoveAll(dir)
	args := []string{"tool", "ginkgo", "-p", "--no-color", "--keep-going", "--json-report=" + reportFile, "--output-dir=" + dir}
	for _, entry := range entries {
		args = append(args, "--focus="+entry.Pattern())
	}
	ginkgo := exec.Command("go", append(args, "./...")...)
	ginkgo.Stdout, ginkgo.Stderr = out, out
	var exit *exec.ExitError
	if err := ginkgo.Run(); err != nil && !errors.As(err, &exit) {
		return nil, errors.Wrap(err, "starting ginkgo")
	}
	body, err := os.ReadFile(filepath.Join(dir, reportFile))
	if err != nil {
		return nil, errors.Wrap(err, "the run left no report")
	}
	var reports []types.Report
	return reports, errors.Wrap(json.Unmarshal(body, &reports), "reading the report")
}
