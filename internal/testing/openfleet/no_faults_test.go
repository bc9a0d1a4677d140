package openfleet

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a fleet without faults", func() {
	spec("given no faults, when clients send requests, then all jobs succeed", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(120)
		f.Sleep(9 * time.Second)
		f.StopLoad()
		stats := f.JobStats(0, 0, nil)
		Expect(stats.SuccessRate()).To(BeNumerically(">", 0.999), "%s: %s", f.Description, stats)
		Expect(stats.OnTimeRate()).To(BeNumerically(">", 0.99), "%s: %s", f.Description, stats)
		checkHistory(f, RuleAtMostOnce, RuleResponseIntegrity, RuleRequestIntegrity, RuleRouting, RuleConfigInForce, RuleFewClientErrors)
	})

	specWith("given unusual but valid requests, when they are sent to every node, then they reach an upstream unchanged", 3, smallServices, []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(5)
		f.Sleep(500 * time.Millisecond)
		for _, m := range f.Nodes {
			for i, each := range []struct {
				method, target string
				body           int
				chunked        bool
				extra          []string
			}{
				{"GET", "/search/%2e%2e/x?a=b&c=%20&d", 0, false, nil},
				{"GET", "/search//x/./y/../z", 0, false, nil},
				{"DELETE", "/return/;a=1", 0, false, nil},
				{"PATCH", "/return/x", 900_000, true, nil},
				{"POST", "/return/x?y=%2F", 0, false, []string{"Connection: X-Near", "X-Near: 1"}},
				{"OPTIONS", "/search/x", 0, false, nil},
				{"GET", "/search/x?" + strings.Repeat("q=1&", 1500), 0, false, []string{"X-Long: " + strings.Repeat("y", 6000)}},
				{"GET", "/search/x", 300, false, []string{"Accept: a", "Accept: b"}},
				{"PUT", "/return/x", 1, true, []string{"Expect: 100-continue"}},
				{"REPORT", "/return/", 5_000_000, false, []string{"Content-Type: a/b"}},
			} {
				host := map[bool]string{true: "books.example", false: "LOANS.example:8080"}[each.target[:4] == "/sea"]
				body := bytes.Repeat([]byte{'z', byte(i), '\r', '\n'}, (each.body+3)/4)
				if len(body) == 0 {
					body = nil
				}
				attempt := f.newAttempt(m, each.method+" "+host+" "+strings.SplitN(each.target, "?", 2)[0], fmt.Sprintf("odd-%s-%d", m.Name, i))
				attempt.Target, attempt.Digest, attempt.Deadline = each.target, digest(body), f.History.Now()+2*time.Second
				outcome := m.client.do(attempt, body, each.chunked, i%2 == 0, each.extra...)
				Expect(outcome.Status).To(Equal(200), "%s: %d at %s: %v", f.Description, i, m.Name, outcome)
			}
		}
		checkHistory(f, RuleAtMostOnce, RuleResponseIntegrity, RuleRequestIntegrity)
	})
})
