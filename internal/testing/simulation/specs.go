package simulation

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// pollInterval is how often WaitUntil checks its condition.
const pollInterval = 5 * time.Millisecond

// suite is the test function that runs the specs of the package under test.
var suite *testing.T

// RunSpecs runs the specs of the package under test, including those added by It, as a suite with the given name.
func RunSpecs(t *testing.T, name string) {
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, name)
}

// It adds a spec that runs in a simulation with DefaultDelay between machines.
func It(text string, test func(s *Simulation)) { ItAt(text, DefaultDelay, test) }

// ItAt adds a spec that runs in a simulation with the given one-way delay between machines.
func ItAt(text string, delay time.Duration, test func(s *Simulation)) {
	ginkgo.It(text, func() { Run(suite, delay, test) })
}

// WaitUntil waits until condition returns true, for at most timeout, and returns how long that took.
func (s *Simulation) WaitUntil(timeout time.Duration, condition func() bool) time.Duration {
	start := s.Clock.Mono()
	for s.Clock.Mono()-start < timeout && !condition() {
		time.Sleep(pollInterval)
	}
	return s.Clock.Mono() - start
}
