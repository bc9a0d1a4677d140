package balancer

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"curlewreach/internal/testing/simulation"
)

var suite *testing.T

func TestBalancer(t *testing.T) {
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "balancer")
}

func story(text string, test func(s *simulation.Simulation)) {
	ginkgo.It(text, func() { simulation.Run(suite, simulation.UsualDelay, test) })
}
