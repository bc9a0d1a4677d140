package main

import (
	"fmt"
	"io"
	"os/exec"
	"strings"

	"github.com/pkg/errors"
)

// soakCommand is how the test field of an entry begins if it is a run of the soak and not a test. Its arguments, the seed
// among them, follow.
const soakCommand = "target/soak"

// soakBroken is the exit status of the soak if a rule was broken.
const soakBroken = 1

// SoakArguments returns the arguments of the soak that the entry names, or false if it names a test.
func (e Entry) SoakArguments() ([]string, bool) {
	fields := strings.Fields(e.Test)
	if fields[0] != soakCommand {
		return nil, false
	}
	return fields[1:], true
}

// withoutSoaks returns the entries that name tests.
func withoutSoaks(entries []Entry) (tests []Entry) {
	for _, entry := range entries {
		if _, ok := entry.SoakArguments(); !ok {
			tests = append(tests, entry)
		}
	}
	return tests
}

// runSoaks runs the listed soaks with run, which returns the exit status, and prints their results. A soak that could
// not run is an error.
func runSoaks(entries []Entry, out io.Writer, run func(args []string, out io.Writer) (status int, err error)) error {
	for _, entry := range entries {
		args, ok := entry.SoakArguments()
		if !ok {
			continue
		}
		status, err := run(args, out)
		if err != nil || status != 0 && status != soakBroken {
			return errors.Errorf("%q could not run: status %d, %v", entry.Test, status, err)
		}
		fmt.Fprintln(out, Verdict{Entry: entry, Failed: status == soakBroken})
	}
	return nil
}

// runSoakProgram runs the built soak and returns its exit status.
func runSoakProgram(args []string, out io.Writer) (int, error) {
	soak := exec.Command(soakCommand, args...)
	soak.Stdout, soak.Stderr = out, out
	var exit *exec.ExitError
	if err := soak.Run(); err != nil && !errors.As(err, &exit) {
		return 0, errors.Wrap(err, "start the soak")
	}
	return soak.ProcessState.ExitCode(), nil
}
