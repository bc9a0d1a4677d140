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
	// randomSeeds and randomChecks are the schedules of a normal run; SEEDS and RAPID_CHECKS ask for others.
	randomSeeds  = 4
	randomChecks = 150
)

// numberFrom reads a number from the environment.
func numberFrom(t *testing.T, name string, normal int) int {
	given := os.Getenv(name)
	if given == "" {
		return normal
	}
	number, err := strconv.Atoi(given)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return number
}

// setFlag sets a flag of the testing library for the rest of a test.
func setFlag(t *testing.T, name string, value int) {
	before := flag.Lookup(name).Value.String()
	if err := flag.Set(name, strconv.Itoa(value)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = flag.Set(name, before) })
}

// TestRandomSchedules plays schedules that rapid draws from fixed seeds, and shrinks those that fail.
func TestRandomSchedules(t *testing.T) {
	setFlag(t, "rapid.checks", numberFrom(t, "RAPID_CHECKS", randomChecks))
	var recoveries []time.Duration
	for seed := range numberFrom(t, "SEEDS", randomSeeds) {
		setFlag(t, "rapid.seed", seed+1)
		rapid.Check(t, func(t *rapid.T) {
			s := scheduleGenerator.Draw(t, "schedule")
			p := newPlay(s)
			if problem := p.run(); problem != "" {
				t.Fatalf("%s\n%v", problem, s)
			}
			recoveries = append(recoveries, p.converged)
		})
	}
	slices.Sort(recoveries)
	if played := len(recoveries); played > 0 {
		t.Logf("%d schedules; after the last fault all was well in %v (median), %v (99 of 100), %v (longest)",
			played, recoveries[played/2], recoveries[played*99/100], recoveries[played-1])
	}
}
