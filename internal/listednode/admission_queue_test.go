package listednode

import (
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
)

func flood(s base.Scope, g *AdmissionQueue, group string, weight float64, callers int, rounds int) *atomic.Int64 {
	served := &atomic.Int64{}
	for range callers {
		go func() {
			for range rounds {
				leave, fault := g.Acquire(s, group, weight, s.Clock.Mono()+time.Second)
				if fault != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				time.Sleep(10 * time.Millisecond)
				leave()
				served.Add(1)
			}
		}()
	}
	return served
}

var _ = ginkgo.Describe("the gate", func() {
	ginkgo.It("given two groups that flood it, when weights are 3 to 1, then they are served 3 to 1", func() {
		bubble(func(s base.Scope) {
			g := NewAdmissionQueue(s.Clock, 4, 100)
			heavy, light := flood(s, g, "heavy", 3, 20, 300), flood(s, g, "light", 1, 20, 300)
			time.Sleep(5 * time.Second)
			Expect(float64(heavy.Load()) / float64(light.Load())).To(BeNumerically("~", 3, 0.3))
			time.Sleep(time.Hour)
			Expect(g.InFlight()).To(BeZero())
		})
	})

	ginkgo.It("given one group that floods with forty callers, when another asks a little, then it is served at once", func() {
		bubble(func(s base.Scope) {
			g := NewAdmissionQueue(s.Clock, 4, 60)
			flood(s, g, "flood", 1, 40, 300)
			calm := flood(s, g, "calm", 1, 1, 100)
			time.Sleep(4 * time.Second)
			Expect(calm.Load()).To(Equal(int64(100)))
			time.Sleep(time.Hour)
		})
	})

	ginkgo.It("given room to spare, when one group asks, then it may use all of it", func() {
		bubble(func(s base.Scope) {
			g := NewAdmissionQueue(s.Clock, 4, 60)
			served := flood(s, g, "only", 0.1, 8, 100)
			time.Sleep(2010 * time.Millisecond)
			Expect(served.Load()).To(BeNumerically("~", 800, 8))
			time.Sleep(time.Hour)
		})
	})

	ginkgo.It("given a full queue, when more come, then they are bounced early and none waits past its deadline", func() {
		bubble(func(s base.Scope) {
			g := NewAdmissionQueue(s.Clock, 1, 5)
			leave, fault := g.Acquire(s, "a", 1, s.Clock.Mono()+time.Second)
			Expect(fault).To(BeNil())
			kinds := make(chan base.Kind, 20)
			for range 20 {
				go func() {
					_, fault := g.Acquire(s, "a", 1, s.Clock.Mono()+time.Second)
					kinds <- fault.Kind
				}()
			}
			time.Sleep(time.Millisecond)
			Expect(kinds).To(HaveLen(15))
			time.Sleep(time.Second)
			Expect(kinds).To(HaveLen(20))
			leave()
			Expect(g.InFlight()).To(BeZero())
			again, fault := g.Acquire(s, "a", 1, s.Clock.Mono()+time.Second)
			Expect(fault).To(BeNil())
			again()
		})
	})
})
