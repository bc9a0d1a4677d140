package tracing

import (
	"fmt"
	"os"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

// trialResult holds the cycles until the probability of the first slow route, and
// later of the second one, passed 0.9 (-1 for never). recordedShare is the share of
// calls recorded before the change, and rank the rank of the first slow route's
// probability at that time.
type trialResult struct {
	cyclesToFind, cyclesToFollow int
	recordedShare                float64
	rank                         int
}

// runTrial learns from sampled calls for 60 cycles with r0 as the slow route, then
// for up to 300 cycles with r1 as the slow route.
func runTrial(seed uint64, identifiers int, percentile, epsilon float64) trialResult {
	rand := random.Seeded(seed)
	settings := testSettings()
	settings.Percentile, settings.Epsilon = percentile, epsilon
	learning, sampler := &wire.Learning{}, NewSampler(rand)
	offered, sampled, result := 0, 0, trialResult{cyclesToFind: -1, cyclesToFollow: -1}
	runCycle := func(slowRoute int) {
		var spans []*wire.Span
		for _, span := range spanBatch(rand, identifiers, 40, slowRoute) {
			offered++
			if sampler.Sample(Identifier(span)) {
				sampled++
				spans = append(spans, span)
			}
		}
		learning = Learn(learning, spans, settings, rand, allRoutes)
		Expect(sampler.Update(learning.Odds)).To(BeNil())
	}
	for cycle := range 60 {
		runCycle(0)
		if result.cyclesToFind < 0 && learning.Odds.Table["s/r0"] > 0.9 {
			result.cyclesToFind = cycle + 1
		}
	}
	result.recordedShare = float64(sampled) / float64(offered)
	result.rank = 1
	for _, belief := range learning.Beliefs {
		if belief.Odds > learning.Odds.Table["s/r0"] {
			result.rank++
		}
	}
	for cycle := range 300 {
		runCycle(1)
		if learning.Odds.Table["s/r1"] > 0.9 {
			result.cyclesToFollow = cycle + 1
			break
		}
	}
	return result
}

var _ = ginkgo.Describe("convergence of learning", func() {
	for _, identifiers := range []int{2, 5, 10, 40} {
		for _, percentile := range []float64{0.5, 0.75, 0.9} {
			seeds := 5.0
			if os.Getenv("SEEDS") == "1" {
				seeds = 1
			}
			ginkgo.It(fmt.Sprintf("given %d identifiers and P %.2f, when one route has varying latency and then another, then each is found", identifiers, percentile), func() {
				var cyclesToFind, cyclesToFollow, recordedShare float64
				for seed := range uint64(seeds) {
					result := runTrial(seed+1, identifiers, percentile, 0.05)
					Expect(result.cyclesToFind).To(BeNumerically(">", 0))
					Expect(result.rank).To(Equal(1))
					Expect(result.cyclesToFollow).To(BeNumerically(">", 0))
					cyclesToFind, cyclesToFollow, recordedShare = cyclesToFind+float64(result.cyclesToFind)/seeds, cyclesToFollow+float64(result.cyclesToFollow)/seeds, recordedShare+result.recordedShare/seeds
				}
				ginkgo.GinkgoWriter.Printf("MEASURE odds, %d identifiers, P %.2f: past 0.9 after %.1f cycles, %.0f%% of calls recorded over 60 cycles, follows varying latency on another route after %.1f cycles\n", identifiers, percentile, cyclesToFind, 100*recordedShare, cyclesToFollow)
			})
		}
	}
})

// measureAdaptation learns for stableCycles with r0 as the slow route, some of the
// cycles with only half of the spans, then with r1 as the slow route. It returns
// the cycles until r1 is above 0.9 (0 for never) and until r0 is below 0.5 (400
// for never).
func measureAdaptation(seed uint64, stableCycles int, percentile, evidence float64) (found, dropped int) {
	rand := random.Seeded(seed)
	settings := testSettings()
	settings.Percentile, settings.Evidence, settings.Draws = percentile, evidence, 100
	learning := &wire.Learning{}
	for cycle := range stableCycles {
		spans := spanBatch(rand, 10, 8, 0)
		if cycle%7 == 3 {
			spans = spans[:len(spans)/2]
		}
		learning = Learn(learning, spans, settings, rand, allRoutes)
	}
	settings.Draws = 1000
	for cycle := range 400 {
		learning = Learn(learning, spanBatch(rand, 10, 8, 1), settings, rand, allRoutes)
		for _, probability := range learning.Odds.Table {
			Expect(probability).To(And(BeNumerically(">=", 0.05), BeNumerically("<=", 1)))
		}
		if found == 0 && learning.Odds.Table["s/r1"] > 0.9 {
			found = cycle + 1
		}
		if dropped == 0 && learning.Odds.Table["s/r0"] < 0.5 {
			dropped = cycle + 1
		}
		if found > 0 && dropped > 0 {
			return found, dropped
		}
	}
	return found, 400
}

var _ = ginkgo.Describe("adaptation of sampling probabilities", func() {
	stablePeriods, evidenceBounds, percentiles := []int{100, 600}, []float64{20}, []float64{0.9}
	if os.Getenv("MEASURE") != "" {
		stablePeriods, evidenceBounds, percentiles = []int{100, 1000, 10000}, []float64{1e6, 100, 50, 20, 10}, []float64{0.75, 0.9}
	}
	for _, stableCycles := range stablePeriods {
		for i := range len(evidenceBounds) * len(percentiles) {
			evidence, percentile := evidenceBounds[i/len(percentiles)], percentiles[i%len(percentiles)]
			ginkgo.It(fmt.Sprintf("given %d stable cycles, some with half the spans, and evidence bounded by %.0f at P %.2f, when the varying latency moves, then the probabilities follow", stableCycles, evidence, percentile), func() {
				found, dropped := 0.0, 0.0
				for seed := range uint64(3) {
					foundAfter, droppedAfter := measureAdaptation(seed+1, stableCycles, percentile, evidence)
					found, dropped = found+float64(foundAfter)/3, dropped+float64(droppedAfter)/3
				}
				ginkgo.GinkgoWriter.Printf("MEASURE keeping up, %d stable cycles, P %.2f, evidence %.0f: new slow route found after %.1f cycles, old one dropped after %.1f\n", stableCycles, percentile, evidence, found, dropped)
				if evidence == 20 {
					Expect(found).To(And(BeNumerically(">", 0), BeNumerically("<", 60)))
					Expect(dropped).To(BeNumerically("<", 120))
				}
			})
		}
	}

	ginkgo.It("given a route that the bundle no longer contains, when a cycle passes, then its belief and probability are removed", func() {
		rand := random.Seeded(1)
		learning := learnCycles(rand, 5, func() []*wire.Span { return spanBatch(rand, 4, 10, 1) })
		learning = Learn(learning, spanBatch(rand, 4, 10, 1), testSettings(), rand, func(identifier string) bool { return identifier != "s/r2" })
		Expect(learning.Beliefs).To(HaveLen(3))
		Expect(learning.Odds.Table).NotTo(HaveKey("s/r2"))
		Expect(learning.Odds.Table).To(HaveLen(3))
	})
})
