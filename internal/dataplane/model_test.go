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

// defaultModelSchedules is the number of schedules that the model without defects must pass, and within which each
// planted defect must be detected. The environment variable MODEL_SCHEDULES overrides it.
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
		m := runModel(draw, modelDefects{})
		for state, count := range m.replyStates {
			replyStates[state] += count
		}
		if len(m.violations) > 0 {
			t.Fatal(strings.Join(m.violations, "\n"))
		}
	})
	t.Log(replyStates)
}

// findViolation runs schedules until the rule is violated, any rule if it is empty. It returns the number of that
// schedule, counted from 1, or 0 if none violates it.
func findViolation(count int, defects modelDefects, rule string) (schedule int, violations []string, replyStates map[string]int) {
	replyStates = map[string]int{}
	for i := range count {
		m := runModel(seededDraw(uint64(i+1)), defects)
		for state, count := range m.replyStates {
			replyStates[state] += count
		}
		if len(m.violations) > 0 && strings.Contains(strings.Join(m.violations, "\n"), rule) {
			return i + 1, m.violations, replyStates
		}
	}
	return 0, nil, replyStates
}

var _ = ginkgo.Describe("the request model", func() {
	ginkgo.It("given no defect, when random schedules run, then no rule is violated and replies of every state occur", func() {
		schedule, violations, replyStates := findViolation(modelSchedules(), modelDefects{}, "")
		Expect(violations).To(BeEmpty(), "schedule %d", schedule)
		Expect(replyStates).To(HaveLen(6), "%v", replyStates)
	})

	for name, each := range map[string]struct {
		broken modelDefects
		rule   string
	}{
		"a fence lost on restart": {modelDefects{fenceLostOnRestart: true}, "ran"},
		"'never began' as the reply about an attempt that may have been evicted": {modelDefects{neverBeganAfterEviction: true}, "ran"},
		"a mark that is ignored on arrival":                                      {modelDefects{markIgnoredOnArrival: true}, "ran"},
		"a waiting attempt that isn't fenced":                                    {modelDefects{waitingNotFenced: true}, "ran"},
		"an identity shared by all attempts":                                     {modelDefects{identityShared: true}, "no upstream answered"},
		"a response ID that isn't compared":                                      {modelDefects{idNotCompared: true}, "no upstream answered"},
		"a request that is resent after its connection ended":                    {modelDefects{requestResent: true}, "may not be repeated"},
		"no check of idle connections before reuse":                              {modelDefects{idleCheckSkipped: true}, "was over"},
		"a connection that is reused after a timeout":                            {modelDefects{connectionReusedAfterTimeout: true}, "promised"},
		"a 503 for a request that may have run":                                  {modelDefects{notRunAfterDoubt: true}, "promised"},
		"a withdrawal without a reply that is taken for 'never began'":           {modelDefects{withdrawnWithoutReply: true}, "ran"},
		"a hedge of a request that may run once":                                 {modelDefects{hedgeOfOnce: true}, "may not be repeated"},
		"a seal kept on a replaced status":                                       {modelDefects{sealKeptOnOtherStatus: true}, "sealed"},
		"a deadline that is ignored":                                             {modelDefects{deadlineIgnored: true}, "held past its time"},
		"retries without a budget":                                               {modelDefects{retriesUnpaid: true}, "further arrivals"},
	} {
		ginkgo.It("given "+name+", when random schedules run, then a rule is violated", func() {
			schedule, violations, _ := findViolation(modelSchedules(), each.broken, each.rule)
			Expect(violations).NotTo(BeEmpty(), "no schedule violates the rule %q", each.rule)
			ginkgo.AddReportEntry("found by schedule", fmt.Sprint(schedule, ": ", violations[0]))
		})
	}
})
