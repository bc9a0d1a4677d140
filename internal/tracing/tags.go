package tracing

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"

	"curlewreach/proto/wire"
)

const (
	fewestTagged  = 20
	faintest      = 0.3
	correlateMost = 16
)

func Correlate(spans []*wire.Span) []*wire.Correlation {
	latencies := map[string][]float64{}
	holders := map[string]map[string]map[int]bool{}
	for _, span := range spans {
		identifier := Identifier(span)
		at := len(latencies[identifier])
		latencies[identifier] = append(latencies[identifier], float64(span.DurationUs))
		if holders[identifier] == nil {
			holders[identifier] = map[string]map[int]bool{}
		}
		for name, value := range span.Tags {
			tag := name + "=" + value
			if holders[identifier][tag] == nil {
				holders[identifier][tag] = map[int]bool{}
			}
			holders[identifier][tag][at] = true
		}
	}
	var found []*wire.Correlation
	for identifier, sample := range latencies {
		if len(sample) < fewestTagged {
			continue
		}
		for tag, having := range holders[identifier] {
			has := make([]float64, len(sample))
			for at := range having {
				has[at] = 1
			}
			if r := stat.Correlation(has, sample, nil); math.Abs(r) >= faintest {
				found = append(found, &wire.Correlation{Identifier: identifier, Tag: tag, R: r, Spans: uint64(len(sample))})
			}
		}
	}
	slices.SortFunc(found, func(a, b *wire.Correlation) int {
		return cmp.Or(cmp.Compare(math.Abs(b.R), math.Abs(a.R)), cmp.Compare(a.Identifier+a.Tag, b.Identifier+b.Tag))
	})
	return found[:min(len(found), correlateMost)]
}
