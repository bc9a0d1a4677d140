package tracing

import (
	"fmt"
	"math"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("keep odds at a node", func() {
	ginkgo.It("given odds, when calls begin, then that part is kept, and an unknown identifier always", func() {
		keeper := NewSampler(random.Seeded(7))
		Expect(keeper.Sample("anything")).To(BeTrue(), "with no odds yet everything is kept")
		Expect(keeper.Update(&wire.Odds{Serial: 1, Epsilon: 0.05, Table: map[string]float64{"a": 0.25, "b": 0.05}})).To(BeNil())
		counts := map[string]int{}
		for range 20000 {
			for _, identifier := range []string{"a", "b", "new"} {
				if keeper.Sample(identifier) {
					counts[identifier]++
				}
			}
		}
		Expect(counts["new"]).To(Equal(20000))
		Expect(counts["a"]).To(BeNumerically("~", 5000, 300))
		Expect(counts["b"]).To(BeNumerically("~", 1000, 150))
	})

	ginkgo.DescribeTable("given nonsense odds, when loaded, then they are bounced and the old ones stay",
		func(odds *wire.Odds) {
			keeper := NewSampler(random.Seeded(7))
			Expect(keeper.Update(&wire.Odds{Serial: 1, Epsilon: 0.05, Table: map[string]float64{"a": 0.25}})).To(BeNil())
			Expect(keeper.Update(odds)).NotTo(BeNil())
			Expect(keeper.Serial()).To(Equal(uint64(1)))
			Expect(keeper.Probability("a")).To(Equal(0.25))
		},
		ginkgo.Entry("zero", &wire.Odds{Serial: 2, Epsilon: 0.05, Table: map[string]float64{"a": 0}}),
		ginkgo.Entry("above one", &wire.Odds{Serial: 2, Epsilon: 0.05, Table: map[string]float64{"a": 1.5}}),
		ginkgo.Entry("not a number", &wire.Odds{Serial: 2, Epsilon: 0.05, Table: map[string]float64{"a": math.NaN()}}),
		ginkgo.Entry("no floor", &wire.Odds{Serial: 2, Table: map[string]float64{"a": 0.5}}),
	)

	ginkgo.It("given odds, when older ones come late from one that is cut off, then they are passed over", func() {
		keeper := NewSampler(random.Seeded(7))
		Expect(keeper.Update(&wire.Odds{Serial: 9, Epsilon: 0.05, Table: map[string]float64{"a": 0.25}})).To(BeNil())
		for _, serial := range []uint64{8, 9} {
			Expect(keeper.Update(&wire.Odds{Serial: serial, Epsilon: 0.05, Table: map[string]float64{"a": 0.5}})).To(BeNil())
			Expect(keeper.Probability("a")).To(Equal(0.25))
		}
		Expect(keeper.Update(&wire.Odds{Serial: 10, Epsilon: 0.05, Table: map[string]float64{"a": 0.5}})).To(BeNil())
		Expect(keeper.Serial()).To(Equal(uint64(10)))
	})

	ginkgo.It("given the choice at span start, when made, then it allocates nothing", func() {
		keeper := NewSampler(random.Seeded(7))
		Expect(keeper.Update(&wire.Odds{Serial: 1, Epsilon: 0.05, Table: map[string]float64{"a": 0.25}})).To(BeNil())
		Expect(testing.AllocsPerRun(1000, func() { keeper.Sample("a") })).To(BeZero())
	})
})

func BenchmarkKeep(b *testing.B) {
	keeper := NewSampler(random.Seeded(7))
	table := map[string]float64{}
	for i := range 500 {
		table[fmt.Sprint("service/route-", i)] = 0.05
	}
	if fault := keeper.Update(&wire.Odds{Serial: 1, Epsilon: 0.05, Table: table}); fault != nil {
		b.Fatal(fault)
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			keeper.Sample("service/route-77")
		}
	})
}
