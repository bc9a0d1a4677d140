package replica

import (
	"bufio"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"
)

// mutant is a version of this package with one injected fault, and the test that must detect it.
type mutant struct {
	patch, fault, test string
}

// readMutant reads the header of a patch.
func readMutant(t *testing.T, path string) mutant {
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	m := mutant{patch: path}
	lines := bufio.NewScanner(file)
	for lines.Scan() && (m.fault == "" || m.test == "") {
		if fault, ok := strings.CutPrefix(lines.Text(), "# Spoilt: "); ok {
			m.fault = fault
		}
		if test, ok := strings.CutPrefix(lines.Text(), "# Test: "); ok {
			m.test = test
		}
	}
	if m.fault == "" || m.test == "" {
		t.Fatalf("%s lacks the \"# Spoilt: \" or \"# Test: \" line", path)
	}
	return m
}

// copyPackage copies the Go files of this package to a new directory inside the module.
func copyPackage(t *testing.T) string {
	directory, err := os.MkdirTemp("testdata", "run-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(directory) })
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(directory, file), content, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return directory
}

var schedulesRun = regexp.MustCompile(`failed after (\d+) tests`)

// TestMutantsAreDetected applies each patch of testdata/spoilt to a copy of the package and requires that the test named in
// the patch fails. It runs only if SPOILT is set, because it builds the package once per patch.
func TestMutantsAreDetected(t *testing.T) {
	if os.Getenv("SPOILT") == "" {
		t.Skip("SPOILT is not set")
	}
	patches, err := filepath.Glob("testdata/spoilt/*.patch")
	if err != nil || len(patches) == 0 {
		t.Fatalf("no mutants found: %v", err)
	}
	for _, patch := range patches {
		t.Run(strings.TrimSuffix(filepath.Base(patch), ".patch"), func(t *testing.T) {
			m := readMutant(t, patch)
			m.mustBeDetected(t, copyPackage(t))
		})
	}
}

// mustBeDetected builds and tests the mutated copy.
func (m mutant) mustBeDetected(t *testing.T, directory string) {
	target := "--directory=" + filepath.Join("internal/replica", directory)
	apply := exec.Command("git", "apply", "-p3", target, filepath.Join("internal/replica", m.patch))
	apply.Dir = "../.."
	if output, err := apply.CombinedOutput(); err != nil {
		t.Fatalf("the patch does not apply: %v\n%s", err, output)
	}
	if output, err := exec.Command("go", "vet", "./"+directory).CombinedOutput(); err != nil {
		t.Fatalf("the mutant does not build: %v\n%s", err, output)
	}
	start := time.Now()
	command := exec.Command("go", "test", "-count=1", "-run", "^"+m.test+"$", "./"+directory, "-args", "-rapid.nofailfile", "-rapid.shrinktime=0s")
	output, err := command.CombinedOutput()
	if err == nil || !strings.Contains(string(output), "--- FAIL: "+m.test) {
		t.Fatalf("%s does not detect: %s\n%s", m.test, m.fault, output)
	}
	schedules := "1"
	if found := schedulesRun.FindSubmatch(output); found != nil {
		schedules = string(found[1])
	}
	t.Logf("%s | %s | after %s schedules, %v", m.fault, m.test, schedules, time.Since(start).Round(time.Second))
}
