package simulation

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// step is how often Until looks.
const step = 5 * time.Millisecond

// suite is the test that runs the specs of the package under test.
var suite *testing.T

// RunSpecs runs the specs of the package under test under a name, those of It among them.
func RunSpecs(t *testing.T, name string) {
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, name)
}

// It adds a spec that runs in a simulation whose machines are UsualDelay apart.
func It(text string, test func(s *Simulation)) { ItAt(text, DefaultDelay, test) }

// ItAt adds a spec that runs in a simulation whose machines are delay apart, one way.
func ItAt(text string, delay time.Duration, test func(s *Simulation)) {
	ginkgo.It(text, func() { Run(suite, delay, test) })
}

// WaitUntil waits until reached, for longest at most, and returns how long that took.
func (s *Simulation) WaitUntil(longest time.Duration, reached func() bool) time.Duration {
	began := s.Clock.Mono()
	for s.Clock.Mono()-began < longest && !reached() {
		time.Sleep(step)
	}
	return s.Clock.Mono() - began
}
