package admission

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/testing/simulation"
)

const (
	linkMbps  = 11
	largeSize = 300_000
)

// largeTransmitTime is how long the usable part of the link takes for one large response.
var largeTransmitTime = NewLinkPacer(&simulation.ManualClock{}, linkMbps).transmitTime(largeSize)

var _ = ginkgo.Describe("a slow link", func() {
	simulation.It("given a link of unknown bandwidth, when large responses are sent, then nothing is paced", func(s *simulation.Simulation) {
		p := NewLinkPacer(s.Clock, 0)
		for range 10 {
			p.Wait(context.Background(), 1<<20)
		}
		Expect(s.Clock.Mono()).To(BeZero())
		Expect(p.Backlog()).To(BeZero())
		Expect(p.IsPaced("archive")).To(BeFalse())
	})

	simulation.It("given a response that waits for the link, when its context is done, then it stops waiting", func(s *simulation.Simulation) {
		p := NewLinkPacer(s.Clock, linkMbps)
		p.Wait(context.Background(), 10*largeSize)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		p.Wait(ctx, largeSize)
		Expect(s.Clock.Mono()).To(BeNumerically("~", 50*time.Millisecond, time.Millisecond))
	})

	simulation.It("given reserved responses, when they are settled, with a size or without a response, then the backlog is empty", func(s *simulation.Simulation) {
		p := NewLinkPacer(s.Clock, linkMbps)
		p.Reserve("archive")(largeSize)
		Expect(p.IsPaced("archive")).To(BeTrue())
		settle := p.Reserve("archive")
		Expect(p.Backlog()).To(Equal(largeTransmitTime))
		settle(0)
		settle(0)
		Expect(p.Backlog()).To(BeZero())
	})
})
