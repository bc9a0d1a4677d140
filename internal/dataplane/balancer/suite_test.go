package balancer

import (
	"testing"

	"curlewreach/internal/testing/simulation"
)

func TestBalancer(t *testing.T) { simulation.RunSpecs(t, "balancer") }
