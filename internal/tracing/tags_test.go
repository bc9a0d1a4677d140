package tracing

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("tag correlations", func() {
	ginkgo.It("given one seat that is slow, when tags are correlated with latency, then that tag stands out and no other does", func() {
		rand := random.Seeded(5)
		var spans []*wire.Span
		for i := range 200 {
			span := &wire.Span{Service: "s", Route: "r", DurationUs: uint64(1000 + 300*rand.Float64()), Tags: map[string]string{"zone": string(rune('a' + i%3)), "seat": "good"}}
			if i%4 == 0 {
				span.Tags["seat"], span.DurationUs = "slow", span.DurationUs+1000
			}
			spans = append(spans, span)
		}
		found := Correlate(spans)
		Expect(found).To(HaveLen(2))
		Expect(found[0].R * found[1].R).To(BeNumerically("<", -0.8))
		for _, each := range found {
			Expect(each.Tag).To(HavePrefix("seat="))
		}
		Expect(Correlate(spans[:10])).To(BeEmpty())
	})
})
