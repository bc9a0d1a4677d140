package replica

import (
	"flag"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	// defaultSeeds and defaultChecks give the number of schedules of a normal run; SEEDS and RAPID_CHECKS override them.
	defaultSeeds  = 4
	defaultChecks = 150
)

// intFromEnv reads a number from an environment variable.
func intFromEnv(t *testing.T, name string, fallback int) int {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return number
}

// setFlag sets a flag of the testing library until the end of the test.
func setFlag(t *testing.T, name string, value int) {
	before := flag.Lookup(name).Value.String()
	if err := flag.Set(name, strconv.Itoa(value)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, before) })
}

// TestRandomSchedules runs schedules that rapid draws from fixed seeds, and shrinks those that fail.
func TestRandomSchedules(t *testing.T) {
	setFlag(t, "rapid.checks", intFromEnv(t, "RAPID_CHECKS", defaultChecks))
	var recoveries []time.Duration
	for seed := range intFromEnv(t, "SEEDS", defaultSeeds) {
		setFlag(t, "rapid.seed", seed+1)
		rapid.Check(t, func(t *rapid.T) {
			s := scheduleGenerator.Draw(t, "schedule")
			run := newScheduleRun(s)
			if problem := run.run(); problem != "" {
				t.Fatalf("%s\n%v", problem, s)
			}
			recoveries = append(recoveries, run.recoveryTime)
		})
	}
	slices.Sort(recoveries)
	if count := len(recoveries); count > 0 {
		t.Logf("%d schedules; recovery time after the last fault: median %v, 99th percentile %v, maximum %v",
			count, recoveries[count/2], recoveries[count*99/100], recoveries[count-1])
	}
}
