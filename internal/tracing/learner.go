// Package tracing implements adaptive sampling of distributed traces. Nodes
// record spans and control machines store them. A learner estimates which
// routes contribute most to the variation of latency and computes a sampling
// probability for each; nodes sample requests by these probabilities. The
// learner follows "An Online Probabilistic Distributed Tracing System" (arXiv
// 2405.15645), called the paper below; docs/design.md lists the differences.
package tracing

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

// UtilityFunc computes the utility of a route from the self times of its spans
// in microseconds (the paper, III-A).
type UtilityFunc func(selfTimes []float64) float64

// UtilityFuncs holds the utility functions by the names that a configuration may
// use. The paper uses the variance.
var UtilityFuncs = map[string]UtilityFunc{
	"variance":  func(selfTimes []float64) float64 { return stat.Variance(selfTimes, nil) },
	"deviation": func(selfTimes []float64) float64 { return stat.StdDev(selfTimes, nil) },
	"mean":      func(selfTimes []float64) float64 { return stat.Mean(selfTimes, nil) },
}

// minSelfTimes is the minimum number of self times for which a variance is defined.
const minSelfTimes = 2

// UncertainTag marks a span whose self time is unknown because its nested calls
// could not be attributed to it. Such spans are counted as samples, but their
// self time is not used for learning.
const UncertainTag = "uncertain"

// The values of a span's side: which node recorded the span, and for what.
const (
	// UpstreamSide is the node beside the upstream. Only its spans are used for learning.
	UpstreamSide = ""
	// CallerSide is the node beside the caller, which records one span per request.
	CallerSide = "near"
	// AttemptSide is the node beside the caller, which also records one span per attempt.
	AttemptSide = "attempt"
)

// Identifier returns "service/route" of a span, the key of beliefs and sampling
// probabilities.
func Identifier(span *wire.Span) string { return span.Service + "/" + span.Route }

// randSource adapts random.Source to the random source of gonum's distributions.
type randSource struct{ rand *random.Source }

func (s randSource) Uint64() uint64 { return s.rand.Uint64() }

// Utilities returns the utility of each identifier, computed from its spans'
// self times, and the number of its spans. Identifiers with fewer than
// minSelfTimes self times get no utility.
func Utilities(spans []*wire.Span, utilityOf UtilityFunc) (utilities map[string]float64, counts map[string]uint64) {
	selfTimes := map[string][]float64{}
	counts = map[string]uint64{}
	for _, span := range spans {
		identifier := Identifier(span)
		counts[identifier]++
		if span.Tags[UncertainTag] == "" {
			selfTimes[identifier] = append(selfTimes[identifier], float64(span.SelfUs))
		}
	}
	utilities = map[string]float64{}
	for identifier, sample := range selfTimes {
		if len(sample) < minSelfTimes {
			continue
		}
		if utility := utilityOf(sample); !math.IsNaN(utility) {
			utilities[identifier] = utility
		}
	}
	return utilities, counts
}

// Learn runs one learning cycle (the paper, III-B): it updates the prior's
// beliefs with a batch of spans and computes new sampling probabilities from
// them. Beliefs and spans whose identifier isKnown rejects are dropped. The
// prior is not modified.
func Learn(prior *wire.Learning, spans []*wire.Span, settings *wire.Tracing, rand *random.Source, isKnown func(identifier string) bool) *wire.Learning {
	spans = slices.DeleteFunc(slices.Clone(spans), func(span *wire.Span) bool { return span.Side != UpstreamSide || !isKnown(Identifier(span)) })
	utilities, counts := Utilities(spans, UtilityFuncs[settings.GetUtility()])
	beliefs := nextBeliefs(prior, counts, isKnown)
	updateBeliefs(beliefs, utilities, settings)
	learning := &wire.Learning{
		Holder: prior.GetHolder(), Cycle: prior.GetCycle() + 1, Correlations: Correlate(spans),
		Beliefs: slices.SortedFunc(maps.Values(beliefs), func(a, b *wire.Belief) int { return cmp.Compare(a.Identifier, b.Identifier) }),
	}
	if len(learning.Correlations) == 0 {
		learning.Correlations = prior.GetCorrelations()
	}
	probabilities := SamplingProbabilities(learning.Beliefs, settings, rand)
	learning.Odds = &wire.Odds{Serial: prior.GetOdds().GetSerial() + 1, Epsilon: settings.GetEpsilon(), Table: probabilities}
	for _, belief := range learning.Beliefs {
		belief.Odds = probabilities[belief.Identifier]
	}
	return learning
}

// nextBeliefs returns copies of the prior's beliefs for known identifiers, and
// new beliefs for identifiers seen for the first time, with the span counts
// added. A belief that is not valid starts again from the uniform prior.
func nextBeliefs(prior *wire.Learning, counts map[string]uint64, isKnown func(identifier string) bool) map[string]*wire.Belief {
	beliefs := map[string]*wire.Belief{}
	for _, old := range prior.GetBeliefs() {
		if !isKnown(old.Identifier) {
			continue
		}
		belief := newBelief(old.Identifier, old.Samples)
		if validBelief(old) {
			belief.Alpha, belief.Beta, belief.Mean, belief.Utility = old.Alpha, old.Beta, old.Mean, old.Utility
		}
		belief.Samples += counts[old.Identifier]
		beliefs[old.Identifier] = belief
	}
	for identifier, count := range counts {
		if beliefs[identifier] == nil {
			beliefs[identifier] = newBelief(identifier, count)
		}
	}
	return beliefs
}

// newBelief returns a belief with the uniform prior Beta(1, 1). Its moving
// average is NaN until the first update.
func newBelief(identifier string, samples uint64) *wire.Belief {
	return &wire.Belief{Identifier: identifier, Alpha: 1, Beta: 1, Mean: math.NaN(), Samples: samples}
}

// updateBeliefs updates the beliefs with the utilities of a batch, normalised by
// the largest one. If the largest is 0, the beliefs stay unchanged.
func updateBeliefs(beliefs map[string]*wire.Belief, utilities map[string]float64, settings *wire.Tracing) {
	largest := 0.0
	for _, utility := range utilities {
		largest = max(largest, utility)
	}
	if largest <= 0 {
		return
	}
	for identifier, utility := range utilities {
		updateBelief(beliefs[identifier], utility/largest, settings.GetMemory(), settings.GetEvidence())
		beliefs[identifier].Utility = utility
	}
}

// validBelief reports whether a belief can be the result of learning. Drawing
// from the Beta distribution fails for other parameters.
func validBelief(belief *wire.Belief) bool {
	validShape := belief.Alpha >= 1 && belief.Beta >= 1 && belief.Alpha+belief.Beta < math.MaxFloat32
	return validShape && !(belief.Mean < 0) && !(belief.Mean > 1)
}

// updateBelief adds a normalised utility to a belief (the paper, equations 1 and
// 2): alpha grows by the exponential moving average, in which the newest batch
// has the given weight, and beta by 1 minus that average. If maxEvidence is above
// 0, the evidence beyond the prior is scaled down to it, so that old beliefs
// still adapt when latencies change.
func updateBelief(belief *wire.Belief, utility, weight, maxEvidence float64) {
	if math.IsNaN(belief.Mean) {
		belief.Mean = utility
	} else {
		belief.Mean += weight * (utility - belief.Mean)
	}
	belief.Alpha += belief.Mean
	belief.Beta += 1 - belief.Mean
	if evidence := belief.Alpha + belief.Beta - 2; maxEvidence > 0 && evidence > maxEvidence {
		belief.Alpha = 1 + (belief.Alpha-1)*maxEvidence/evidence
		belief.Beta = 1 + (belief.Beta-1)*maxEvidence/evidence
	}
}

// SamplingProbabilities estimates, by Monte Carlo draws, the probability of each
// belief that its utility is at or above the configured percentile of all
// utilities (the paper's ABS, III-B). Results below epsilon are raised to epsilon.
func SamplingProbabilities(beliefs []*wire.Belief, settings *wire.Tracing, rand *random.Source) map[string]float64 {
	draws := int(settings.GetDraws())
	reached := make([]int, len(beliefs))
	values := make([]float64, len(beliefs))
	sorted := make([]float64, len(beliefs))
	for range draws {
		for i, belief := range beliefs {
			values[i] = distuv.Beta{Alpha: belief.Alpha, Beta: belief.Beta, Src: randSource{rand}}.Rand()
		}
		copy(sorted, values)
		slices.Sort(sorted)
		threshold := percentile(sorted, settings.GetPercentile())
		for i, value := range values {
			if value >= threshold {
				reached[i]++
			}
		}
	}
	probabilities := make(map[string]float64, len(beliefs))
	for i, belief := range beliefs {
		probabilities[belief.Identifier] = max(float64(reached[i])/float64(draws), settings.GetEpsilon())
	}
	return probabilities
}

// percentile returns the p-quantile (p from 0 to 1) of sorted values, with linear
// interpolation between the two nearest ranks, or 0 for no values.
func percentile(sorted []float64, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	position := p * float64(len(sorted)-1)
	lower := int(position)
	if lower+1 >= len(sorted) {
		return sorted[len(sorted)-1]
	}
	return sorted[lower] + (position-float64(lower))*(sorted[lower+1]-sorted[lower])
}
