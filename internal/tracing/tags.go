package tracing

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"curlewreach/proto/wire"
)

const (
	// minCorrelatedSpans is the minimum number of spans of an identifier for
	// computing correlations.
	minCorrelatedSpans = 20
	// minCorrelation is the minimum absolute correlation coefficient that is reported.
	minCorrelation = 0.3
	// maxCorrelations is the maximum number of correlations reported; the strongest
	// are kept.
	maxCorrelations = 16
)

// Correlate returns the tags whose presence correlates with latency, by the
// Pearson coefficient within each identifier (the paper, III-A, "Tags
// analysis"), strongest first.
func Correlate(spans []*wire.Span) []*wire.Correlation {
	samples := map[string]*tagSamples{}
	for _, span := range spans {
		identifier := Identifier(span)
		if samples[identifier] == nil {
			samples[identifier] = &tagSamples{spansByTag: map[string][]int{}}
		}
		samples[identifier].add(span)
	}
	var found []*wire.Correlation
	for identifier, sample := range samples {
		if len(sample.latencies) >= minCorrelatedSpans {
			found = append(found, sample.correlations(identifier)...)
		}
	}
	slices.SortFunc(found, func(a, b *wire.Correlation) int {
		return cmp.Or(cmp.Compare(math.Abs(b.R), math.Abs(a.R)), cmp.Compare(a.Identifier+a.Tag, b.Identifier+b.Tag))
	})
	return found[:min(len(found), maxCorrelations)]
}

// tagSamples holds the latencies of one identifier's spans in microseconds, and
// for each tag, as "name=value", the indexes of the spans that carry it.
type tagSamples struct {
	latencies  []float64
	spansByTag map[string][]int
}

func (t *tagSamples) add(span *wire.Span) {
	index := len(t.latencies)
	t.latencies = append(t.latencies, float64(span.DurationUs))
	for name, value := range span.Tags {
		tag := name + "=" + value
		t.spansByTag[tag] = append(t.spansByTag[tag], index)
	}
}

// correlations returns the tags that correlate with latency, unordered.
func (t *tagSamples) correlations(identifier string) []*wire.Correlation {
	var found []*wire.Correlation
	for tag, indexes := range t.spansByTag {
		present := make([]float64, len(t.latencies))
		for _, index := range indexes {
			present[index] = 1
		}
		if r := stat.Correlation(present, t.latencies, nil); math.Abs(r) >= minCorrelation {
			found = append(found, &wire.Correlation{Identifier: identifier, Tag: tag, R: r, Spans: uint64(len(t.latencies))})
		}
	}
	return found
}
