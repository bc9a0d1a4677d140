package controlclient

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

// departureController is a fake controller that keeps departures. The fields are guarded by the fake's mutex.
type departureController struct {
	*fakeController
	recorded  []string
	confirms  bool          // its lists are confirmed
	fails     bool          // it has no majority to record anything
	replyWait time.Duration // how long it takes to record a departure
}

// RecordDeparture records a departure.
func (c *departureController) RecordDeparture(ctx context.Context, request *connect.Request[wire.RecordDepartureRequest]) (*connect.Response[wire.RecordDepartureReply], error) {
	base.Await(c.scope.WithContext(ctx), c.replyWait)
	if c.fails || ctx.Err() != nil {
		return nil, base.NewFault(base.Uncertain, "", "no majority")
	}
	c.update(func() { c.recorded = append(c.recorded, request.Msg.Departure.Instance) })
	return connect.NewResponse(&wire.RecordDepartureReply{}), nil
}

// ListDepartures lists what is recorded.
func (c *departureController) ListDepartures(context.Context, *connect.Request[wire.ListDeparturesRequest]) (*connect.Response[wire.ListDeparturesReply], error) {
	reply := &wire.ListDeparturesReply{}
	c.update(func() { reply.Instances, reply.Confirmed = c.recorded, c.confirms })
	return connect.NewResponse(reply), nil
}

// startDepartureControllers starts controllers that keep departures and list each other.
func (s *testbed) startDepartureControllers(count int) (all []*departureController, seeds []string) {
	for i := range count {
		ip := fmt.Sprintf("10.9.0.%d", i+1)
		c := &departureController{fakeController: &fakeController{scope: s.Scope(ip), ip: ip, serial: 5, hasMajority: true, majorityAt: never}, confirms: true}
		mux := http.NewServeMux()
		mux.Handle(wireconnect.NewMoorHandler(c))
		s.Serve(c.address(), mux)
		all, seeds = append(all, c), append(seeds, c.address())
	}
	for _, c := range all {
		c.listed = seeds
	}
	return all, seeds
}

// countRecorded returns how many controllers have recorded an instance.
func countRecorded(all []*departureController, instance string) (count int) {
	for _, c := range all {
		c.update(func() {
			for _, each := range c.recorded {
				if each == instance {
					count++
				}
			}
		})
	}
	return count
}

// expectFault expects that a departure is not recorded, and that the node says so before an instance gives up.
func (n *testNode) expectFault(s *testbed) {
	began := s.Clock.Mono()
	Expect(n.RecordDeparture(n.scope, "i-1")).NotTo(BeNil())
	Expect(s.Clock.Mono() - began).To(BeNumerically("<", time.Second))
}

var _ = ginkgo.Describe("departures", func() {
	spec("given controllers that keep departures, when a node starts, then it learns those of its own, confirmed", func(s *testbed) {
		all, seeds := s.startDepartureControllers(3)
		for _, c := range all {
			c.recorded = []string{"i-0"}
		}
		n := s.startNode(1, seeds)
		time.Sleep(500 * time.Millisecond)
		Expect(n.departuresKnown.Load()).To(BeTrue())
		departed, _ := n.departed.Get("i-0")
		Expect(departed).To(BeTrue())
	})

	spec("given controllers without a majority, when a node starts, then it learns what they know and asks until it is confirmed", func(s *testbed) {
		all, seeds := s.startDepartureControllers(3)
		for _, c := range all {
			c.recorded, c.confirms = []string{"i-0"}, false
		}
		n := s.startNode(1, seeds)
		time.Sleep(5 * time.Second)
		Expect(n.departuresKnown.Load()).To(BeFalse())
		departed, _ := n.departed.Get("i-0")
		Expect(departed).To(BeTrue())
		all[1].update(func() { all[1].confirms = true })
		time.Sleep(3 * time.Second)
		Expect(n.departuresKnown.Load()).To(BeTrue())
	})

	spec("given a controller that hangs and one without a majority, when a departure is recorded, then a third one records it in time", func(s *testbed) {
		all, seeds := s.startDepartureControllers(3)
		n := s.startNode(1, seeds)
		time.Sleep(time.Second)
		all[0].replyWait, all[1].fails = time.Hour, true
		began := s.Clock.Mono()
		Expect(n.RecordDeparture(n.scope, "i-1")).To(BeNil())
		Expect(s.Clock.Mono() - began).To(BeNumerically("<", time.Second))
		Expect(countRecorded(all, "i-1")).To(Equal(1))
	})

	spec("given controllers without a majority, or none, when a departure is recorded, then the node says that it isn't", func(s *testbed) {
		all, seeds := s.startDepartureControllers(3)
		n := s.startNode(1, seeds)
		time.Sleep(time.Second)
		for _, c := range all {
			c.fails = true
		}
		n.expectFault(s)
		s.startNode(2, absentController).expectFault(s)
	})

	spec("given controllers of the previous version, when a node starts and a departure is recorded, then neither waits for what they don't keep", func(s *testbed) {
		n := s.startNode(1, addresses(s.startControllers(3)))
		time.Sleep(2 * time.Second)
		Expect(n.departuresKnown.Load()).To(BeTrue())
		Expect(n.RecordDeparture(n.scope, "i-1")).To(BeNil())
	})

	spec("given only former controllers' addresses, at which other servers answer, when a node starts, then it believes none of them", func(s *testbed) {
		s.Serve(absentController[0], http.NotFoundHandler())
		n := s.startNode(1, absentController)
		time.Sleep(5 * time.Second)
		Expect(n.departuresKnown.Load()).To(BeFalse())
		n.expectFault(s)
	})
})
