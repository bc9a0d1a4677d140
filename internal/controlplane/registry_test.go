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
	spec := func(text string, run func(r *registry)) {
		ginkgo.It(text, func() {
			synctest.Test(suite, func(*testing.T) {
				defer ginkgo.GinkgoRecover()
				run(newRegistry(simnet.NewClock(time.Now())))
				time.Sleep(time.Second)
			})
		})
	}
	nodes := func(r *registry, since uint64) (found []string) {
		observations, _ := r.changedSince(since, false, "")
		for _, each := range observations {
			found = append(found, each.NodeStatus.Node)
		}
		return found
	}
	expireFor := func(r *registry, seconds int, afterEach func()) (expired []string) {
		for range seconds * expiryChecks {
			time.Sleep(time.Second / expiryChecks)
			expired = append(expired, r.expire(time.Second)...)
			if afterEach != nil {
				afterEach()
			}
		}
		return expired
	}

	spec("given a node's status, when it only repeats, then nothing is reported as changed; when a relevant field changes, then it is", func(r *registry) {
		last := nodeStatus("n", 1)
		last.Instance = &wire.Instance{Id: "i", Service: "loans", Address: "10.9.1.1:80", Zone: "z", Capacity: 4, Sequence: 1, WarmMs: 900}
		r.update(last)
		number := uint64(1)
		reportsChange := func(change func(status *wire.NodeStatus)) bool {
			before := r.revision
			number++
			next := proto.Clone(last).(*wire.NodeStatus)
			next.Number = number
			change(next)
			r.update(next)
			last = next
			return r.revision > before
		}
		Expect(reportsChange(func(status *wire.NodeStatus) {})).To(BeFalse())
		Expect(reportsChange(func(status *wire.NodeStatus) {
			status.Serial, status.Instance.Sequence, status.Instance.WarmMs = 9, 2, 0
		})).To(BeFalse())
		for _, change := range []func(status *wire.NodeStatus){
			func(status *wire.NodeStatus) { status.Incarnation = "two" },
			func(status *wire.NodeStatus) { status.Inward = "10.9.1.1:7009" },
			func(status *wire.NodeStatus) { status.Service = "books" },
			func(status *wire.NodeStatus) { status.Stopping = true },
			func(status *wire.NodeStatus) { status.Instance.Leaving = true },
			func(status *wire.NodeStatus) { status.Instance.Id = "j" },
			func(status *wire.NodeStatus) { status.Instance.Address = "10.9.1.1:81" },
			func(status *wire.NodeStatus) { status.Instance.Capacity = 5 },
			func(status *wire.NodeStatus) { status.Instance = nil },
		} {
			Expect(reportsChange(change)).To(BeTrue())
			Expect(reportsChange(func(status *wire.NodeStatus) {})).To(BeFalse())
		}
	})

	spec("given a newer status or incarnation of a node, when an older status arrives late, then it is ignored", func(r *registry) {
		r.update(nodeStatus("n", 5))
		late := nodeStatus("n", 4)
		late.Stopping = true
		r.update(late)
		Expect(r.entries["n"].status.Stopping).To(BeFalse())
		second := nodeStatus("n", 1)
		second.Incarnation = "two"
		r.update(second)
		r.update(late)
		r.update(nodeStatus("n", 9))
		Expect(r.entries["n"].status).To(BeIdenticalTo(second))
	})

	spec("given a silent node, when the bound has passed, then it is absent and later forgotten; other nodes stay", func(r *registry) {
		r.update(nodeStatus("silent", 1))
		number := uint64(1)
		heartbeat := func() { number++; r.update(nodeStatus("alive", number)) }
		heartbeat()
		before := r.revision
		Expect(expireFor(r, 2, heartbeat)).To(Equal([]string{"silent"}))
		Expect(nodes(r, before)).To(Equal([]string{"silent"}))
		Expect(r.update(nodeStatus("silent", 2))).To(BeTrue())
		Expect(nodes(r, before+1)).To(Equal([]string{"silent"}))
		expireFor(r, 63, heartbeat)
		Expect(r.len()).To(Equal(1))
	})

	spec("given a control machine that was stalled for long, when it resumes, then it doesn't mark nodes absent for the silence during the stall", func(r *registry) {
		r.update(nodeStatus("n", 1))
		expireFor(r, 1, nil)
		r.update(nodeStatus("n", 2))
		time.Sleep(10 * time.Second)
		Expect(r.expire(time.Second)).To(BeEmpty())
		r.update(nodeStatus("n", 3))
		Expect(expireFor(r, 1, nil)).To(BeEmpty())
		Expect(expireFor(r, 1, nil)).To(Equal([]string{"n"}))
	})

	spec("given a burst of statuses, when they arrive at once, then polls are notified once", func(r *registry) {
		notified := r.changed.Next()
		began := time.Now()
		for i := range 12 {
			r.update(nodeStatus(fmt.Sprint("n", i), 1))
		}
		<-notified
		Expect(time.Since(began)).To(BeNumerically("<=", 15*time.Millisecond))
		Expect(nodes(r, 0)).To(HaveLen(12))
		notifiedAgain := r.changed.Next()
		time.Sleep(time.Second)
		Expect(notifiedAgain).NotTo(BeClosed())
	})

	spec("given more nodes than the registry has room for, when they report, then memory stays bounded", func(r *registry) {
		for i := range maxEntries + 50 {
			r.update(nodeStatus(fmt.Sprint("n", i), 1))
		}
		Expect(r.len()).To(Equal(maxEntries))
		expireFor(r, 2, nil)
		r.update(nodeStatus("late", 1))
		Expect(r.len()).To(Equal(maxEntries))
		Expect(r.entries["late"]).NotTo(BeNil())
		r.update(nodeStatus(strings.Repeat("x", maxNodeStatusBytes), 1))
		Expect(r.len()).To(Equal(maxEntries))
	})
})
