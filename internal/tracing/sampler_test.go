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

var _ = ginkgo.Describe("sampling on a node", func() {
	ginkgo.It("given sampling probabilities, when calls begin, then that share is recorded, and an unknown identifier always", func() {
		sampler := NewSampler(random.Seeded(7))
		Expect(sampler.Sample("anything")).To(BeTrue(), "with no probabilities yet everything is recorded")
		Expect(sampler.Update(&wire.Odds{Serial: 1, Epsilon: 0.05, Table: map[string]float64{"a": 0.25, "b": 0.05}})).To(BeNil())
		counts := map[string]int{}
		for range 20000 {
			for _, identifier := range []string{"a", "b", "new"} {
				if sampler.Sample(identifier) {
					counts[identifier]++
				}
			}
		}
		Expect(counts["new"]).To(Equal(20000))
		Expect(counts["a"]).To(BeNumerically("~", 5000, 300))
		Expect(counts["b"]).To(BeNumerically("~", 1000, 150))
	})

	ginkgo.DescribeTable("given probabilities out of range, when updated, then they are rejected and the old ones stay",
		func(odds *wire.Odds) {
			sampler := NewSampler(random.Seeded(7))
			Expect(sampler.Update(&wire.Odds{Serial: 1, Epsilon: 0.05, Table: map[string]float64{"a": 0.25}})).To(BeNil())
			Expect(sampler.Update(odds)).NotTo(BeNil())
			Expect(sampler.Serial()).To(Equal(uint64(1)))
			Expect(sampler.Probability("a")).To(Equal(0.25))
		},
		ginkgo.Entry("zero", &wire.Odds{Serial: 2, Epsilon: 0.05, Table: map[string]float64{"a": 0}}),
		ginkgo.Entry("above one", &wire.Odds{Serial: 2, Epsilon: 0.05, Table: map[string]float64{"a": 1.5}}),
		ginkgo.Entry("not a number", &wire.Odds{Serial: 2, Epsilon: 0.05, Table: map[string]float64{"a": math.NaN()}}),
		ginkgo.Entry("no floor", &wire.Odds{Serial: 2, Table: map[string]float64{"a": 0.5}}),
	)

	ginkgo.It("given probabilities in force, when older ones arrive late from a partitioned control machine, then they are ignored", func() {
		sampler := NewSampler(random.Seeded(7))
		Expect(sampler.Update(&wire.Odds{Serial: 9, Epsilon: 0.05, Table: map[string]float64{"a": 0.25}})).To(BeNil())
		for _, serial := range []uint64{8, 9} {
			Expect(sampler.Update(&wire.Odds{Serial: serial, Epsilon: 0.05, Table: map[string]float64{"a": 0.5}})).To(BeNil())
			Expect(sampler.Probability("a")).To(Equal(0.25))
		}
		Expect(sampler.Update(&wire.Odds{Serial: 10, Epsilon: 0.05, Table: map[string]float64{"a": 0.5}})).To(BeNil())
		Expect(sampler.Serial()).To(Equal(uint64(10)))
	})

	ginkgo.It("given probabilities in force, when a call is sampled, then nothing is allocated", func() {
		sampler := NewSampler(random.Seeded(7))
		Expect(sampler.Update(&wire.Odds{Serial: 1, Epsilon: 0.05, Table: map[string]float64{"a": 0.25}})).To(BeNil())
		Expect(testing.AllocsPerRun(1000, func() { sampler.Sample("a") })).To(BeZero())
	})
})

func BenchmarkSample(b *testing.B) {
	sampler := NewSampler(random.Seeded(7))
	table := map[string]float64{}
	for i := range 500 {
		table[fmt.Sprint("service/route-", i)] = 0.05
	}
	if fault := sampler.Update(&wire.Odds{Serial: 1, Epsilon: 0.05, Table: table}); fault != nil {
		b.Fatal(fault)
	}
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			sampler.Sample("service/route-77")
		}
	})
}
