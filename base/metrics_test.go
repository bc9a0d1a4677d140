package base

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBase(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "base")
}

var _ = ginkgo.Describe("metrics", func() {
	ginkgo.It("given spells of several lengths, when they are told, then each step counts those up to it", func() {
		h, m := &Histogram{}, &Metrics{}
		for _, d := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond, time.Minute} {
			h.Add(d)
		}
		m.Kind("x", "histogram", "spells")
		m.Histogram("x", h, "kind", `a"b\`)
		page := m.page.String()
		for _, line := range []string{
			`x_bucket{kind="a\"b\\",le="0.005"} 2`, `x_bucket{kind="a\"b\\",le="0.05"} 3`, `x_bucket{kind="a\"b\\",le="5"} 3`,
			`x_bucket{kind="a\"b\\",le="+Inf"} 4`, `x_sum{kind="a\"b\\"} 60.036`, `x_count{kind="a\"b\\"} 4`,
		} {
			Expect(page).To(ContainSubstring(line + "\n"))
		}
	})

	ginkgo.It("given a journal, when the last events about a subject are asked, then the newest come, the oldest first", func() {
		j := NewJournal(10)
		for i := range 8 {
			j.Append(Event{Topic: fmt.Sprint(i), Subject: []string{"a", "b"}[i%2]})
		}
		last := j.Last("a", 2)
		Expect(last).To(HaveLen(2))
		Expect([]string{last[0].Topic, last[1].Topic}).To(Equal([]string{"4", "6"}))
		Expect(j.Last("", 3)).To(HaveLen(3))
	})
})

func BenchmarkHistogram(b *testing.B) {
	h := &Histogram{}
	for i := 0; b.Loop(); i++ {
		h.Add(time.Duration(i%300) * time.Millisecond)
	}
}
