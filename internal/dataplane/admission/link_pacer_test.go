package admission

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/testing/simulation"
)

const (
	thinMbps  = 11
	largeSize = 300_000
)

// largeSpell is what one large answer takes of the thin link's part that is used.
var largeSpell = NewLinkPacer(&simulation.ManualClock{}, thinMbps).spell(largeSize)

var _ = ginkgo.Describe("a thin link", func() {
	simulation.It("given a machine whose link is not told, when large answers come, then nothing is paced", func(s *simulation.Simulation) {
		p := NewLinkPacer(s.Clock, 0)
		for range 10 {
			p.Wait(context.Background(), 1<<20)
		}
		Expect(s.Clock.Mono()).To(BeZero())
		Expect(p.Backlog()).To(BeZero())
		Expect(p.IsPaced("archive")).To(BeFalse())
	})

	simulation.It("given an answer that is waiting for its turn, when its visitor goes, then it waits no longer", func(s *simulation.Simulation) {
		p := NewLinkPacer(s.Clock, thinMbps)
		p.Wait(context.Background(), 10*largeSize)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		p.Wait(ctx, largeSize)
		Expect(s.Clock.Mono()).To(BeNumerically("~", 50*time.Millisecond, time.Millisecond))
	})

	simulation.It("given answers that are owed, when they are settled or end without one, then nothing is owed any more", func(s *simulation.Simulation) {
		p := NewLinkPacer(s.Clock, thinMbps)
		p.Reserve("archive")(largeSize)
		Expect(p.IsPaced("archive")).To(BeTrue())
		settle := p.Reserve("archive")
		Expect(p.Backlog()).To(Equal(largeSpell))
		settle(0)
		settle(0)
		Expect(p.Backlog()).To(BeZero())
	})
})
