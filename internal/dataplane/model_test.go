package dataplane

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"curlewreach/internal/random"
)

// defaultModelSchedules is how many schedules the sound version must pass and how many may pass before a spoilt one is found out, unless MODEL_SCHEDULES is set.
const defaultModelSchedules = 5_000

func modelSchedules() int {
	if set, err := strconv.Atoi(os.Getenv("MODEL_SCHEDULES")); err == nil {
		return set
	}
	return defaultModelSchedules
}

func seededDraw(seed uint64) func(n int) int {
	return random.Seeded(seed).IntN
}

func TestModelOfRequests(t *testing.T) {
	replyStates := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		w := runModel(draw, modelDefects{})
		for state, count := range w.replyStates {
			replyStates[state] += count
		}
		if len(w.violations) > 0 {
			t.Fatal(strings.Join(w.violations, "\n"))
		}
	})
	t.Log(replyStates)
}

func findViolation(count int, defects modelDefects) (schedule int, violations []string, replyStates map[string]int) {
	replyStates = map[string]int{}
	for i := range count {
		w := runModel(seededDraw(uint64(i+1)), defects)
		for state, count := range w.replyStates {
			replyStates[state] += count
		}
		if len(w.violations) > 0 {
			return i + 1, w.violations, replyStates
		}
	}
	return 0, nil, replyStates
}

var _ = ginkgo.Describe("the model of requests", func() {
	ginkgo.It("given the product's own decisions, when random schedules run, then no rule is broken and every kind of reply was seen", func() {
		schedule, found, settled := findViolation(modelSchedules(), modelDefects{})
		Expect(found).To(BeEmpty(), "schedule %d", schedule)
		Expect(settled).To(HaveLen(6), "%v", settled)
	})

	for name, each := range map[string]struct {
		broken modelDefects
		rule   string
	}{
		"a fence forgotten on restart":               {modelDefects{fenceLostOnRestart: true}, "ran"},
		"never began, said of what may be forgotten": {modelDefects{neverBeganAfterEviction: true}, "ran"},
		"a mark not compared on arrival":             {modelDefects{markIgnoredOnArrival: true}, "ran"},
		"a waiting attempt that isn't fenced":        {modelDefects{waitingNotFenced: true}, "ran"},
		"an identity that attempts share":            {modelDefects{identityShared: true}, "no upstream answered"},
		"an id that isn't compared":                  {modelDefects{idNotCompared: true}, "no upstream answered"},
		"a write repeated":                           {modelDefects{writeRepeated: true}, "may not be repeated"},
		"the idle check left out":                    {modelDefects{idleCheckSkipped: true}, "was over"},
		"a late answer taken":                        {modelDefects{lateAnswerAccepted: true}, "promised"},
		"a promise after doubt":                      {modelDefects{notRunAfterDoubt: true}, "promised"},
		"a hedge of a loan":                          {modelDefects{hedgeOfOnce: true}, "may not be repeated"},
		"a seal kept on another status":              {modelDefects{sealKeptOnOtherStatus: true}, "sealed"},
		"a deadline that nobody heeds":               {modelDefects{deadlineIgnored: true}, "held past its time"},
		"repeats that nobody pays":                   {modelDefects{retriesUnpaid: true}, "further arrivals"},
	} {
		ginkgo.It("given "+name+", when random schedules run, then it is found out", func() {
			schedule, found, _ := findViolation(modelSchedules(), each.broken)
			Expect(found).NotTo(BeEmpty())
			Expect(strings.Join(found, "\n")).To(ContainSubstring(each.rule))
			ginkgo.AddReportEntry("found by schedule", fmt.Sprint(schedule, ": ", found[0]))
		})
	}
})
