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

// standControl is a control machine whose every answer a story decides.
type standControl struct {
	wireconnect.UnimplementedMoorHandler
	scope          base.Scope
	ip             string
	door           *httpserver.Server
	spans          *tracing.Store
	mu             sync.Mutex
	serial         uint64
	confirmed      bool          // it has a majority
	heard          time.Duration // when it last had one, or never
	list           []string
	freeze         time.Duration // how long the next answer stands still after it was made
	asked          int
	configurations int  // sent whole
	refreshed      int  // questions for nothing but the configuration
	routes         int  // more in its configuration
	peers          int  // that it tells of in its first answer to a node
	ages           bool // its answers tell as of when they are known to be the newest
}

func (c *standControl) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

func (c *standControl) address() string { return c.ip + ":7005" }

// answer makes an answer; done says whether it is sent now.
func (c *standControl) answer(ask *wire.PollRequest) (reply *wire.PollReply, done bool, freeze time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.scope.Clock.Mono()
	if c.confirmed {
		c.heard = now
	}
	reply = &wire.PollReply{Controller: c.ip, Serial: c.serial, Whole: ask.Controller != c.ip, Controllers: slices.Clone(c.list)}
	if c.heard > never {
		age := base.Milliseconds(now - c.heard)
		reply.MajorityMs = &age
	}
	if c.ages && c.heard > never {
		reply.FreshMs = proto.Uint64(base.Milliseconds(now-c.heard) + 1)
	}
	reply.Confirmed = ask.Confirm && c.confirmed && c.serial > 0
	if reply.Whole {
		reply.Observations = registry(c.peers)
	}
	fresh := c.serial > ask.Serial || reply.Whole || reply.Confirmed
	if ask.Wants && c.serial != ask.Serial && (c.serial > ask.Serial || ask.Confirm) {
		c.attach(reply, ask.Unpacks)
		c.configurations++
	}
	if fresh {
		freeze, c.freeze = c.freeze, 0
	}
	return reply, fresh, freeze
}

// attach puts the configuration into a reply, compressed for nodes that can read it.
func (c *standControl) attach(reply *wire.PollReply, unpacks bool) {
	whole := aConfiguration(c.serial)
	for i := range c.routes {
		service := books
		whole.Routes = append(whole.Routes, &wire.ConfigurationRoute{
			Name: fmt.Sprintf("r-%07x", 7919*i), Host: fmt.Sprintf("h%05x.example", 104729*i%999983), Prefix: fmt.Sprintf("/p%06x/", 15485863*i%9999991),
			CutoffMs: 2000, AimMs: 500, Rank: 2, Tries: 2, Service: &service,
		})
	}
	if !unpacks {
		reply.Configuration = whole
		return
	}
	packed, err := config.Pack(whole)
	if err != nil {
		panic(err)
	}
	reply.PackedConfiguration = packed
}

// registry is what a control machine knows of so many peers.
func registry(peers int) (all []*wire.Observation) {
	for i := range peers {
		name := fmt.Sprintf("sidecar-hall-%d", i)
		all = append(all, &wire.Observation{NodeStatus: &wire.NodeStatus{
			Node: name, Incarnation: fmt.Sprintf("%06x", i), Inward: "10.8.0.1:7002", Zone: "a", Service: books, Peers: "10.8.0.1:7003",
			Instance: &wire.Instance{Id: fmt.Sprintf("i-%010x", i), Service: books, Address: "10.8.0.1:8080", Zone: "a", Capacity: 6},
		}})
	}
	return all
}

func (c *standControl) Hail(ctx context.Context, request *connect.Request[wire.PollRequest]) (*connect.Response[wire.PollReply], error) {
	ask, s := request.Msg, c.scope.WithContext(ctx)
	c.set(func() {
		c.asked++
		if ask.ConfigOnly {
			c.refreshed++
		}
	})
	began := s.Clock.Mono()
	for {
		reply, done, freeze := c.answer(ask)
		held := s.Clock.Mono() - began
		reply.HeldMs = base.Milliseconds(held)
		if done || held >= time.Duration(ask.WaitMs)*time.Millisecond {
			base.Await(s, freeze)
			return connect.NewResponse(reply), s.Err()
		}
		base.Await(s, 10*time.Millisecond)
		if s.Err() != nil {
			return nil, s.Err()
		}
	}
}

// control opens a control machine with a majority and configuration 5; it lists itself.
func (s *stand) control(i int) *standControl {
	ip := fmt.Sprintf("10.9.0.%d", i)
	c := &standControl{scope: s.Scope(ip), ip: ip, serial: 5, confirmed: true, heard: never}
	c.list = []string{c.address()}
	c.spans = tracing.OpenStore(c.scope, 1000)
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewMoorHandler(c, connect.WithCompressMinBytes(32<<20))) // as control machines do
	mux.Handle(tracing.Handler(c.spans))
	door, err := httpserver.Serve(c.scope, c.address(), mux)
	if err != nil {
		panic(err)
	}
	c.door = door
	s.Cleanup(door.Close)
	return c
}

// controls opens some, each of which lists all.
func (s *stand) controls(count int) (all []*standControl) {
	for i := range count {
		all = append(all, s.control(i+1))
	}
	relist(all)
	return all
}

func relist(all []*standControl) {
	var list []string
	for _, c := range all {
		list = append(list, c.address())
	}
	for _, c := range all {
		c.set(func() { c.list = list })
	}
}

func addresses(all []*standControl) (found []string) {
	for _, c := range all {
		found = append(found, c.address())
	}
	return found
}

// cutOff leaves control machines without a majority, at the configuration they have; nodes reach them on.
func cutOff(all ...*standControl) {
	for _, c := range all {
		c.set(func() { c.confirmed = false })
	}
}

func raise(serial uint64, all ...*standControl) {
	for _, c := range all {
		c.set(func() { c.serial = serial })
	}
}

// polled lists whom a node keeps asking.
func (n *node) polled() (found []string) {
	for _, each := range n.Polled() {
		found = append(found, each.Address)
	}
	return found
}
