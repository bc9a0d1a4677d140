package tracing

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

var suite *testing.T

func TestTracing(t *testing.T) {
	suite = t
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "tracing")
}

func every(string) bool { return true }

func tracing() *wire.Tracing {
	return &wire.Tracing{Percentile: 0.9, Epsilon: 0.05, Draws: 1000, Memory: 0.3, Utility: "variance"}
}

func batch(rand *random.Source, identifiers, each int, swinging ...int) []*wire.Span {
	var spans []*wire.Span
	for i := range identifiers {
		swing := 500.0
		for _, at := range swinging {
			if at == i {
				swing = 20000
			}
		}
		for range each {
			spans = append(spans, &wire.Span{Id: rand.Hex(8), Service: "s", Route: fmt.Sprint("r", i), SelfUs: uint64(1000 + swing*rand.Float64())})
		}
	}
	return spans
}

func learned(rand *random.Source, cycles int, spans func() []*wire.Span) *wire.Learning {
	learning := &wire.Learning{}
	for range cycles {
		learning = Learn(learning, spans(), tracing(), rand, every)
	}
	return learning
}
