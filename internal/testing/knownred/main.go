// Command knownred lets CI pass over the tests that KNOWN-RED.txt lists, and
// over these only. It reads the list from standard input.
//
//	knownred skip           prints the flags by which ginkgo runs all tests but
//	                        the listed ones, a line each
//	knownred rest [FLAGS]   runs what ginkgo skips beside them: the other test
//	                        functions of packages with a listed function
//	knownred run            runs the listed tests alone and prints how each ended
//
// All exit with 1 if the list is malformed or too long. So does rest if a test
// fails, and run if a line doesn't name exactly one test; a listed test's own
// failure is printed and does not change the exit code.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2/types"
	"github.com/pkg/errors"
)

const reportFile = "report.json"

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: knownred skip|rest|run < KNOWN-RED.txt")
		os.Exit(2)
	}
	if err := command(os.Args[1], os.Args[2:], os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "KNOWN-RED.txt:", err)
		os.Exit(1)
	}
}

func command(name string, flags []string, list io.Reader, out io.Writer) error {
	entries, err := ParseEntries(list)
	if err != nil {
		return err
	}
	switch name {
	case "skip":
		return printSkips(entries, out)
	case "rest":
		return runRest(entries, flags, out)
	case "run":
		return runListed(entries, out)
	default:
		return errors.Errorf("no command %q", name)
	}
}

// printSkips prints ginkgo's flags.
func printSkips(entries []Entry, out io.Writer) error {
	for _, entry := range entries {
		if _, ok := entry.TestFunction(); !ok {
			fmt.Fprintln(out, "--skip="+entry.Pattern())
		}
	}
	skipped := goTests(entries)
	if len(skipped) == 0 {
		return nil
	}
	listed, err := exec.Command("go", "list", "./...").Output()
	if err != nil {
		return errors.Wrap(err, "listing the packages")
	}
	for _, folder := range slices.Sorted(maps.Keys(skipped)) {
		if err := checkSkipped(folder, strings.Fields(string(listed))); err != nil {
			return err
		}
		fmt.Fprintln(out, "--skip-package="+folder)
	}
	return nil
}

// runListed runs the listed tests and prints their verdicts.
func runListed(entries []Entry, out io.Writer) error {
	var specs []Entry
	var verdicts []Verdict
	for _, entry := range entries {
		test, ok := entry.TestFunction()
		if !ok {
			specs = append(specs, entry)
			continue
		}
		verdict, err := runGoTest(entry, test, out)
		if err != nil {
			return err
		}
		verdicts = append(verdicts, verdict)
	}
	judged, err := runSpecs(specs, out)
	if err != nil {
		return err
	}
	for _, verdict := range append(verdicts, judged...) {
		fmt.Fprintln(out, verdict)
	}
	return nil
}

// runSpecs runs the listed specs in all packages.
func runSpecs(entries []Entry, out io.Writer) (verdicts []Verdict, err error) {
	if len(entries) == 0 {
		return nil, nil
	}
	reports, err := runFocused(entries, out)
	if err != nil {
		return nil, err
	}
	for _, entry := range entries {
		verdict, err := SpecVerdict(entry, reports)
		if err != nil {
			return nil, err
		}
		verdicts = append(verdicts, verdict)
	}
	return verdicts, nil
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
