package lens

import (
	"fmt"
	"os"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

type trial struct {
	rose, followed int
	recorded       float64
	first          int
}

func run(seed uint64, identifiers int, percentile, epsilon float64) trial {
	rand := base.SeededRand(seed)
	settings := tracing()
	settings.Percentile, settings.Epsilon = percentile, epsilon
	learning, keeper := &wire.Learning{}, NewKeeper(rand)
	offered, kept, got := 0, 0, trial{rose: -1, followed: -1}
	cycle := func(swinging int) {
		var spans []*wire.Span
		for _, span := range batch(rand, identifiers, 40, swinging) {
			offered++
			if keeper.Keep(Identifier(span)) {
				kept++
				spans = append(spans, span)
			}
		}
		learning = Learn(learning, spans, settings, rand)
		Expect(keeper.Load(learning.Odds)).To(BeNil())
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
