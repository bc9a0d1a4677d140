package tracing

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("the learner", func() {
	ginkgo.DescribeTable("given one route with varying latency, when cycles pass, then its sampling probability passes 0.9 and the others fall to the floor",
		func(identifiers int) {
			for seed := range uint64(5) {
				rand := random.Seeded(seed)
				probabilities := learnCycles(rand, 40, func() []*wire.Span { return spanBatch(rand, identifiers, 10, 1) }).Odds.Table
				Expect(probabilities["s/r1"]).To(BeNumerically(">", 0.9))
				for i := range identifiers {
					if i != 1 {
						Expect(probabilities[fmt.Sprint("s/r", i)]).To(BeNumerically("<", 0.2))
					}
				}
			}
		},
		ginkgo.Entry("two identifiers", 2), ginkgo.Entry("five identifiers", 5), ginkgo.Entry("ten identifiers", 10),
	)

	ginkgo.It("given empty batches and batches of equal self times, when learned from, then beliefs stay and probabilities stay in range", func() {
		rand := random.Seeded(1)
		equalSelfTimes := func() []*wire.Span {
			return []*wire.Span{{Id: rand.Hex(4), Service: "s", Route: "a", SelfUs: 5}, {Id: rand.Hex(4), Service: "s", Route: "a", SelfUs: 5}, {Id: rand.Hex(4), Service: "s", Route: "b", SelfUs: 5}}
		}
		empty := learnCycles(rand, 3, func() []*wire.Span { return nil })
		Expect(empty.Odds.Table).To(BeEmpty())
		uniform := learnCycles(rand, 5, equalSelfTimes)
		Expect(uniform.Beliefs).To(HaveLen(2))
		for _, belief := range uniform.Beliefs {
			Expect(belief.Alpha).To(Equal(1.0))
			Expect(belief.Beta).To(Equal(1.0))
			Expect(belief.Odds).To(And(BeNumerically(">=", 0.05), BeNumerically("<=", 1)))
		}
	})

	ginkgo.It("given a single identifier, when learned, then its probability is 1", func() {
		rand := random.Seeded(1)
		Expect(learnCycles(rand, 5, func() []*wire.Span { return spanBatch(rand, 1, 5) }).Odds.Table["s/r0"]).To(Equal(1.0))
	})

	ginkgo.It("given spans with an uncertain self time, when learned, then they don't change beliefs", func() {
		rand := random.Seeded(1)
		learning := learnCycles(rand, 10, func() []*wire.Span {
			spans := spanBatch(rand, 3, 10, 0)
			for i := range 10 {
				spans[i].Tags = map[string]string{UncertainTag: "true"}
			}
			return spans
		})
		Expect(learning.Beliefs[0].Alpha).To(Equal(1.0))
	})

	ginkgo.It("given the varying latency moves to another route, when cycles pass, then the probabilities follow", func() {
		rand := random.Seeded(3)
		learning := learnCycles(rand, 20, func() []*wire.Span { return spanBatch(rand, 6, 10, 1) })
		cycles := 0
		for ; learning.Odds.Table["s/r4"] < 0.9 && cycles < 200; cycles++ {
			learning = Learn(learning, spanBatch(rand, 6, 10, 4), testSettings(), rand, allRoutes)
		}
		Expect(cycles).To(BeNumerically("<", 200))
		Expect(learning.Odds.Serial).To(Equal(uint64(20 + cycles)))
	})

	ginkgo.It("given no bound on evidence, when beliefs are updated, then alpha and beta together grow by one per cycle", func() {
		rand := random.Seeded(1)
		learning := learnCycles(rand, 7, func() []*wire.Span { return spanBatch(rand, 4, 10, 0) })
		for _, belief := range learning.Beliefs {
			Expect(belief.Alpha + belief.Beta).To(BeNumerically("~", 9, 1e-9))
		}
	})
})
