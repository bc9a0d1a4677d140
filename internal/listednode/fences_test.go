package listednode

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/testing/simnet"
)

var _ = ginkgo.Describe("fences", func() {
	ginkgo.It("given an attempt barred before it came, when it comes, then it never starts, and one handed over can't be barred", func() {
		fences := NewFences(simnet.NewClock(time.Now()), time.Minute)
		Expect(fences.Fence("late")).To(BeTrue())
		Expect(fences.Fence("late")).To(BeTrue())
		Expect(fences.Register("late")).To(BeFalse())
		Expect(fences.Deliver("late")).To(BeFalse())
		Expect(fences.Register("run")).To(BeTrue())
		Expect(fences.Deliver("run")).To(BeTrue())
		Expect(fences.Fence("run")).To(BeFalse())
		Expect(fences.Register("queued")).To(BeTrue())
		Expect(fences.Fence("queued")).To(BeTrue())
		Expect(fences.Deliver("queued")).To(BeFalse())
	})
})
