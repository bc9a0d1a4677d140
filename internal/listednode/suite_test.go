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

var suite *testing.T

func TestFlow(t *testing.T) {
	suite = t
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "flow")
}

func runInBubble(body func(s base.Scope)) {
	synctest.Test(suite, func(*testing.T) {
		defer ginkgo.GinkgoRecover()
		body(base.Scope{Context: context.Background(), Clock: simnet.NewClock(time.Now()), Rand: random.Seeded(1), Journal: base.NewJournal(100)})
	})
}
