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
		Expect(fences.Start("late")).To(BeFalse())
		Expect(fences.Hand("late")).To(BeFalse())
		Expect(fences.Start("run")).To(BeTrue())
		Expect(fences.Hand("run")).To(BeTrue())
		Expect(fences.Fence("run")).To(BeFalse())
		Expect(fences.Start("queued")).To(BeTrue())
		Expect(fences.Fence("queued")).To(BeTrue())
		Expect(fences.Hand("queued")).To(BeFalse())
	})
})
