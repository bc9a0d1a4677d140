package controlplane

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"curlewreach/fleet/rig"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("the roster", func() {
	listed := func(text string, tell func(r *roster)) {
		ginkgo.It(text, func() {
			synctest.Test(suite, func(*testing.T) {
				defer ginkgo.GinkgoRecover()
				tell(newRoster(rig.NewClock(time.Now())))
				time.Sleep(time.Second)
			})
		})
	}
	nodes := func(r *roster, since uint64) (found []string) {
		sights, _ := r.since(since, false, "")
		for _, each := range sights {
			found = append(found, each.Post.Node)
		}
		return found
	}
	beat := func(r *roster, spans int, during func()) (gone []string) {
		for range spans * absentTicks {
			time.Sleep(time.Second / absentTicks)
			gone = append(gone, r.sweep(time.Second)...)
			if during != nil {
				during()
			}
		}
		return gone
	}

	listed("given a post, when it only repeats, then nothing is news; when what matters changes, then it is", func(r *roster) {
		was := post("n", 1)
		was.Berth = &wire.Berth{Id: "i", Service: "loans", Address: "10.9.1.1:80", Zone: "z", Capacity: 4, Sequence: 1, WarmMs: 900}
		r.hear(was)
		number := uint64(1)
		say := func(change func(p *wire.Post)) bool {
			before := r.serial
			number++
			next := proto.Clone(was).(*wire.Post)
			next.Number = number
			change(next)
			r.hear(next)
			was = next
			return r.serial > before
		}
		Expect(say(func(p *wire.Post) {})).To(BeFalse())
		Expect(say(func(p *wire.Post) { p.Serial, p.Berth.Sequence, p.Berth.WarmMs = 9, 2, 0 })).To(BeFalse())
		for _, change := range []func(p *wire.Post){
			func(p *wire.Post) { p.Incarnation = "two" },
			func(p *wire.Post) { p.Inward = "10.9.1.1:7009" },
			func(p *wire.Post) { p.Service = "gauge" },
			func(p *wire.Post) { p.Stopping = true },
			func(p *wire.Post) { p.Berth.Leaving = true },
			func(p *wire.Post) { p.Berth.Id = "j" },
			func(p *wire.Post) { p.Berth.Address = "10.9.1.1:81" },
			func(p *wire.Post) { p.Berth.Capacity = 5 },
			func(p *wire.Post) { p.Berth = nil },
		} {
			Expect(say(change)).To(BeTrue())
			Expect(say(func(p *wire.Post) {})).To(BeFalse())
		}
	})

	listed("given a newer post or life, when an older comes late, then it is passed over", func(r *roster) {
		r.hear(post("n", 5))
		late := post("n", 4)
		late.Stopping = true
		r.hear(late)
		Expect(r.rows["n"].post.Stopping).To(BeFalse())
		second := post("n", 1)
		second.Incarnation = "two"
		r.hear(second)
		r.hear(late)
		r.hear(post("n", 9))
		Expect(r.rows["n"].post).To(BeIdenticalTo(second))
	})

	listed("given a silent node, when its time is over, then it is absent, later forgotten; others stay", func(r *roster) {
		r.hear(post("silent", 1))
		number := uint64(1)
		tick := func() { number++; r.hear(post("well", number)) }
		tick()
		before := r.serial
		Expect(beat(r, 2, tick)).To(Equal([]string{"silent"}))
		Expect(nodes(r, before)).To(Equal([]string{"silent"}))
		Expect(r.hear(post("silent", 2))).To(BeTrue())
		Expect(nodes(r, before+1)).To(Equal([]string{"silent"}))
		beat(r, 63, tick)
		Expect(r.len()).To(Equal(1))
	})

	listed("given a keel that stood still for long, when it goes on, then it doesn't take the silence for the nodes'", func(r *roster) {
		r.hear(post("n", 1))
		beat(r, 1, nil)
		r.hear(post("n", 2))
		time.Sleep(10 * time.Second)
		Expect(r.sweep(time.Second)).To(BeEmpty())
		r.hear(post("n", 3))
		Expect(beat(r, 1, nil)).To(BeEmpty())
		Expect(beat(r, 1, nil)).To(Equal([]string{"n"}))
	})

	listed("given a burst of posts, when they come at once, then it rings once", func(r *roster) {
		heard := r.bell.Heard()
		begun := time.Now()
		for i := range 12 {
			r.hear(post(fmt.Sprint("n", i), 1))
		}
		<-heard
		Expect(time.Since(begun)).To(BeNumerically("<=", 15*time.Millisecond))
		Expect(nodes(r, 0)).To(HaveLen(12))
		again := r.bell.Heard()
		time.Sleep(time.Second)
		Expect(again).NotTo(BeClosed())
	})

	listed("given more nodes than there is room for, when they speak, then memory stays bounded", func(r *roster) {
		for i := range rowsMost + 50 {
			r.hear(post(fmt.Sprint("n", i), 1))
		}
		Expect(r.len()).To(Equal(rowsMost))
		beat(r, 2, nil)
		r.hear(post("late", 1))
		Expect(r.len()).To(Equal(rowsMost))
		Expect(r.rows["late"]).NotTo(BeNil())
		r.hear(post(strings.Repeat("x", postMost), 1))
		Expect(r.len()).To(Equal(rowsMost))
	})
})
