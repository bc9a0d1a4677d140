package tracing

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

// suite is the test that runs the specs, for specs that need a *testing.T.
var suite *testing.T

func TestTracing(t *testing.T) {
	suite = t
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "tracing")
}

// allRoutes accepts every identifier as known.
func allRoutes(string) bool { return true }

func testSettings() *wire.Tracing {
	return &wire.Tracing{Percentile: 0.9, Epsilon: 0.05, Draws: 1000, Memory: 0.3, Utility: "variance"}
}

// spanBatch returns spans of the routes s/r0, s/r1 and so on. Self times vary by
// up to 500 µs, and by up to 20,000 µs on the routes listed as slow.
func spanBatch(rand *random.Source, identifiers, spansPerRoute int, slow ...int) []*wire.Span {
	var spans []*wire.Span
	for i := range identifiers {
		jitter := 500.0
		for _, route := range slow {
			if route == i {
				jitter = 20000
			}
		}
		for range spansPerRoute {
			spans = append(spans, &wire.Span{Id: rand.Hex(8), Service: "s", Route: fmt.Sprint("r", i), SelfUs: uint64(1000 + jitter*rand.Float64())})
		}
	}
	return spans
}

// learnCycles runs learning cycles from scratch, each on the result of spans.
func learnCycles(rand *random.Source, cycles int, spans func() []*wire.Span) *wire.Learning {
	learning := &wire.Learning{}
	for range cycles {
		learning = Learn(learning, spans(), testSettings(), rand, allRoutes)
	}
	return learning
}
