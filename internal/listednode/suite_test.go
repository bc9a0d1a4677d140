package listednode

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/random"
	"curlewreach/internal/testing/simnet"
)

// suite is the test that the synctest bubbles of specs belong to.
var suite *testing.T

func TestListedNode(t *testing.T) {
	suite = t
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "listednode")
}

// runInBubble runs body in a synctest bubble, in a scope with a simulated clock.
func runInBubble(body func(s base.Scope)) {
	synctest.Test(suite, func(*testing.T) {
		defer ginkgo.GinkgoRecover()
		body(base.Scope{Context: context.Background(), Clock: simnet.NewClock(time.Now()), Rand: random.Seeded(1), Journal: base.NewJournal(100)})
	})
}
