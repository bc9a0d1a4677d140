package tracing

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("the learner", func() {
	ginkgo.DescribeTable("given one route that swings, when cycles pass, then its odds pass 0.9 and the others fall to the floor",
		func(identifiers int) {
			for seed := range uint64(5) {
				rand := random.Seeded(seed)
				odds := learned(rand, 40, func() []*wire.Span { return batch(rand, identifiers, 10, 1) }).Odds.Table
				Expect(odds["s/r1"]).To(BeNumerically(">", 0.9))
				for i := range identifiers {
					if i != 1 {
						Expect(odds[fmt.Sprint("s/r", i)]).To(BeNumerically("<", 0.2))
					}
				}
			}
		},
		ginkgo.Entry("two identifiers", 2), ginkgo.Entry("a handful", 5), ginkgo.Entry("ten", 10),
	)

	ginkgo.It("given batches that teach nothing, when learned from, then beliefs stay and odds stay lawful", func() {
		rand := random.Seeded(1)
		same := func() []*wire.Span {
			return []*wire.Span{{Id: rand.Hex(4), Service: "s", Route: "a", SelfUs: 5}, {Id: rand.Hex(4), Service: "s", Route: "a", SelfUs: 5}, {Id: rand.Hex(4), Service: "s", Route: "b", SelfUs: 5}}
		}
		empty := learned(rand, 3, func() []*wire.Span { return nil })
		Expect(empty.Odds.Table).To(BeEmpty())
		flat := learned(rand, 5, same)
		Expect(flat.Beliefs).To(HaveLen(2))
		for _, belief := range flat.Beliefs {
			Expect(belief.Alpha).To(Equal(1.0))
			Expect(belief.Beta).To(Equal(1.0))
			Expect(belief.Odds).To(And(BeNumerically(">=", 0.05), BeNumerically("<=", 1)))
		}
	})

	ginkgo.It("given a single identifier, when learned, then it is vital by itself", func() {
		rand := random.Seeded(1)
		Expect(learned(rand, 5, func() []*wire.Span { return batch(rand, 1, 5) }).Odds.Table["s/r0"]).To(Equal(1.0))
	})

	ginkgo.It("given spans with an uncertain self time, when learned, then they don't move beliefs", func() {
		rand := random.Seeded(1)
		learning := learned(rand, 10, func() []*wire.Span {
			spans := batch(rand, 3, 10, 0)
			for i := range 10 {
				spans[i].Tags = map[string]string{UncertainTag: "true"}
			}
			return spans
		})
		Expect(learning.Beliefs[0].Alpha).To(Equal(1.0))
	})

	ginkgo.It("given the swing moves, when cycles pass, then the odds follow", func() {
		rand := random.Seeded(3)
		learning := learned(rand, 20, func() []*wire.Span { return batch(rand, 6, 10, 1) })
		moved := 0
		for ; learning.Odds.Table["s/r4"] < 0.9 && moved < 200; moved++ {
			learning = Learn(learning, batch(rand, 6, 10, 4), tracing(), rand, every)
		}
		Expect(moved).To(BeNumerically("<", 200))
		Expect(learning.Odds.Serial).To(Equal(uint64(20 + moved)))
	})

	ginkgo.It("given the bounds of one cycle, when beliefs are updated, then alpha and beta together grow by one", func() {
		rand := random.Seeded(1)
		learning := learned(rand, 7, func() []*wire.Span { return batch(rand, 4, 10, 0) })
		for _, belief := range learning.Beliefs {
			Expect(belief.Alpha + belief.Beta).To(BeNumerically("~", 9, 1e-9))
		}
	})
})
