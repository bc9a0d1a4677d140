package openfleet

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("calm days", func() {
	story("given a calm day, when visitors come, then all are served", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(120)
		f.Sleep(9 * time.Second)
		f.StopLoad()
		t := f.JobStats(0, 0, nil)
		Expect(t.SuccessRate()).To(BeNumerically(">", 0.999), "%s: %s", f.Description, t)
		Expect(t.OnTimeRate()).To(BeNumerically(">", 0.99), "%s: %s", f.Description, t)
		sound(f, RuleAtMostOnce, RuleResponseIntegrity, RuleRequestIntegrity, RuleRouting, RuleConfigInForce, RuleFewClientErrors)
	})

	storyOf("given odd but proper requests, when they are asked at every node, then they reach an upstream as they were sent", 3, small, []uint64{1, 2}, func(f *Fleet) {
		raised(f)
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
				ask := f.ask(m, each.method+" "+host+" "+strings.SplitN(each.target, "?", 2)[0], fmt.Sprintf("odd-%s-%d", m.Name, i))
				ask.Target, ask.Digest, ask.Deadline = each.target, digest(body), f.History.Now()+2*time.Second
				told := m.visitors.ask(ask, body, each.chunked, i%2 == 0, each.extra...)
				Expect(told.Status).To(Equal(200), "%s: %d at %s: %v", f.Description, i, m.Name, told)
			}
		}
		sound(f, RuleAtMostOnce, RuleResponseIntegrity, RuleRequestIntegrity)
	})
})
