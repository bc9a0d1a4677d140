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

	"curlewreach/internal/testing/simnet"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("the registry", func() {
	listed := func(text string, tell func(r *registry)) {
		ginkgo.It(text, func() {
			synctest.Test(suite, func(*testing.T) {
				defer ginkgo.GinkgoRecover()
				tell(newRegistry(simnet.NewClock(time.Now())))
				time.Sleep(time.Second)
			})
		})
	}
	nodes := func(r *registry, since uint64) (found []string) {
		observations, _ := r.since(since, false, "")
		for _, each := range observations {
			found = append(found, each.NodeStatus.Node)
		}
		return found
	}
	beat := func(r *registry, spans int, during func()) (gone []string) {
		for range spans * absentTicks {
			time.Sleep(time.Second / absentTicks)
			gone = append(gone, r.expire(time.Second)...)
			if during != nil {
				during()
			}
		}
		return gone
	}

	listed("given a post, when it only repeats, then nothing is news; when what matters changes, then it is", func(r *registry) {
		was := nodeStatus("n", 1)
		was.Instance = &wire.Instance{Id: "i", Service: "loans", Address: "10.9.1.1:80", Zone: "z", Capacity: 4, Sequence: 1, WarmMs: 900}
		r.update(was)
		number := uint64(1)
		say := func(change func(p *wire.NodeStatus)) bool {
			before := r.revision
			number++
			next := proto.Clone(was).(*wire.NodeStatus)
			next.Number = number
			change(next)
			r.update(next)
			was = next
			return r.revision > before
		}
		Expect(say(func(p *wire.NodeStatus) {})).To(BeFalse())
		Expect(say(func(p *wire.NodeStatus) { p.Serial, p.Instance.Sequence, p.Instance.WarmMs = 9, 2, 0 })).To(BeFalse())
		for _, change := range []func(p *wire.NodeStatus){
			func(p *wire.NodeStatus) { p.Incarnation = "two" },
			func(p *wire.NodeStatus) { p.Inward = "10.9.1.1:7009" },
			func(p *wire.NodeStatus) { p.Service = "gauge" },
			func(p *wire.NodeStatus) { p.Stopping = true },
			func(p *wire.NodeStatus) { p.Instance.Leaving = true },
			func(p *wire.NodeStatus) { p.Instance.Id = "j" },
			func(p *wire.NodeStatus) { p.Instance.Address = "10.9.1.1:81" },
			func(p *wire.NodeStatus) { p.Instance.Capacity = 5 },
			func(p *wire.NodeStatus) { p.Instance = nil },
		} {
			Expect(say(change)).To(BeTrue())
			Expect(say(func(p *wire.NodeStatus) {})).To(BeFalse())
		}
	})

	listed("given a newer post or life, when an older comes late, then it is passed over", func(r *registry) {
		r.update(nodeStatus("n", 5))
		late := nodeStatus("n", 4)
		late.Stopping = true
		r.update(late)
		Expect(r.entries["n"].nodeStatus.Stopping).To(BeFalse())
		second := nodeStatus("n", 1)
		second.Incarnation = "two"
		r.update(second)
		r.update(late)
		r.update(nodeStatus("n", 9))
		Expect(r.entries["n"].nodeStatus).To(BeIdenticalTo(second))
	})

	listed("given a silent node, when its time is over, then it is absent, later forgotten; others stay", func(r *registry) {
		r.update(nodeStatus("silent", 1))
		number := uint64(1)
		tick := func() { number++; r.update(nodeStatus("well", number)) }
		tick()
		before := r.revision
		Expect(beat(r, 2, tick)).To(Equal([]string{"silent"}))
		Expect(nodes(r, before)).To(Equal([]string{"silent"}))
		Expect(r.update(nodeStatus("silent", 2))).To(BeTrue())
		Expect(nodes(r, before+1)).To(Equal([]string{"silent"}))
		beat(r, 63, tick)
		Expect(r.len()).To(Equal(1))
	})

	listed("given a control machine that stood still for long, when it goes on, then it doesn't take the silence for the nodes'", func(r *registry) {
		r.update(nodeStatus("n", 1))
		beat(r, 1, nil)
		r.update(nodeStatus("n", 2))
		time.Sleep(10 * time.Second)
		Expect(r.expire(time.Second)).To(BeEmpty())
		r.update(nodeStatus("n", 3))
		Expect(beat(r, 1, nil)).To(BeEmpty())
		Expect(beat(r, 1, nil)).To(Equal([]string{"n"}))
	})

	listed("given a burst of posts, when they come at once, then it rings once", func(r *registry) {
		heard := r.changed.Next()
		begun := time.Now()
		for i := range 12 {
			r.update(nodeStatus(fmt.Sprint("n", i), 1))
		}
		<-heard
		Expect(time.Since(begun)).To(BeNumerically("<=", 15*time.Millisecond))
		Expect(nodes(r, 0)).To(HaveLen(12))
		again := r.changed.Next()
		time.Sleep(time.Second)
		Expect(again).NotTo(BeClosed())
	})

	listed("given more nodes than there is room for, when they speak, then memory stays bounded", func(r *registry) {
		for i := range entriesMost + 50 {
			r.update(nodeStatus(fmt.Sprint("n", i), 1))
		}
		Expect(r.len()).To(Equal(entriesMost))
		beat(r, 2, nil)
		r.update(nodeStatus("late", 1))
		Expect(r.len()).To(Equal(entriesMost))
		Expect(r.entries["late"]).NotTo(BeNil())
		r.update(nodeStatus(strings.Repeat("x", nodeStatusMost), 1))
		Expect(r.len()).To(Equal(entriesMost))
	})
})
