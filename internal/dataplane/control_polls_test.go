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

// standController tells of a newer configuration at once and takes its time to hand it out.
type standController struct {
	wireconnect.UnimplementedMoorHandler
	name   string
	scope  base.Scope
	newest *atomic.Uint64
	slow   time.Duration
	asked  *simulation.EventCounter
}

func (k standController) Hail(ctx context.Context, request *connect.Request[wire.PollRequest]) (*connect.Response[wire.PollReply], error) {
	ask, s := request.Msg, k.scope.WithContext(ctx)
	reply := &wire.PollReply{Controller: k.name, Settled: true, Serial: k.newest.Load(), Whole: ask.Controller != k.name}
	switch {
	case reply.Serial > ask.Serial && ask.Wants:
		k.asked.Add("wants", 1)
		base.Await(s, k.slow)
		reply.Configuration = aConfiguration(reply.Serial)
	case reply.Serial <= ask.Serial && !reply.Whole:
		base.Await(s, time.Duration(ask.WaitMs)*time.Millisecond)
	}
	return connect.NewResponse(reply), s.Err()
}

func (s *stand) standControllers(count int, slow time.Duration) (seeds []string, newest *atomic.Uint64, asked *simulation.EventCounter) {
	newest, asked = &atomic.Uint64{}, &simulation.EventCounter{}
	for i := range count {
		ip := fmt.Sprintf("10.9.0.%d", i+1)
		mux := http.NewServeMux()
		mux.Handle(wireconnect.NewMoorHandler(standController{name: fmt.Sprint("core-", i+1), scope: s.Scope(ip), newest: newest, slow: slow, asked: asked}))
		s.Serve(ip+":7005", mux)
		seeds = append(seeds, ip+":7005")
	}
	return seeds, newest, asked
}

// callsFromAhead has peers call a node, one every so often, that serve by configuration 2.
func (s *stand) callsFromAhead(n *Node, count int, every time.Duration) {
	ahead := forwarding.Metadata{Service: books, Route: "index", Serial: 2}
	for i := range count {
		s.Go(func() {
			time.Sleep(time.Duration(i) * every)
			header := asking(fmt.Sprint("ahead-", i), time.Second)
			header[forwarding.MetadataHeader] = []string{ahead.String()}
			s.ask(n.params.Inward, "/index/1", header)
		})
	}
}

var _ = ginkgo.Describe("a node that hears of a newer configuration", func() {
	story("given control machines that take 400 ms to hand a configuration out, when peers that are ahead keep calling, then the fetch is let finish", func(s *stand) {
		seeds, newest, _ := s.standControllers(3, 400*time.Millisecond)
		n := s.node(1, seeds)
		n.control.Adopt(aConfiguration(1), true)
		newest.Store(1)
		time.Sleep(2 * time.Second)
		newest.Store(2)
		s.callsFromAhead(n, 60, 40*time.Millisecond)
		took := s.WaitUntil(5*time.Second, func() bool { return n.control.Serial() == 2 })
		s.Wait()
		Expect(took).To(BeNumerically("<", time.Second), "the older configuration was served for so long")
	})

	distant("given control machines 12 ms away, when peers that are ahead keep calling, then polls are let finish and the newer configuration is in force at once", 12*time.Millisecond, func(s *stand) {
		seeds, newest, _ := s.standControllers(3, 0)
		n := s.node(1, seeds)
		n.control.Adopt(aConfiguration(1), true)
		newest.Store(1)
		time.Sleep(2 * time.Second)
		s.callsFromAhead(n, 300, 10*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		newest.Store(2)
		took := s.WaitUntil(5*time.Second, func() bool { return n.control.Serial() == 2 })
		s.Wait()
		Expect(took).To(BeNumerically("<", 800*time.Millisecond), "the older configuration was served for so long")
	})

	story("given three control machines, when all tell of a newer configuration, then it is fetched from one", func(s *stand) {
		seeds, newest, asked := s.standControllers(3, 30*time.Millisecond)
		n := s.node(1, seeds)
		n.control.Adopt(aConfiguration(1), true)
		newest.Store(1)
		time.Sleep(2 * time.Second)
		before := asked.Add("wants", 0)
		newest.Store(2)
		s.WaitUntil(3*time.Second, func() bool { return n.control.Serial() == 2 })
		time.Sleep(time.Second)
		Expect(n.control.Serial()).To(Equal(uint64(2)))
		Expect(asked.Add("wants", 0) - before).To(Equal(1))
	})
})
