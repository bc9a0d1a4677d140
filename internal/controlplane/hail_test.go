package controlplane

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("hailing", func() {
	story("given a held hail, when a chart is taken, then the hail is answered at once with it", func(f *fleet) {
		Expect(f.taken(0, whole(5, 0))).To(BeTrue())
		time.Sleep(10 * time.Second)
		first, err := f.hail(2, &wire.HailRequest{Post: post("n1", 1), WaitMs: 600})
		Expect(err).NotTo(HaveOccurred())
		Expect(first.Whole).To(BeTrue())
		Expect(first.Keels).To(HaveLen(3))
		type told struct {
			reply *wire.HailReply
			at    time.Time
		}
		answers := make(chan told, 1)
		go func() {
			reply, _ := f.hail(2, &wire.HailRequest{Post: post("n1", 2), Keel: first.Keel, Roster: first.Roster, Serial: 5, Odds: first.Odds.GetSerial(), Wants: true, WaitMs: 2000})
			answers <- told{reply, time.Now()}
		}()
		time.Sleep(100 * time.Millisecond)
		Expect(f.taken(0, whole(7, 5))).To(BeTrue())
		begun := time.Now()
		answer := <-answers
		Expect(answer.at.Sub(begun)).To(BeNumerically("<", 50*time.Millisecond))
		Expect(answer.reply.Serial).To(Equal(uint64(7)))
		Expect(answer.reply.Chart.GetRoutes()).To(HaveLen(1))
		Expect(answer.reply.Settled || answer.reply.Confirmed).To(BeFalse(), "no majority was asked since this hail came")
		confirmed, err := f.hail(2, &wire.HailRequest{Post: post("n1", 3), Keel: first.Keel, Roster: answer.reply.Roster, Serial: 7, Wants: true, Confirm: true, WaitMs: 2000})
		Expect(err).NotTo(HaveOccurred())
		Expect(confirmed.Settled && confirmed.Confirmed).To(BeTrue())
		Expect(confirmed.Serial).To(Equal(uint64(7)))
	})

	story("given nodes that hail, when one changes its berth or falls silent, then others hear of it, and not of mere repeats", func(f *fleet) {
		first, err := f.hail(0, &wire.HailRequest{Post: post("n1", 1), WaitMs: 600})
		Expect(err).NotTo(HaveOccurred())
		hold := func(number, roster uint64) (*wire.HailReply, time.Duration) {
			begun := time.Now()
			reply, err := f.hail(0, &wire.HailRequest{Post: post("n1", number), Keel: first.Keel, Roster: roster, WaitMs: 600})
			Expect(err).NotTo(HaveOccurred())
			return reply, time.Since(begun)
		}
		say := func(other *wire.Post) {
			go func() {
				time.Sleep(50 * time.Millisecond)
				_, _ = f.hail(0, &wire.HailRequest{Post: other, WaitMs: 0})
			}()
		}
		say(post("n2", 1))
		reply, took := hold(2, first.Roster)
		Expect(took).To(BeNumerically("<", 100*time.Millisecond))
		Expect(reply.Whole).To(BeFalse())
		Expect(reply.Sights).To(HaveLen(1))
		Expect(reply.Sights[0].Post.Node).To(Equal("n2"))
		say(post("n2", 2))
		again, took := hold(3, reply.Roster)
		Expect(took).To(BeNumerically(">=", 600*time.Millisecond))
		Expect(again.Sights).To(BeEmpty())
		leaving := post("n2", 3)
		leaving.Berth = &wire.Berth{Id: "i1", Address: "10.9.1.2:80", Leaving: true}
		say(leaving)
		reply, took = hold(4, again.Roster)
		Expect(took).To(BeNumerically("<", 100*time.Millisecond))
		Expect(reply.Sights[0].Post.Berth.Leaving).To(BeTrue())
		last := time.Now().Add(-40 * time.Millisecond)
		number := uint64(5)
		Expect(f.within(3*time.Second, func() bool {
			reply, _ = hold(number, reply.Roster)
			number++
			return len(reply.Sights) == 1 && reply.Sights[0].Absent
		})).To(BeTrue())
		Expect(time.Since(last)).To(BeNumerically("~", 1700*time.Millisecond, 250*time.Millisecond))
		say(post("n2", 4))
		reply, took = hold(number, reply.Roster)
		Expect(took).To(BeNumerically("<", 100*time.Millisecond))
		Expect(reply.Sights[0].Absent).To(BeFalse())
	})
})
