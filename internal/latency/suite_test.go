package latency

import (
	"testing"

	"curlewreach/internal/testing/simulation"
)

func TestLatency(t *testing.T) { simulation.RunSpecs(t, "latency") }
