package main

import (
	"bufio"
	"io"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// maxEntries is the number of failing tests that may land at a time. The
// project's rules set it: a longer list would no longer be mended first.
const maxEntries = 3

// separator stands between the fields of a line. It is no comma, as the texts
// of specs contain commas.
const separator = "|"

// Entry is one line of KNOWN-RED.txt: a test that fails for a real fault which
// is not mended yet.
type Entry struct {
	// Test is the full text of one ginkgo spec (the texts of its containers and
	// its own, joined by single spaces), or a test function as
	// folder/of/package.TestName.
	Test string
	// Cause says what makes the test fail.
	Cause string
	// Issue names the issue under which the fault is mended.
	Issue string
}

// ParseEntries reads the lines "test | cause | issue". Empty lines are
// ignored. It returns an error if a line lacks a field, if a test stands
// twice, or if there are more than maxEntries lines.
func ParseEntries(list io.Reader) ([]Entry, error) {
	var entries []Entry
	seen := map[string]bool{}
	lines := bufio.NewScanner(list)
	for number := 1; lines.Scan(); number++ {
		line := strings.TrimSpace(lines.Text())
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
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "reading the list")
	}
	if len(entries) > maxEntries {
		return nil, errors.Errorf("%d tests are listed, at most %d may be", len(entries), maxEntries)
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

// Pattern returns the regular expression for ginkgo's --focus and --skip.
// Ginkgo matches it against the suite's description, a space and the spec's
// full text, so it is anchored at the end only.
func (e Entry) Pattern() string {
	return " " + regexp.QuoteMeta(e.Test) + "$"
}
