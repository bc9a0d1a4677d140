package metrics

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMetrics(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "metrics")
}

var _ = ginkgo.Describe("metrics", func() {
	ginkgo.It("given spells of several lengths, when they are told, then each step counts those up to it", func() {
		h := &Histogram{}
		for _, d := range []time.Duration{time.Millisecond, 5 * time.Millisecond, 30 * time.Millisecond, time.Minute} {
			h.Add(d)
		}
		page := scrape(func(samples *Samples) { samples.AddHistogram("x", "spells", h, Labels{"kind": `a"b\`}) })
		for _, line := range []string{
			`x_bucket{kind="a\"b\\",le="0.005"} 2`, `x_bucket{kind="a\"b\\",le="0.05"} 3`, `x_bucket{kind="a\"b\\",le="5"} 3`,
			`x_bucket{kind="a\"b\\",le="+Inf"} 4`, `x_sum{kind="a\"b\\"} 60.036`, `x_count{kind="a\"b\\"} 4`,
		} {
			Expect(page).To(ContainSubstring(line + "\n"))
		}
	})

	ginkgo.It("given samples of a metric and a flag, when they are scraped, then each stands with its labels under one header", func() {
		page := scrape(func(samples *Samples) {
			samples.Add("x_total", Counter, "things", 3, Labels{"kind": "a"})
			samples.Add("x_total", Counter, "things", 4, Labels{"kind": "b"})
			samples.Add("y", Gauge, "a flag", BoolValue(true), nil)
		})
		Expect(page).To(Equal("# HELP x_total things\n# TYPE x_total counter\nx_total{kind=\"a\"} 3\nx_total{kind=\"b\"} 4\n# HELP y a flag\n# TYPE y gauge\ny 1\n"))
	})
})

// scrape returns the page that a collector makes.
func scrape(collect func(*Samples)) string {
	w := httptest.NewRecorder()
	Handler(collect).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	Expect(w.Code).To(Equal(http.StatusOK))
	return w.Body.String()
}

func BenchmarkHistogram(b *testing.B) {
	h := &Histogram{}
	for i := 0; b.Loop(); i++ {
		h.Add(time.Duration(i%300) * time.Millisecond)
	}
}
