// Package tracing decides which calls are recorded in detail. Nodes record
// spans, core machines store them, a learner estimates which spans tell most
// about latency, and nodes draw from its odds. The learner follows "An Online
// Probabilistic Distributed Tracing System" (arXiv 2405.15645), below the
// paper; docs/design.md tells what was changed.
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

// UtilityFunc computes a span's utility from its self times in microseconds (the
// paper, III-A).
type UtilityFunc func(selves []float64) float64

// UtilityFuncs are the utilities that a configuration may name. The paper's choice
// is the variance.
var UtilityFuncs = map[string]UtilityFunc{
	"variance":  func(selves []float64) float64 { return stat.Variance(selves, nil) },
	"deviation": func(selves []float64) float64 { return stat.StdDev(selves, nil) },
	"mean":      func(selves []float64) float64 { return stat.Mean(selves, nil) },
}

// fewestSelves is the least number of self times that has a variance.
const fewestSelves = 2

// UncertainTag marks a span whose self time can't be told, as its further calls
// couldn't be tied to it. Such spans count, but nothing is learned from their
// self time.
const UncertainTag = "uncertain"

// The sides of a call that record a span.
const (
	// UpstreamSide is the node beside the upstream. Only its spans are learned from.
	UpstreamSide = ""
	// CallerSide is the node beside the caller: one span a request.
	CallerSide = "near"
	// AttemptSide is the node beside the caller: one span an attempt.
	AttemptSide = "attempt"
)

// Identifier returns what a belief is about: the span's service and route.
func Identifier(span *wire.Span) string { return span.Service + "/" + span.Route }

type source struct{ rand *random.Source }

func (s source) Uint64() uint64 { return s.rand.Uint64() }

// Utilities returns the utility of each identifier by its spans' self times,
// and how many spans it has. Identifiers with too few self times have no
// utility.
func Utilities(spans []*wire.Span, measure UtilityFunc) (utilities map[string]float64, counts map[string]uint64) {
	selves := map[string][]float64{}
	counts = map[string]uint64{}
	for _, span := range spans {
		identifier := Identifier(span)
		counts[identifier]++
		if span.Tags[UncertainTag] == "" {
			selves[identifier] = append(selves[identifier], float64(span.SelfUs))
		}
	}
	utilities = map[string]float64{}
	for identifier, sample := range selves {
		if len(sample) < fewestSelves {
			continue
		}
		if utility := measure(sample); !math.IsNaN(utility) {
			utilities[identifier] = utility
		}
	}
	return utilities, counts
}

// Learn makes one cycle of learning (the paper, III-B): it updates the prior's
// beliefs by a batch of spans and draws new odds from them. Only identifiers
// that named accepts are kept. The prior is not changed.
func Learn(prior *wire.Learning, spans []*wire.Span, tracing *wire.Tracing, rand *random.Source, named func(identifier string) bool) *wire.Learning {
	spans = slices.DeleteFunc(slices.Clone(spans), func(span *wire.Span) bool { return span.Side != UpstreamSide || !named(Identifier(span)) })
	utilities, counts := Utilities(spans, UtilityFuncs[tracing.GetUtility()])
	beliefs := carryOver(prior, counts, named)
	updateAll(beliefs, utilities, tracing)
	learning := &wire.Learning{
		Holder: prior.GetHolder(), Cycle: prior.GetCycle() + 1, Correlations: Correlate(spans),
		Beliefs: slices.SortedFunc(maps.Values(beliefs), func(a, b *wire.Belief) int { return cmp.Compare(a.Identifier, b.Identifier) }),
	}
	if len(learning.Correlations) == 0 {
		learning.Correlations = prior.GetCorrelations()
	}
	odds := SamplingProbabilities(learning.Beliefs, tracing, rand)
	learning.Odds = &wire.Odds{Serial: prior.GetOdds().GetSerial() + 1, Epsilon: tracing.GetEpsilon(), Table: odds}
	for _, belief := range learning.Beliefs {
		belief.Odds = odds[belief.Identifier]
	}
	return learning
}

// carryOver returns copies of the prior's beliefs in named identifiers, and
// new ones for identifiers seen for the first time, with the spans counted.
func carryOver(prior *wire.Learning, counts map[string]uint64, named func(identifier string) bool) map[string]*wire.Belief {
	beliefs := map[string]*wire.Belief{}
	for _, old := range prior.GetBeliefs() {
		if !named(old.Identifier) {
			continue
		}
		belief := newBelief(old.Identifier, old.Samples)
		if lawful(old) {
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

// newBelief returns the uniform prior Beta(1, 1) without a moving average yet.
func newBelief(identifier string, samples uint64) *wire.Belief {
	return &wire.Belief{Identifier: identifier, Alpha: 1, Beta: 1, Mean: math.NaN(), Samples: samples}
}

// updateAll updates the beliefs by utilities normalised by the largest of the
// batch. If that is 0 nothing is learned.
func updateAll(beliefs map[string]*wire.Belief, utilities map[string]float64, tracing *wire.Tracing) {
	largest := 0.0
	for _, utility := range utilities {
		largest = max(largest, utility)
	}
	if largest <= 0 {
		return
	}
	for identifier, utility := range utilities {
		update(beliefs[identifier], utility/largest, tracing.GetMemory(), tracing.GetEvidence())
		beliefs[identifier].Utility = utility
	}
}

// lawful reports whether a belief can have come from learning; the sampler
// fails on others.
func lawful(belief *wire.Belief) bool {
	shaped := belief.Alpha >= 1 && belief.Beta >= 1 && belief.Alpha+belief.Beta < math.MaxFloat32
	return shaped && !(belief.Mean < 0) && !(belief.Mean > 1)
}

// update adds a normalised utility to a belief (the paper, equations 1 and 2):
// alpha grows by the moving average, in which the newest batch has the weight
// memory, and beta by its complement. Evidence over the prior is scaled back
// to most, if that is above 0, so that a change is still learned later on.
func update(belief *wire.Belief, normal, memory, most float64) {
	if math.IsNaN(belief.Mean) {
		belief.Mean = normal
	} else {
		belief.Mean += memory * (normal - belief.Mean)
	}
	belief.Alpha += belief.Mean
	belief.Beta += 1 - belief.Mean
	if evidence := belief.Alpha + belief.Beta - 2; most > 0 && evidence > most {
		belief.Alpha = 1 + (belief.Alpha-1)*most/evidence
		belief.Beta = 1 + (belief.Beta-1)*most/evidence
	}
}

// SamplingProbabilities approximates for each belief the probability that its utility is at or
// above the configured percentile of all, by Monte Carlo draws (the paper's
// ABS, III-B), and raises it to the floor epsilon.
func SamplingProbabilities(beliefs []*wire.Belief, tracing *wire.Tracing, rand *random.Source) map[string]float64 {
	draws := int(tracing.GetDraws())
	picked := make([]int, len(beliefs))
	row := make([]float64, len(beliefs))
	ordered := make([]float64, len(beliefs))
	for range draws {
		for i, belief := range beliefs {
			row[i] = distuv.Beta{Alpha: belief.Alpha, Beta: belief.Beta, Src: source{rand}}.Rand()
		}
		copy(ordered, row)
		slices.Sort(ordered)
		bar := percentile(ordered, tracing.GetPercentile())
		for i, value := range row {
			if value >= bar {
				picked[i]++
			}
		}
	}
	odds := make(map[string]float64, len(beliefs))
	for i, belief := range beliefs {
		odds[belief.Identifier] = max(float64(picked[i])/float64(draws), tracing.GetEpsilon())
	}
	return odds
}

// percentile interpolates linearly between the two nearest ranks.
func percentile(ordered []float64, p float64) float64 {
	if len(ordered) == 0 {
		return 0
	}
	at := p * float64(len(ordered)-1)
	low := int(at)
	if low+1 >= len(ordered) {
		return ordered[len(ordered)-1]
	}
	return ordered[low] + (at-float64(low))*(ordered[low+1]-ordered[low])
}
