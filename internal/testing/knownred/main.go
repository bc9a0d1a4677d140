// Command knownred lets CI pass although the tests listed in KNOWN-RED.txt fail, and only these. It reads the list from
// standard input.
//
//	knownred skip           prints the flags with which ginkgo runs all tests
//	                        except the listed ones, one per line
//	knownred rest [FLAGS]   runs the tests that ginkgo skips in addition: the
//	                        other test functions of packages with a listed one
//	knownred run            runs only the listed tests and prints their results
//	knownred soak           runs the listed soaks and prints their results
//
// All of them exit with status 1 if the list is malformed or too long. rest does so too if a test fails, and run if a
// line doesn't name exactly one test, and soak if a soak could not run. The failure of a listed test or soak is printed
// and doesn't affect the exit status.
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

// reportFile is the name of ginkgo's report in a temporary folder.
const reportFile = "report.json"

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: knownred skip|rest|run|soak < KNOWN-RED.txt")
		os.Exit(2)
	}
	if err := runCommand(os.Args[1], os.Args[2:], os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "KNOWN-RED.txt:", err)
		os.Exit(1)
	}
}

func runCommand(name string, flags []string, list io.Reader, out io.Writer) error {
	entries, err := ParseEntries(list)
	if err != nil {
		return err
	}
	tests := withoutSoaks(entries)
	switch name {
	case "skip":
		return printSkipFlags(tests, out)
	case "rest":
		return runOtherTests(tests, flags, out)
	case "run":
		return runListed(tests, out)
	case "soak":
		return runSoaks(entries, out, runSoakProgram)
	default:
		return errors.Errorf("unknown command %q", name)
	}
}

// printSkipFlags prints the flags for ginkgo: --skip for each listed spec, --skip-package for each package with a listed
// test function.
func printSkipFlags(entries []Entry, out io.Writer) error {
	for _, entry := range entries {
		if _, ok := entry.TestFunction(); !ok {
			fmt.Fprintln(out, "--skip="+entry.Pattern())
		}
	}
	skipped := testsByPackage(entries)
	if len(skipped) == 0 {
		return nil
	}
	packages, err := exec.Command("go", "list", "./...").Output()
	if err != nil {
		return errors.Wrap(err, "list the packages")
	}
	for _, folder := range slices.Sorted(maps.Keys(skipped)) {
		if err := checkSkipMatchesOne(folder, strings.Fields(string(packages))); err != nil {
			return err
		}
		fmt.Fprintln(out, "--skip-package="+folder)
	}
	return nil
}

// runListed runs the listed tests and prints their results.
func runListed(entries []Entry, out io.Writer) error {
	var specs []Entry
	var verdicts []Verdict
	for _, entry := range entries {
		test, ok := entry.TestFunction()
		if !ok {
			specs = append(specs, entry)
			continue
		}
		verdict, err := runTestFunction(entry, test, out)
		if err != nil {
			return err
		}
		verdicts = append(verdicts, verdict)
	}
	specVerdicts, err := runSpecs(specs, out)
	if err != nil {
		return err
	}
	for _, verdict := range append(verdicts, specVerdicts...) {
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

// runFocused runs the listed specs with ginkgo and returns its reports. Ginkgo's exit status is ignored: listed tests are
// expected to fail, and any other error leaves a spec without a result, which SpecVerdict reports.
func runFocused(entries []Entry, out io.Writer) ([]types.Report, error) {
	dir, err := os.MkdirTemp("", "knownred")
	if err != nil {
		return nil, errors.Wrap(err, "create a folder for the report")
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
		return nil, errors.Wrap(err, "start ginkgo")
	}
	body, err := os.ReadFile(filepath.Join(dir, reportFile))
	if err != nil {
		return nil, errors.Wrap(err, "ginkgo wrote no report")
	}
	var reports []types.Report
	return reports, errors.Wrap(json.Unmarshal(body, &reports), "parse the report")
}
