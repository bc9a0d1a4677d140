package controlplane

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("hailing", func() {
	story("given a held poll, when a configuration is taken, then the poll is answered at once with it", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		time.Sleep(10 * time.Second)
		first, err := f.poll(2, &wire.PollRequest{NodeStatus: nodeStatus("n1", 1), WaitMs: 600})
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Whole).To(BeTrue())
		Expect(first.Controllers).To(HaveLen(3))
		type told struct {
			reply *wire.PollReply
			at    time.Time
		}
		answers := make(chan told, 1)
		go func() {
			reply, _ := f.poll(2, &wire.PollRequest{NodeStatus: nodeStatus("n1", 2), Controller: first.Controller, Registry: first.Registry, Serial: 5, Odds: first.Odds.GetSerial(), Wants: true, WaitMs: 2000})
			answers <- told{reply, time.Now()}
		}()
		time.Sleep(100 * time.Millisecond)
		Expect(f.taken(0, whole(7, 5))).To(BeTrue())
		begun := time.Now()
		answer := <-answers
		Expect(answer.at.Sub(begun)).To(BeNumerically("<", 50*time.Millisecond))
		Expect(answer.reply.Serial).To(Equal(uint64(7)))
		Expect(answer.reply.Configuration.GetRoutes()).To(HaveLen(1))
		Expect(answer.reply.Settled || answer.reply.Confirmed).To(BeFalse(), "no majority was asked since this poll came")
		confirmed, err := f.poll(2, &wire.PollRequest{NodeStatus: nodeStatus("n1", 3), Controller: first.Controller, Registry: answer.reply.Registry, Serial: 7, Wants: true, Confirm: true, WaitMs: 2000})
		Expect(err).NotTo(HaveOccurred())
		Expect(confirmed.Settled && confirmed.Confirmed).To(BeTrue())
		Expect(confirmed.Serial).To(Equal(uint64(7)))
	})

	story("given nodes that poll, when one changes its instance or falls silent, then others hear of it, and not of mere repeats", func(f *fleet) {
		first, err := f.poll(0, &wire.PollRequest{NodeStatus: nodeStatus("n1", 1), WaitMs: 600})
		Expect(err).NotTo(HaveOccurred())
		hold := func(number, registry uint64) (*wire.PollReply, time.Duration) {
			begun := time.Now()
			reply, err := f.poll(0, &wire.PollRequest{NodeStatus: nodeStatus("n1", number), Controller: first.Controller, Registry: registry, WaitMs: 600})
			Expect(err).NotTo(HaveOccurred())
			return reply, time.Since(begun)
		}
		say := func(other *wire.NodeStatus) {
			go func() {
				time.Sleep(50 * time.Millisecond)
				_, _ = f.poll(0, &wire.PollRequest{NodeStatus: other, WaitMs: 0})
			}()
		}
		say(nodeStatus("n2", 1))
		reply, took := hold(2, first.Registry)
		Expect(took).To(BeNumerically("<", 100*time.Millisecond))
		Expect(reply.Whole).To(BeFalse())
		Expect(reply.Observations).To(HaveLen(1))
		Expect(reply.Observations[0].NodeStatus.Node).To(Equal("n2"))
		say(nodeStatus("n2", 2))
		again, took := hold(3, reply.Registry)
		Expect(took).To(BeNumerically(">=", 600*time.Millisecond))
		Expect(again.Observations).To(BeEmpty())
		leaving := nodeStatus("n2", 3)
		leaving.Instance = &wire.Instance{Id: "i1", Address: "10.9.1.2:80", Leaving: true}
		say(leaving)
		reply, took = hold(4, again.Registry)
		Expect(took).To(BeNumerically("<", 100*time.Millisecond))
		Expect(reply.Observations[0].NodeStatus.Instance.Leaving).To(BeTrue())
		last := time.Now().Add(-40 * time.Millisecond)
		number := uint64(5)
		Expect(f.within(3*time.Second, func() bool {
			reply, _ = hold(number, reply.Registry)
			number++
			return len(reply.Observations) == 1 && reply.Observations[0].Absent
		})).To(BeTrue())
		Expect(time.Since(last)).To(BeNumerically("~", 1700*time.Millisecond, 250*time.Millisecond))
		say(nodeStatus("n2", 4))
		reply, took = hold(number, reply.Registry)
		Expect(took).To(BeNumerically("<", 100*time.Millisecond))
		Expect(reply.Observations[0].Absent).To(BeFalse())
	})
})
