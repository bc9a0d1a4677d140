package dataplane

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/testing/simulation"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

// stubController announces a newer configuration at once, but takes handoutDelay to send it.
type stubController struct {
	wireconnect.UnimplementedMoorHandler
	name         string
	scope        base.Scope
	newestSerial *atomic.Uint64
	handoutDelay time.Duration
	requests     *simulation.EventCounter
}

func (c stubController) Hail(ctx context.Context, request *connect.Request[wire.PollRequest]) (*connect.Response[wire.PollReply], error) {
	poll, s := request.Msg, c.scope.WithContext(ctx)
	reply := &wire.PollReply{Controller: c.name, Settled: true, Serial: c.newestSerial.Load(), Whole: poll.Controller != c.name}
	switch {
	case reply.Serial > poll.Serial && poll.Wants:
		c.requests.Add("wants", 1)
		base.Await(s, c.handoutDelay)
		reply.Configuration = testConfiguration(reply.Serial)
	case reply.Serial <= poll.Serial && !reply.Whole:
		base.Await(s, time.Duration(poll.WaitMs)*time.Millisecond)
	}
	return connect.NewResponse(reply), s.Err()
}

// startControllers starts stub controllers and returns their addresses, the serial of the newest configuration, and
// a counter of the requests for configurations.
func (s *testbed) startControllers(count int, handoutDelay time.Duration) (seeds []string, newestSerial *atomic.Uint64, requests *simulation.EventCounter) {
	newestSerial, requests = &atomic.Uint64{}, &simulation.EventCounter{}
	for i := range count {
		ip := fmt.Sprintf("10.9.0.%d", i+1)
		mux := http.NewServeMux()
		mux.Handle(wireconnect.NewMoorHandler(stubController{name: fmt.Sprint("core-", i+1), scope: s.Scope(ip), newestSerial: newestSerial, handoutDelay: handoutDelay, requests: requests}))
		s.Serve(ip+":7005", mux)
		seeds = append(seeds, ip+":7005")
	}
	return seeds, newestSerial, requests
}

// callFromPeersAhead sends count requests, one per interval, as peers on which configuration 2 is in force.
func (s *testbed) callFromPeersAhead(n *Node, count int, interval time.Duration) {
	ahead := forwarding.Metadata{Service: books, Route: "index", Serial: 2}
	for i := range count {
		s.Go(func() {
			time.Sleep(time.Duration(i) * interval)
			header := requestHeader(fmt.Sprint("ahead-", i), time.Second)
			header[forwarding.MetadataHeader] = []string{ahead.String()}
			s.get(n.params.Inward, "/index/1", header)
		})
	}
}

var _ = ginkgo.Describe("a node that learns of a newer configuration", func() {
	itSimulated("given controllers that take 400 ms to send a configuration, when peers with the newer one keep calling, then the fetch isn't interrupted", func(s *testbed) {
		seeds, newest, _ := s.startControllers(3, 400*time.Millisecond)
		n := s.startNode(1, seeds)
		n.controlClient.Adopt(testConfiguration(1), true)
		newest.Store(1)
		time.Sleep(2 * time.Second)
		newest.Store(2)
		s.callFromPeersAhead(n, 60, 40*time.Millisecond)
		took := s.WaitUntil(5*time.Second, func() bool { return n.controlClient.Serial() == 2 })
		s.Wait()
		Expect(took).To(BeNumerically("<", time.Second), "time until the newer configuration was in force")
	})

	itSimulatedWithDelay("given controllers 12 ms away, when peers with the newer configuration keep calling, then polls aren't interrupted and the node has it soon", 12*time.Millisecond, func(s *testbed) {
		seeds, newest, _ := s.startControllers(3, 0)
		n := s.startNode(1, seeds)
		n.controlClient.Adopt(testConfiguration(1), true)
		newest.Store(1)
		time.Sleep(2 * time.Second)
		s.callFromPeersAhead(n, 300, 10*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		newest.Store(2)
		took := s.WaitUntil(5*time.Second, func() bool { return n.controlClient.Serial() == 2 })
		s.Wait()
		Expect(took).To(BeNumerically("<", 800*time.Millisecond), "time until the newer configuration was in force")
	})

	itSimulated("given three controllers, when all announce a newer configuration, then it is fetched from one", func(s *testbed) {
		seeds, newest, requests := s.startControllers(3, 30*time.Millisecond)
		n := s.startNode(1, seeds)
		n.controlClient.Adopt(testConfiguration(1), true)
		newest.Store(1)
		time.Sleep(2 * time.Second)
		before := requests.Add("wants", 0)
		newest.Store(2)
		s.WaitUntil(3*time.Second, func() bool { return n.controlClient.Serial() == 2 })
		time.Sleep(time.Second)
		Expect(n.controlClient.Serial()).To(Equal(uint64(2)))
		Expect(requests.Add("wants", 0) - before).To(Equal(1))
	})
})
