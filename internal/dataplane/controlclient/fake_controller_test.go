package controlclient

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

// fakeController is a controller whose replies a spec determines.
type fakeController struct {
	wireconnect.UnimplementedMoorHandler
	scope              base.Scope
	ip                 string
	server             *httpserver.Server
	spans              *tracing.Store
	mu                 sync.Mutex
	serial             uint64
	hasMajority        bool          // its majority rounds succeed
	majorityAt         time.Duration // when it last had a majority, or never
	listed             []string
	nextReplyDelay     time.Duration // how long it is suspended between making and sending the next reply with news
	requests           int
	configurationsSent int  // number of replies with a configuration
	refreshes          int  // number of requests for only the configuration
	extraRoutes        int  // number of routes added to its configuration
	knownPeers         int  // number of peers in its first reply to a node
	reportsFreshness   bool // its replies state FreshMs
}

// update calls change while it holds c.mu.
func (c *fakeController) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

func (c *fakeController) address() string { return c.ip + ":7005" }

// newReply makes a reply. done reports whether it is to be sent now, after the delay.
func (c *fakeController) newReply(request *wire.PollRequest) (reply *wire.PollReply, done bool, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.scope.Clock.Mono()
	if c.hasMajority {
		c.majorityAt = now
	}
	reply = &wire.PollReply{Controller: c.ip, Serial: c.serial, Whole: request.Controller != c.ip, Controllers: slices.Clone(c.listed)}
	if c.majorityAt > never {
		age := base.Milliseconds(now - c.majorityAt)
		reply.MajorityMs = &age
	}
	if c.reportsFreshness && c.majorityAt > never {
		reply.FreshMs = proto.Uint64(base.Milliseconds(now-c.majorityAt) + 1)
	}
	reply.Confirmed = request.Confirm && c.hasMajority && c.serial > 0
	if reply.Whole {
		reply.Observations = testObservations(c.knownPeers)
	}
	hasNews := c.serial > request.Serial || reply.Whole || reply.Confirmed
	if request.Wants && c.serial != request.Serial && (c.serial > request.Serial || request.Confirm) {
		c.attachConfiguration(reply, request.Unpacks)
		c.configurationsSent++
	}
	if hasNews {
		delay, c.nextReplyDelay = c.nextReplyDelay, 0
	}
	return reply, hasNews, delay
}

// attachConfiguration adds the configuration to a reply, compressed if the node can read that.
func (c *fakeController) attachConfiguration(reply *wire.PollReply, unpacks bool) {
	configuration := testConfiguration(c.serial)
	for i := range c.extraRoutes {
		service := books
		configuration.Routes = append(configuration.Routes, &wire.ConfigurationRoute{
			Name: fmt.Sprintf("r-%07x", 7919*i), Host: fmt.Sprintf("h%05x.example", 104729*i%999983), Prefix: fmt.Sprintf("/p%06x/", 15485863*i%9999991),
			CutoffMs: 2000, AimMs: 500, Rank: 2, Tries: 2, Service: &service,
		})
	}
	if !unpacks {
		reply.Configuration = configuration
		return
	}
	packed, err := config.Pack(configuration)
	if err != nil {
		panic(err)
	}
	reply.PackedConfiguration = packed
}

// testObservations returns observations of the given number of peers.
func testObservations(peers int) (all []*wire.Observation) {
	for i := range peers {
		name := fmt.Sprintf("sidecar-hall-%d", i)
		all = append(all, &wire.Observation{NodeStatus: &wire.NodeStatus{
			Node: name, Incarnation: fmt.Sprintf("%06x", i), Inward: "10.8.0.1:7002", Zone: "a", Service: books, Peers: "10.8.0.1:7003",
			Instance: &wire.Instance{Id: fmt.Sprintf("i-%010x", i), Service: books, Address: "10.8.0.1:8080", Zone: "a", Capacity: 6},
		}})
	}
	return all
}

func (c *fakeController) Hail(ctx context.Context, request *connect.Request[wire.PollRequest]) (*connect.Response[wire.PollReply], error) {
	poll, s := request.Msg, c.scope.WithContext(ctx)
	c.update(func() {
		c.requests++
		if poll.ConfigOnly {
			c.refreshes++
		}
	})
	startedAt := s.Clock.Mono()
	for {
		reply, done, delay := c.newReply(poll)
		held := s.Clock.Mono() - startedAt
		reply.HeldMs = base.Milliseconds(held)
		if done || held >= time.Duration(poll.WaitMs)*time.Millisecond {
			base.Await(s, delay)
			return connect.NewResponse(reply), s.Err()
		}
		base.Await(s, 10*time.Millisecond)
		if s.Err() != nil {
			return nil, s.Err()
		}
	}
}

// startController starts a controller that has a majority and the configuration 5 and lists itself.
func (s *testbed) startController(i int) *fakeController {
	ip := fmt.Sprintf("10.9.0.%d", i)
	c := &fakeController{scope: s.Scope(ip), ip: ip, serial: 5, hasMajority: true, majorityAt: never}
	c.listed = []string{c.address()}
	c.spans = tracing.OpenStore(c.scope, 1000)
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewMoorHandler(c, connect.WithCompressMinBytes(32<<20))) // as real controllers do
	mux.Handle(tracing.Handler(c.spans))
	server, err := httpserver.Serve(c.scope, c.address(), mux)
	if err != nil {
		panic(err)
	}
	c.server = server
	s.Cleanup(server.Close)
	return c
}

// startControllers starts several controllers, each of which lists all.
func (s *testbed) startControllers(count int) (all []*fakeController) {
	for i := range count {
		all = append(all, s.startController(i+1))
	}
	listEachOther(all)
	return all
}

// listEachOther makes each controller list all.
func listEachOther(all []*fakeController) {
	var list []string
	for _, c := range all {
		list = append(list, c.address())
	}
	for _, c := range all {
		c.update(func() { c.listed = list })
	}
}

func addresses(all []*fakeController) (found []string) {
	for _, c := range all {
		found = append(found, c.address())
	}
	return found
}

// removeMajority makes controllers lose their majority and keep their configuration. Nodes can still reach
// them.
func removeMajority(all ...*fakeController) {
	for _, c := range all {
		c.update(func() { c.hasMajority = false })
	}
}

// setSerial sets the serial of the controllers' configuration.
func setSerial(serial uint64, all ...*fakeController) {
	for _, c := range all {
		c.update(func() { c.serial = serial })
	}
}

// polledAddresses returns the addresses of the controllers that a node polls.
func (n *testNode) polledAddresses() (found []string) {
	for _, each := range n.Polled() {
		found = append(found, each.Address)
	}
	return found
}
