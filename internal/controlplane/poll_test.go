package controlplane

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("polling", func() {
	scenario("given a held poll, when a configuration is committed, then the poll is answered with it at once", func(f *fleet) {
		Expect(f.commits(0, fullProposal(5, 0))).To(BeTrue())
		time.Sleep(10 * time.Second)
		first, err := f.poll(2, &wire.PollRequest{NodeStatus: nodeStatus("n1", 1), WaitMs: 600})
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Whole).To(BeTrue())
		Expect(first.Controllers).To(HaveLen(3))
		type timedReply struct {
			reply *wire.PollReply
			at    time.Time
		}
		answers := make(chan timedReply, 1)
		go func() {
			reply, _ := f.poll(2, &wire.PollRequest{NodeStatus: nodeStatus("n1", 2), Controller: first.Controller, Registry: first.Registry, Serial: 5, Odds: first.Odds.GetSerial(), Wants: true, WaitMs: 2000})
			answers <- timedReply{reply, time.Now()}
		}()
		time.Sleep(100 * time.Millisecond)
		Expect(f.commits(0, fullProposal(7, 5))).To(BeTrue())
		began := time.Now()
		answer := <-answers
		Expect(answer.at.Sub(began)).To(BeNumerically("<", 50*time.Millisecond))
		Expect(answer.reply.Serial).To(Equal(uint64(7)))
		Expect(answer.reply.Configuration.GetRoutes()).To(HaveLen(1))
		Expect(answer.reply.Settled || answer.reply.Confirmed).To(BeFalse(), "no majority was asked since this poll arrived")
		confirmed, err := f.poll(2, &wire.PollRequest{NodeStatus: nodeStatus("n1", 3), Controller: first.Controller, Registry: answer.reply.Registry, Serial: 7, Wants: true, Confirm: true, WaitMs: 2000})
		Expect(err).NotTo(HaveOccurred())
		Expect(confirmed.Settled && confirmed.Confirmed).To(BeTrue())
		Expect(confirmed.Serial).To(Equal(uint64(7)))
	})

	scenario("given nodes that poll, when one changes its instance or falls silent, then the others are told, and not when a status only repeats", func(f *fleet) {
		first, err := f.poll(0, &wire.PollRequest{NodeStatus: nodeStatus("n1", 1), WaitMs: 600})
		Expect(err).NotTo(HaveOccurred())
		holdPoll := func(number, registry uint64) (*wire.PollReply, time.Duration) {
			began := time.Now()
			reply, err := f.poll(0, &wire.PollRequest{NodeStatus: nodeStatus("n1", number), Controller: first.Controller, Registry: registry, WaitMs: 600})
			Expect(err).NotTo(HaveOccurred())
			return reply, time.Since(began)
		}
		sendSoon := func(other *wire.NodeStatus) {
			go func() {
				time.Sleep(50 * time.Millisecond)
				_, _ = f.poll(0, &wire.PollRequest{NodeStatus: other, WaitMs: 0})
			}()
		}
		sendSoon(nodeStatus("n2", 1))
		reply, took := holdPoll(2, first.Registry)
		Expect(took).To(BeNumerically("<", 100*time.Millisecond))
		Expect(reply.Whole).To(BeFalse())
		Expect(reply.Observations).To(HaveLen(1))
		Expect(reply.Observations[0].NodeStatus.Node).To(Equal("n2"))
		sendSoon(nodeStatus("n2", 2))
		again, took := holdPoll(3, reply.Registry)
		Expect(took).To(BeNumerically(">=", 600*time.Millisecond))
		Expect(again.Observations).To(BeEmpty())
		leaving := nodeStatus("n2", 3)
		leaving.Instance = &wire.Instance{Id: "i1", Address: "10.9.1.2:80", Leaving: true}
		sendSoon(leaving)
		reply, took = holdPoll(4, again.Registry)
		Expect(took).To(BeNumerically("<", 100*time.Millisecond))
		Expect(reply.Observations[0].NodeStatus.Instance.Leaving).To(BeTrue())
		last := time.Now().Add(-40 * time.Millisecond)
		number := uint64(5)
		Expect(f.eventuallyWithin(3*time.Second, func() bool {
			reply, _ = holdPoll(number, reply.Registry)
			number++
			return len(reply.Observations) == 1 && reply.Observations[0].Absent
		})).To(BeTrue())
		Expect(time.Since(last)).To(BeNumerically("~", 1700*time.Millisecond, 250*time.Millisecond))
		sendSoon(nodeStatus("n2", 4))
		reply, took = holdPoll(number, reply.Registry)
		Expect(took).To(BeNumerically("<", 100*time.Millisecond))
		Expect(reply.Observations[0].Absent).To(BeFalse())
	})
})
