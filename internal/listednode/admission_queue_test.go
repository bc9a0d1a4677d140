package listednode

import (
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
)

// loadGroup starts callers that each make a number of requests of 10 ms for a group, and returns the count
// of those served.
func loadGroup(s base.Scope, q *AdmissionQueue, group string, weight float64, callers int, rounds int) *atomic.Int64 {
	served := &atomic.Int64{}
	for range callers {
		go func() {
			for range rounds {
				release, fault := q.Acquire(s, group, weight, s.Clock.Mono()+time.Second)
				if fault != nil {
					time.Sleep(time.Millisecond)
					continue
				}
				time.Sleep(10 * time.Millisecond)
				release()
				served.Add(1)
			}
		}()
	}
	return served
}

var _ = ginkgo.Describe("the admission queue", func() {
	ginkgo.It("given two groups that overload it, when their weights are 3 to 1, then they are served 3 to 1", func() {
		runInBubble(func(s base.Scope) {
			q := NewAdmissionQueue(s.Clock, 4, 100)
			heavy, light := loadGroup(s, q, "heavy", 3, 20, 300), loadGroup(s, q, "light", 1, 20, 300)
			time.Sleep(5 * time.Second)
			Expect(float64(heavy.Load()) / float64(light.Load())).To(BeNumerically("~", 3, 0.3))
			time.Sleep(time.Hour)
			Expect(q.InFlight()).To(BeZero())
		})
	})

	ginkgo.It("given a group that overloads it with forty callers, when another group has one caller, then that one is served at once", func() {
		runInBubble(func(s base.Scope) {
			q := NewAdmissionQueue(s.Clock, 4, 60)
			loadGroup(s, q, "flood", 1, 40, 300)
			steady := loadGroup(s, q, "calm", 1, 1, 100)
			time.Sleep(4 * time.Second)
			Expect(steady.Load()).To(Equal(int64(100)))
			time.Sleep(time.Hour)
		})
	})

	ginkgo.It("given a single group with a low weight, when it makes requests, then it may use the whole limit", func() {
		runInBubble(func(s base.Scope) {
			q := NewAdmissionQueue(s.Clock, 4, 60)
			served := loadGroup(s, q, "only", 0.1, 8, 100)
			time.Sleep(2010 * time.Millisecond)
			Expect(served.Load()).To(BeNumerically("~", 800, 8))
			time.Sleep(time.Hour)
		})
	})

	ginkgo.It("given a full queue, when more requests come, then they are rejected at once and none waits past its deadline", func() {
		runInBubble(func(s base.Scope) {
			q := NewAdmissionQueue(s.Clock, 1, 5)
			release, fault := q.Acquire(s, "a", 1, s.Clock.Mono()+time.Second)
			Expect(fault).To(BeNil())
			kinds := make(chan base.Kind, 20)
			for range 20 {
				go func() {
					_, fault := q.Acquire(s, "a", 1, s.Clock.Mono()+time.Second)
					kinds <- fault.Kind
				}()
			}
			time.Sleep(time.Millisecond)
			Expect(kinds).To(HaveLen(15))
			time.Sleep(time.Second)
			Expect(kinds).To(HaveLen(20))
			release()
			Expect(q.InFlight()).To(BeZero())
			releaseAgain, fault := q.Acquire(s, "a", 1, s.Clock.Mono()+time.Second)
			Expect(fault).To(BeNil())
			releaseAgain()
		})
	})

	ginkgo.It("given requests that take 100 ms, when one comes whose time is over before it is answered, then it is rejected at once and told when there is a slot; one with enough time is served", func() {
		runInBubble(func(s base.Scope) {
			const work = 100 * time.Millisecond
			q := NewAdmissionQueue(s.Clock, 1, 5)
			hold := func(timeLeft time.Duration) *base.Fault {
				release, fault := q.Acquire(s, "a", 1, s.Clock.Mono()+timeLeft)
				if fault == nil {
					time.Sleep(work)
					release()
				}
				return fault
			}
			Expect(hold(time.Second)).To(BeNil())
			go hold(time.Second)
			time.Sleep(time.Millisecond)
			askedAt := s.Clock.Mono()
			fault := hold(work + work/2)
			Expect(fault).NotTo(BeNil())
			Expect(fault.Kind).To(Equal(base.Overloaded))
			Expect(fault.RetryAfter).To(Equal(work))
			Expect(s.Clock.Mono()).To(Equal(askedAt))
			Expect(hold(2*work + time.Millisecond)).To(BeNil())
			Expect(s.Clock.Mono() - askedAt).To(BeNumerically("<=", 2*work))
		})
	})

	ginkgo.It("given a queue full of one group, when another group is owed a place, then the request that makes it is told when there is a slot", func() {
		runInBubble(func(s base.Scope) {
			q := NewAdmissionQueue(s.Clock, 1, 2)
			release, _ := q.Acquire(s, "many", 1, s.Clock.Mono()+time.Second)
			time.Sleep(50 * time.Millisecond)
			release()
			release, _ = q.Acquire(s, "many", 1, s.Clock.Mono()+time.Minute)
			faults := make(chan *base.Fault, 3)
			for _, group := range []string{"many", "many", "few"} {
				go func() {
					release, fault := q.Acquire(s, group, 1, s.Clock.Mono()+time.Minute)
					if fault == nil {
						release()
					}
					faults <- fault
				}()
				time.Sleep(time.Millisecond)
			}
			Expect(faults).To(HaveLen(1))
			Expect((<-faults).RetryAfter).To(BeNumerically(">=", 50*time.Millisecond))
			release()
			time.Sleep(time.Second)
			Expect(faults).To(HaveLen(2))
		})
	})
})
