package latency

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a relative latency", func() {
	const usual = 100 * time.Millisecond

	ginkgo.It("given no response, when it is read at any time, then it is the usual one", func() {
		var latency Relative
		Expect(latency.Average(0)).To(Equal(Usual))
		Expect(latency.Average(time.Hour)).To(Equal(Usual))
	})

	ginkgo.It("given responses of a slow peer, when none follows, then it counts in full for a half-life and half as much after each further one", func() {
		var latency Relative
		now := time.Minute
		for range 40 {
			latency.Record(3*usual, usual, now)
		}
		Expect(latency.Average(now)).To(BeNumerically("~", 3, 0.01))
		Expect(latency.Average(now + halfLife)).To(Equal(latency.Average(now)))
		Expect(latency.Average(now + 2*halfLife)).To(BeNumerically("~", 2, 0.01))
		Expect(latency.Average(now + 3*halfLife)).To(BeNumerically("~", 1.5, 0.01))
	})

	ginkgo.It("given what counted long ago, when a response follows, then it starts from the usual one", func() {
		var latency Relative
		for range 40 {
			latency.Record(4*usual, usual, 0)
		}
		latency.Record(usual, usual, time.Hour)
		Expect(latency.Average(time.Hour)).To(BeNumerically("~", Usual, 0.001))
	})

	ginkgo.It("given responses out of all bounds, when they are averaged, then the average stays within its own", func() {
		var slow, fast Relative
		slow.Record(time.Hour, usual, 0)
		Expect(slow.Average(0)).To(BeNumerically("~", Usual+smoothing*(maxSample-Usual), 1e-9))
		for range 100 {
			slow.Record(time.Hour, usual, 0)
			fast.Record(0, usual, 0)
		}
		Expect(slow.Average(0)).To(BeNumerically("~", maxAverage, 1e-9))
		Expect(fast.Average(0)).To(BeNumerically("~", minAverage, 1e-9))
	})
})
