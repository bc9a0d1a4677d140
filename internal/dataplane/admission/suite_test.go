package admission

import (
	"testing"

	"curlewreach/internal/testing/simulation"
)

func TestAdmission(t *testing.T) { simulation.RunSpecs(t, "admission") }
