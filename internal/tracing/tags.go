package tracing

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"curlewreach/proto/wire"
)

const (
	// fewestTagged is the least number of spans of an identifier to judge a
	// correlation by.
	fewestTagged = 20
	// faintest is the least absolute correlation coefficient that is reported.
	faintest = 0.3
	// correlateMost is the most correlations reported, the strongest.
	correlateMost = 16
)

// Correlate finds the tags whose presence goes with latency, by Pearson
// correlation within each identifier (the paper, III-A, "Tags analysis"). The
// strongest come first.
func Correlate(spans []*wire.Span) []*wire.Correlation {
	samples := map[string]*tagged{}
	for _, span := range spans {
		identifier := Identifier(span)
		if samples[identifier] == nil {
			samples[identifier] = &tagged{holders: map[string][]int{}}
		}
		samples[identifier].add(span)
	}
	var found []*wire.Correlation
	for identifier, sample := range samples {
		if len(sample.latencies) >= fewestTagged {
			found = append(found, sample.correlations(identifier)...)
		}
	}
	slices.SortFunc(found, func(a, b *wire.Correlation) int {
		return cmp.Or(cmp.Compare(math.Abs(b.R), math.Abs(a.R)), cmp.Compare(a.Identifier+a.Tag, b.Identifier+b.Tag))
	})
	return found[:min(len(found), correlateMost)]
}

// tagged holds the spans of one identifier: their latencies in microseconds,
// and for each tag and value the indexes of the spans that have it.
type tagged struct {
	latencies []float64
	holders   map[string][]int
}

func (t *tagged) add(span *wire.Span) {
	at := len(t.latencies)
	t.latencies = append(t.latencies, float64(span.DurationUs))
	for name, value := range span.Tags {
		tag := name + "=" + value
		t.holders[tag] = append(t.holders[tag], at)
	}
}

// correlations returns the tags that correlate with latency, in no order.
func (t *tagged) correlations(identifier string) []*wire.Correlation {
	var found []*wire.Correlation
	for tag, holders := range t.holders {
		has := make([]float64, len(t.latencies))
		for _, at := range holders {
			has[at] = 1
		}
		if r := stat.Correlation(has, t.latencies, nil); math.Abs(r) >= faintest {
			found = append(found, &wire.Correlation{Identifier: identifier, Tag: tag, R: r, Spans: uint64(len(t.latencies))})
		}
	}
	return found
}
