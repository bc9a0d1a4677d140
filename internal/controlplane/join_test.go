package controlplane

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

func (f *fleet) wipe(i int) {
	f.fell(i, true)
	f.controllers[i].disk.Wipe()
}

var _ = ginkgo.Describe("a wiped machine", func() {
	story("given a wiped machine, when it returns, then it votes only once it has read from both others, and serves the newest", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		gone := f.scope.Rand.IntN(3)
		f.wipe(gone)
		Expect(f.insist(gone+1, whole(2, 1, "/b/")).Kind).To(BeEmpty())
		f.raise(gone, false)
		begun := time.Now()
		f.agree(2)
		Expect(time.Since(begun)).To(BeNumerically("<", 3*time.Second))
		for i := range f.controllers {
			if i != gone {
				f.powerLoss(i)
			}
		}
		f.raise((gone+1)%3, false)
		f.agree(2)
	})

	story("given two wiped machines of three, when they return, then they never make a new fleet of their own", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		f.kill(0)
		f.wipe(1)
		f.wipe(2)
		f.raise(1, false)
		f.raise(2, false)
		time.Sleep(10 * time.Second)
		for _, i := range []int{1, 2} {
			Expect(f.controllers[i].server.Ready()).To(BeFalse())
			_, err := f.propose(i, whole(1, 0, "/other/"))
			Expect(err).To(HaveOccurred())
			_, err = f.controllers[i].server.Configuration(f.scope)
			Expect(err).To(HaveOccurred())
			reply, err := f.poll(i, &wire.PollRequest{})
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.Settled).To(BeFalse())
		}
	})

	story("given all machines wiped, when they return without founding, then nothing is begun anew", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		for i := range f.controllers {
			f.wipe(i)
		}
		for i := range f.controllers {
			f.raise(i, false)
		}
		time.Sleep(10 * time.Second)
		for _, k := range f.controllers {
			Expect(k.server.Ready()).To(BeFalse())
		}
	})

	story("given seeds that lag, when control machines restart, then they go by the list that they kept, and a wiped one asks for it", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		f.tuning = func(p *wire.ControllerParams) { p.Seeds = []string{"10.9.0.77:7005", ip(1) + ":7005"} }
		for _, i := range []int{0, 1, 2} {
			f.kill(i)
			f.raise(i, false)
			f.agree(1)
			Expect(f.controllers[i].server.core.Load().replica.Voters()).To(Equal([]string{at(0), at(1), at(2)}))
		}
		f.wipe(0)
		f.raise(0, false)
		f.agree(1)
		Expect(f.controllers[0].server.core.Load().replica.Voters()).To(Equal([]string{at(0), at(1), at(2)}))
		f.tuning = func(p *wire.ControllerParams) { p.Seeds = nil }
		f.powerLoss(0)
		f.raise(0, false)
		f.agree(1)
	})

	story("given control machines killed at any moment of the founding, when they return without founding, then the fleet still begins", func(f *fleet) {
		for round := range 6 {
			for i := range f.controllers {
				f.wipe(i)
			}
			for i := range f.controllers {
				f.raise(i, true)
			}
			time.Sleep(time.Duration(f.scope.Rand.IntN(300)+5*round) * time.Millisecond)
			for i := range f.controllers {
				f.powerLoss(i)
			}
			for i := range f.controllers {
				f.raise(i, false)
			}
			Expect(f.until(f.ready)).To(BeTrue())
			Expect(f.insist(round, whole(1, 0)).Kind).To(BeEmpty())
		}
	})

	story("given a founder that loses its disk before the first generation, when it returns without founding, then the fleet still begins", func(f *fleet) {
		for round := range 6 {
			for i := range f.controllers {
				f.wipe(i)
			}
			for i := range f.controllers {
				f.raise(i, true)
			}
			time.Sleep(time.Duration(100+f.scope.Rand.IntN(800)) * time.Millisecond)
			Expect(f.ready()).To(BeFalse())
			f.wipe(0)
			time.Sleep(time.Duration(f.scope.Rand.IntN(400)) * time.Millisecond)
			f.raise(0, false)
			Expect(f.until(f.ready)).To(BeTrue())
			Expect(f.insist(round, whole(1, 0)).Kind).To(BeEmpty())
		}
	})

	storyOf(5, "given five control machines, when any two are wiped again and again, then what was acked by the barest majority stays", func(f *fleet) {
		on := uint64(0)
		for round := range 6 {
			order := []int{0, 1, 2, 3, 4}
			for i := range order {
				j := i + f.scope.Rand.IntN(len(order)-i)
				order[i], order[j] = order[j], order[i]
			}
			lost, away := order[:2], order[3:]
			for _, i := range away {
				f.kill(i)
			}
			Expect(f.insist(lost[0], whole(on+1, on, fmt.Sprintf("/p%d/", round))).Kind).To(BeEmpty())
			on++
			for _, i := range lost {
				f.wipe(i)
			}
			for _, i := range away {
				f.raise(i, false)
			}
			for _, i := range lost {
				f.raise(i, false)
			}
			f.agree(on)
			Expect(f.insist(lost[0], whole(on+1, on-1, "/rival/")).Kind).To(Equal(string(base.StaleBase)))
		}
	})

	storyOf(5, "given five control machines with two wiped and one away, when the wiped return, then they wait for a third that is whole", func(f *fleet) {
		Expect(f.taken(0, whole(1, 0))).To(BeTrue())
		f.kill(4)
		f.wipe(0)
		f.wipe(1)
		f.raise(0, false)
		f.raise(1, false)
		time.Sleep(5 * time.Second)
		Expect(f.controllers[0].server.Ready()).To(BeFalse())
		Expect(f.controllers[1].server.Ready()).To(BeFalse())
		_, err := f.propose(0, whole(2, 1))
		Expect(err).To(HaveOccurred())
		f.raise(4, false)
		Expect(f.until(f.ready)).To(BeTrue())
		Expect(f.insist(0, whole(2, 1)).Kind).To(BeEmpty())
		f.agree(2)
	})
})
