package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os/exec"
	"regexp"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// goTestName matches the field of a test that is no ginkgo spec, such as
// internal/replica.TestTermsAreNotUsedAgain.
var goTestName = regexp.MustCompile(`^([a-z0-9]+(?:/[a-z0-9]+)*)\.(Test\w+)$`)

// suiteStart is what ginkgo prints when a Go test runs a suite of specs.
const suiteStart = "Running Suite:"

// TestFunction is a test function in a package of the module.
type TestFunction struct {
	// Package is the package's folder, from the module's root.
	Package string
	Name    string
}

// TestFunction returns the test function that the entry names, or false if it names
// a ginkgo spec.
func (e Entry) TestFunction() (TestFunction, bool) {
	parts := goTestName.FindStringSubmatch(e.Test)
	if parts == nil {
		return TestFunction{}, false
	}
	return TestFunction{Package: parts[1], Name: parts[2]}, true
}

// goTests groups the listed test functions by package.
func goTests(entries []Entry) map[string][]string {
	names := map[string][]string{}
	for _, entry := range entries {
		if test, ok := entry.TestFunction(); ok {
			names[test.Package] = append(names[test.Package], test.Name)
		}
	}
	return names
}

// checkSkipped returns an error if ginkgo's --skip-package, which takes any
// package whose path contains the folder, would skip another package too.
func checkSkipped(folder string, packages []string) error {
	matching := slices.DeleteFunc(slices.Clone(packages), func(path string) bool { return !strings.Contains(path, folder) })
	if len(matching) != 1 {
		return errors.Errorf("%d packages have %q in their path, want 1: %v", len(matching), folder, matching)
	}
	return nil
}

// runRest runs the packages of listed test functions without these functions.
// Ginkgo skips such packages, as it can't skip single functions.
func runRest(entries []Entry, flags []string, out io.Writer) error {
	for folder, names := range goTests(entries) {
		args := append([]string{"test", "-count=1"}, flags...)
		test := exec.Command("go", append(args, "-skip=^("+strings.Join(names, "|")+")$", "./"+folder)...)
		test.Stdout, test.Stderr = out, out
		if err := test.Run(); err != nil {
			return errors.Wrapf(err, "the other tests of %s", folder)
		}
	}
	return nil
}

// runGoTest runs a listed test function and tells how it ended.
func runGoTest(entry Entry, test TestFunction, out io.Writer) (Verdict, error) {
	var events bytes.Buffer
	command := exec.Command("go", "test", "-count=1", "-json", "-run=^"+test.Name+"$", "./"+test.Package)
	command.Stdout, command.Stderr = &events, out
	var exit *exec.ExitError
	if err := command.Run(); err != nil && !errors.As(err, &exit) {
		return Verdict{}, errors.Wrap(err, "starting go test")
	}
	return TestFunctionVerdict(entry, test, &events, out)
}

// TestFunctionVerdict reads the events of "go test -json" and copies the test's output
// to out. It returns an error unless exactly one test of that name ran to an
// end, or if the test runs a suite of specs: of these, single ones are listed.
func TestFunctionVerdict(entry Entry, test TestFunction, events io.Reader, out io.Writer) (Verdict, error) {
	verdict, ran := Verdict{Entry: entry}, 0
	lines := bufio.NewScanner(events)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var event struct{ Action, Test, Output string }
		if json.Unmarshal(lines.Bytes(), &event) != nil {
			continue
		}
		_, _ = io.WriteString(out, event.Output)
		if strings.Contains(event.Output, suiteStart) {
			return verdict, errors.Errorf("%s runs a suite of specs; list a spec by its full text", entry.Test)
		}
		if event.Test == test.Name && (event.Action == "pass" || event.Action == "fail") {
			ran++
			verdict.Failed = event.Action == "fail"
		}
	}
	if err := lines.Err(); err != nil {
		return verdict, errors.Wrap(err, "reading go test's events")
	}
	if ran != 1 {
		return verdict, errors.Errorf("%d tests of this name ran, want 1: %q", ran, entry.Test)
	}
	return verdict, nil
}
