package tracing

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("tag correlations", func() {
	ginkgo.It("given one slow instance, when tags are correlated with latency, then only the tag that distinguishes it from the others is reported", func() {
		rand := random.Seeded(5)
		var spans []*wire.Span
		for i := range 200 {
			span := &wire.Span{Service: "s", Route: "r", DurationUs: uint64(1000 + 300*rand.Float64()), Tags: map[string]string{"zone": string(rune('a' + i%3)), "seat": "good"}}
			if i%4 == 0 {
				span.Tags["seat"], span.DurationUs = "slow", span.DurationUs+1000
			}
			spans = append(spans, span)
		}
		correlations := Correlate(spans)
		Expect(correlations).To(HaveLen(2))
		Expect(correlations[0].R * correlations[1].R).To(BeNumerically("<", -0.8))
		for _, correlation := range correlations {
			Expect(correlation.Tag).To(HavePrefix("seat="))
		}
		Expect(Correlate(spans[:10])).To(BeEmpty())
	})
})
