package tracing

import (
	"fmt"
	"os"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

type trial struct {
	rose, followed int
	recorded       float64
	first          int
}

func run(seed uint64, identifiers int, percentile, epsilon float64) trial {
	rand := random.Seeded(seed)
	settings := tracing()
	settings.Percentile, settings.Epsilon = percentile, epsilon
	learning, keeper := &wire.Learning{}, NewSampler(rand)
	offered, kept, got := 0, 0, trial{rose: -1, followed: -1}
	cycle := func(swinging int) {
		var spans []*wire.Span
		for _, span := range batch(rand, identifiers, 40, swinging) {
			offered++
			if keeper.Sample(Identifier(span)) {
				kept++
				spans = append(spans, span)
			}
		}
		learning = Learn(learning, spans, settings, rand, every)
		Expect(keeper.Update(learning.Odds)).To(BeNil())
	}
	for at := range 60 {
		cycle(0)
		if got.rose < 0 && learning.Odds.Table["s/r0"] > 0.9 {
			got.rose = at + 1
		}
	}
	got.recorded = float64(kept) / float64(offered)
	got.first = 1
	for _, belief := range learning.Beliefs {
		if belief.Odds > learning.Odds.Table["s/r0"] {
			got.first++
		}
	}
	for at := range 300 {
		cycle(1)
		if learning.Odds.Table["s/r1"] > 0.9 {
			got.followed = at + 1
			break
		}
	}
	return got
}

var _ = ginkgo.Describe("learning, measured", func() {
	for _, identifiers := range []int{2, 5, 10, 40} {
		for _, percentile := range []float64{0.5, 0.75, 0.9} {
			seeds := 5.0
			if os.Getenv("SEEDS") == "1" {
				seeds = 1
			}
			ginkgo.It(fmt.Sprintf("given %d identifiers and P %.2f, when a swing is planted and then moves, then it is found and followed", identifiers, percentile), func() {
				var rose, followed, recorded float64
				for seed := range uint64(seeds) {
					got := run(seed+1, identifiers, percentile, 0.05)
					Expect(got.rose).To(BeNumerically(">", 0))
					Expect(got.first).To(Equal(1))
					Expect(got.followed).To(BeNumerically(">", 0))
					rose, followed, recorded = rose+float64(got.rose)/seeds, followed+float64(got.followed)/seeds, recorded+got.recorded/seeds
				}
				ginkgo.GinkgoWriter.Printf("MEASURE odds, %d identifiers, P %.2f: past 0.9 after %.1f cycles, %.0f%% of calls recorded over 60 cycles, follows a moved swing after %.1f cycles\n", identifiers, percentile, rose, 100*recorded, followed)
			})
		}
	}
})

func follow(seed uint64, quiet int, percentile, evidence float64) (found, gone int) {
	rand := random.Seeded(seed)
	settings := tracing()
	settings.Percentile, settings.Evidence, settings.Draws = percentile, evidence, 100
	learning := &wire.Learning{}
	for at := range quiet {
		spans := batch(rand, 10, 8, 0)
		if at%7 == 3 {
			spans = spans[:len(spans)/2]
		}
		learning = Learn(learning, spans, settings, rand, every)
	}
	settings.Draws = 1000
	for at := range 400 {
		learning = Learn(learning, batch(rand, 10, 8, 1), settings, rand, every)
		for _, chance := range learning.Odds.Table {
			Expect(chance).To(And(BeNumerically(">=", 0.05), BeNumerically("<=", 1)))
		}
		if found == 0 && learning.Odds.Table["s/r1"] > 0.9 {
			found = at + 1
		}
		if gone == 0 && learning.Odds.Table["s/r0"] < 0.5 {
			gone = at + 1
		}
		if found > 0 && gone > 0 {
			return found, gone
		}
	}
	return found, 400
}

var _ = ginkgo.Describe("odds that keep up", func() {
	lives, bounds, percentiles := []int{100, 600}, []float64{20}, []float64{0.9}
	if os.Getenv("MEASURE") != "" {
		lives, bounds, percentiles = []int{100, 1000, 10000}, []float64{1e6, 100, 50, 20, 10}, []float64{0.75, 0.9}
	}
	for _, quiet := range lives {
		for i := range len(bounds) * len(percentiles) {
			evidence, percentile := bounds[i/len(percentiles)], percentiles[i%len(percentiles)]
			ginkgo.It(fmt.Sprintf("given %d quiet cycles with gaps and evidence bounded by %.0f at P %.2f, when the swing moves, then the odds follow soon", quiet, evidence, percentile), func() {
				found, gone := 0.0, 0.0
				for seed := range uint64(3) {
					new, old := follow(seed+1, quiet, percentile, evidence)
					found, gone = found+float64(new)/3, gone+float64(old)/3
				}
				ginkgo.GinkgoWriter.Printf("MEASURE keeping up, %d quiet cycles, P %.2f, evidence %.0f: moved swing found after %.1f cycles, old one let go after %.1f\n", quiet, percentile, evidence, found, gone)
				if evidence == 20 {
					Expect(found).To(And(BeNumerically(">", 0), BeNumerically("<", 60)))
					Expect(gone).To(BeNumerically("<", 120))
				}
			})
		}
	}

	ginkgo.It("given a route that no bundle names any more, when a cycle passes, then its belief and odds are gone", func() {
		rand := random.Seeded(1)
		learning := learned(rand, 5, func() []*wire.Span { return batch(rand, 4, 10, 1) })
		learning = Learn(learning, batch(rand, 4, 10, 1), tracing(), rand, func(identifier string) bool { return identifier != "s/r2" })
		Expect(learning.Beliefs).To(HaveLen(3))
		Expect(learning.Odds.Table).NotTo(HaveKey("s/r2"))
		Expect(learning.Odds.Table).To(HaveLen(3))
	})
})
