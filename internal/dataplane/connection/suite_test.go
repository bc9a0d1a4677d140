package connection

import (
	"testing"

	"curlewreach/internal/testing/simulation"
)

func TestConnection(t *testing.T) { simulation.RunSpecs(t, "connection") }
