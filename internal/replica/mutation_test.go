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

// mutant is a version of this package with one fault, and the test that must find it.
type mutant struct {
	patch, fault, test string
}

// readMutant reads the first lines of a patch.
func readMutant(t *testing.T, path string) mutant {
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	s := mutant{patch: path}
	lines := bufio.NewScanner(file)
	for lines.Scan() && (s.fault == "" || s.test == "") {
		if fault, ok := strings.CutPrefix(lines.Text(), "# Spoilt: "); ok {
			s.fault = fault
		}
		if test, ok := strings.CutPrefix(lines.Text(), "# Test: "); ok {
			s.test = test
		}
	}
	if s.fault == "" || s.test == "" {
		t.Fatalf("%s says not what is spoilt and which test finds it", path)
	}
	return s
}

// copyPackage copies the Go files of this package to a directory of its own inside the module.
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

// TestMutantsAreDetected applies each patch of testdata/spoilt to a copy and demands that its named test fails.
// It runs where SPOILT is set, since it builds the package once for each.
func TestMutantsAreDetected(t *testing.T) {
	if os.Getenv("SPOILT") == "" {
		t.Skip("SPOILT is not set")
	}
	patches, err := filepath.Glob("testdata/spoilt/*.patch")
	if err != nil || len(patches) == 0 {
		t.Fatalf("no spoilt versions: %v", err)
	}
	for _, patch := range patches {
		t.Run(strings.TrimSuffix(filepath.Base(patch), ".patch"), func(t *testing.T) {
			s := readMutant(t, patch)
			s.mustBeDetected(t, copyPackage(t))
		})
	}
}

// mustBeDetected builds and runs the spoilt copy.
func (s mutant) mustBeDetected(t *testing.T, directory string) {
	target := "--directory=" + filepath.Join("internal/replica", directory)
	apply := exec.Command("git", "apply", "-p3", target, filepath.Join("internal/replica", s.patch))
	apply.Dir = "../.."
	if output, err := apply.CombinedOutput(); err != nil {
		t.Fatalf("the patch does not apply: %v\n%s", err, output)
	}
	if output, err := exec.Command("go", "vet", "./"+directory).CombinedOutput(); err != nil {
		t.Fatalf("the spoilt version does not build: %v\n%s", err, output)
	}
	began := time.Now()
	command := exec.Command("go", "test", "-count=1", "-run", "^"+s.test+"$", "./"+directory, "-args", "-rapid.nofailfile", "-rapid.shrinktime=0s")
	output, err := command.CombinedOutput()
	if err == nil || !strings.Contains(string(output), "--- FAIL: "+s.test) {
		t.Fatalf("%s does not find: %s\n%s", s.test, s.fault, output)
	}
	schedules := "1"
	if found := schedulesRun.FindSubmatch(output); found != nil {
		schedules = string(found[1])
	}
	t.Logf("%s | %s | after %s schedules, %v", s.fault, s.test, schedules, time.Since(began).Round(time.Second))
}
