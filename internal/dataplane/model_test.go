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

// modelSchedules is how many schedules the sound version must pass and how many may pass before a spoilt one is found out, unless MODEL_SCHEDULES is set.
const modelSchedules = 5_000

func schedules() int {
	if set, err := strconv.Atoi(os.Getenv("MODEL_SCHEDULES")); err == nil {
		return set
	}
	return modelSchedules
}

func seededDraw(seed uint64) func(n int) int {
	return random.Seeded(seed).IntN
}

func TestModelOfRequests(t *testing.T) {
	settled := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		w := modelRun(draw, spoilt{})
		for state, count := range w.settled {
			settled[state] += count
		}
		if len(w.found) > 0 {
			t.Fatal(strings.Join(w.found, "\n"))
		}
	})
	t.Log(settled)
}

func modelHunt(schedules int, broken spoilt) (schedule int, found []string, settled map[string]int) {
	settled = map[string]int{}
	for i := range schedules {
		w := modelRun(seededDraw(uint64(i+1)), broken)
		for state, count := range w.settled {
			settled[state] += count
		}
		if len(w.found) > 0 {
			return i + 1, w.found, settled
		}
	}
	return 0, nil, settled
}

var _ = ginkgo.Describe("the model of requests", func() {
	ginkgo.It("given the product's own decisions, when random schedules run, then no rule is broken and every kind of reply was seen", func() {
		schedule, found, settled := modelHunt(schedules(), spoilt{})
		Expect(found).To(BeEmpty(), "schedule %d", schedule)
		Expect(settled).To(HaveLen(6), "%v", settled)
	})

	for name, each := range map[string]struct {
		broken spoilt
		rule   string
	}{
		"a fence forgotten on restart":               {spoilt{fenceForgottenOnRestart: true}, "ran"},
		"never began, said of what may be forgotten": {spoilt{neverAfterForgetting: true}, "ran"},
		"a mark not compared on arrival":             {spoilt{markIgnoredOnArrival: true}, "ran"},
		"a waiting attempt that isn't fenced":        {spoilt{waitingNotFenced: true}, "ran"},
		"an identity that attempts share":            {spoilt{identityShared: true}, "no upstream answered"},
		"an id that isn't compared":                  {spoilt{idNotCompared: true}, "no upstream answered"},
		"a write repeated":                           {spoilt{writeRepeated: true}, "may not be repeated"},
		"the idle check left out":                    {spoilt{idleCheckLeftOut: true}, "was over"},
		"a late answer taken":                        {spoilt{lateAnswerTaken: true}, "promised"},
		"a promise after doubt":                      {spoilt{promiseAfterDoubt: true}, "promised"},
		"a hedge of a loan":                          {spoilt{hedgeOfLoan: true}, "may not be repeated"},
		"a seal kept on another status":              {spoilt{sealKept: true}, "sealed"},
		"a deadline that nobody heeds":               {spoilt{timeIgnored: true}, "held past its time"},
		"repeats that nobody pays":                   {spoilt{repeatsUnpaid: true}, "further arrivals"},
	} {
		ginkgo.It("given "+name+", when random schedules run, then it is found out", func() {
			schedule, found, _ := modelHunt(schedules(), each.broken)
			Expect(found).NotTo(BeEmpty())
			Expect(strings.Join(found, "\n")).To(ContainSubstring(each.rule))
			ginkgo.AddReportEntry("found by schedule", fmt.Sprint(schedule, ": ", found[0]))
		})
	}
})
