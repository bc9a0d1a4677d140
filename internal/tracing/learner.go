package tracing

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

type Measure func(selves []float64) float64

var Measures = map[string]Measure{
	"variance":  func(selves []float64) float64 { return stat.Variance(selves, nil) },
	"deviation": func(selves []float64) float64 { return stat.StdDev(selves, nil) },
	"mean":      func(selves []float64) float64 { return stat.Mean(selves, nil) },
}

const fewestSelves = 2

const UncertainTag = "uncertain"

const (
	FarSide     = ""
	NearSide    = "near"
	AttemptSide = "attempt"
)

func Identifier(span *wire.Span) string { return span.Service + "/" + span.Route }

type source struct{ rand *base.Rand }

func (s source) Uint64() uint64 { return s.rand.Uint64() }

func Utilities(spans []*wire.Span, measure Measure) (utilities map[string]float64, counts map[string]uint64) {
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

func Learn(prior *wire.Learning, spans []*wire.Span, tracing *wire.Tracing, rand *base.Rand, named func(identifier string) bool) *wire.Learning {
	spans = slices.DeleteFunc(slices.Clone(spans), func(span *wire.Span) bool { return span.Side != FarSide || !named(Identifier(span)) })
	utilities, counts := Utilities(spans, Measures[tracing.GetUtility()])
	beliefs := map[string]*wire.Belief{}
	for _, belief := range prior.GetBeliefs() {
		if !named(belief.Identifier) {
			continue
		}
		if !lawful(belief) {
			belief = &wire.Belief{Identifier: belief.Identifier, Alpha: 1, Beta: 1, Mean: math.NaN(), Samples: belief.Samples}
		}
		beliefs[belief.Identifier] = &wire.Belief{
			Identifier: belief.Identifier, Alpha: belief.Alpha, Beta: belief.Beta,
			Mean: belief.Mean, Utility: belief.Utility, Samples: belief.Samples + counts[belief.Identifier],
		}
	}
	for identifier, count := range counts {
		if beliefs[identifier] == nil {
			beliefs[identifier] = &wire.Belief{Identifier: identifier, Alpha: 1, Beta: 1, Mean: math.NaN(), Samples: count}
		}
	}
	largest := 0.0
	for _, utility := range utilities {
		largest = max(largest, utility)
	}
	if largest > 0 {
		for identifier, utility := range utilities {
			update(beliefs[identifier], utility/largest, tracing.GetMemory(), tracing.GetEvidence())
			beliefs[identifier].Utility = utility
		}
	}
	learning := &wire.Learning{Holder: prior.GetHolder(), Cycle: prior.GetCycle() + 1, Correlations: Correlate(spans)}
	if len(learning.Correlations) == 0 {
		learning.Correlations = prior.GetCorrelations()
	}
	for _, belief := range beliefs {
		learning.Beliefs = append(learning.Beliefs, belief)
	}
	slices.SortFunc(learning.Beliefs, func(a, b *wire.Belief) int { return cmp.Compare(a.Identifier, b.Identifier) })
	odds := Odds(learning.Beliefs, tracing, rand)
	learning.Odds = &wire.Odds{Serial: prior.GetOdds().GetSerial() + 1, Epsilon: tracing.GetEpsilon(), Table: odds}
	for _, belief := range learning.Beliefs {
		belief.Odds = odds[belief.Identifier]
	}
	return learning
}

func lawful(belief *wire.Belief) bool {
	shaped := belief.Alpha >= 1 && belief.Beta >= 1 && belief.Alpha+belief.Beta < math.MaxFloat32
	return shaped && !(belief.Mean < 0) && !(belief.Mean > 1)
}

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

func Odds(beliefs []*wire.Belief, tracing *wire.Tracing, rand *base.Rand) map[string]float64 {
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
