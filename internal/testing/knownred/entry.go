package main

import (
	"bufio"
	"io"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// maxEntries is the number of failing tests that may be listed at a time. The project's rules set the limit, because the
// tests of a longer list would no longer be fixed first.
const maxEntries = 3

// separator separates the fields of a line. A comma can't, as the texts of specs contain commas.
const separator = "|"

// Entry is one line of KNOWN-RED.txt: a test that fails because of a real fault that is not fixed yet.
type Entry struct {
	// Test is the full text of one ginkgo spec (the texts of its containers and its own, joined by single spaces), a test
	// function in the form folder/of/package.TestName, or a run of the soak in the form target/soak ARGUMENTS.
	Test string
	// Cause describes why the test fails.
	Cause string
	// Issue names the issue that tracks the fault.
	Issue string
}

// ParseEntries reads lines of the form "test | cause | issue" and ignores empty lines. It returns an error if a line
// doesn't have three non-empty fields, if a test is listed twice, or if there are more than maxEntries tests.
func ParseEntries(list io.Reader) ([]Entry, error) {
	var entries []Entry
	seen := map[string]bool{}
	scanner := bufio.NewScanner(list)
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" {
			continue
		}
		entry, err := parseEntry(line)
		if err != nil {
			return nil, errors.Wrapf(err, "line %d", number)
		}
		if seen[entry.Test] {
			return nil, errors.Errorf("line %d: the test is listed twice", number)
		}
		seen[entry.Test] = true
		entries = append(entries, entry)
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read the list")
	}
	if len(entries) > maxEntries {
		return nil, errors.Errorf("%d tests are listed, at most %d are allowed", len(entries), maxEntries)
	}
	return entries, nil
}

func parseEntry(line string) (Entry, error) {
	fields := strings.Split(line, separator)
	if len(fields) != 3 {
		return Entry{}, errors.Errorf("%d fields, want 3: test %s cause %s issue", len(fields), separator, separator)
	}
	for i, field := range fields {
		fields[i] = strings.TrimSpace(field)
		if fields[i] == "" {
			return Entry{}, errors.Errorf("field %d is empty", i+1)
		}
	}
	return Entry{Test: fields[0], Cause: fields[1], Issue: fields[2]}, nil
}

// Pattern returns the regular expression for ginkgo's --focus and --skip flags. Ginkgo matches it against the suite's
// description, a space and the spec's full text, so it is anchored at the end only.
func (e Entry) Pattern() string {
	return " " + regexp.QuoteMeta(e.Test) + "$"
}
