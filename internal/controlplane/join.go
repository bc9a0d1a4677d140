package controlplane

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/internal/replica"
	"curlewreach/internal/statestore"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	spansEachMb  = 20
	spansMost    = 50000
	silenceRatio = 0.3  // of the ack bound: a voter unheard for so long may be replaced
	settleRatio  = 0.15 // of the in-force bound: a change may be on too few disks for so long
	// votersPerLoss further voters bear one more loss.
	votersPerLoss = 2
)

// core is what a control machine has once its disk is open.
type core struct {
	replica *replica.Replica
	store   *statestore.Store
	traces  *tracing.Store
	votes   http.Handler
	spans   http.Handler
	web     *http.Client
	self    string

	mu          sync.Mutex
	peers       map[string]wireconnect.MoorClient
	traceStores map[string]wireconnect.LensClient
}

// join opens the disk, again and again until it can be read.
func (m *Server) join(s base.Scope) *core {
	for s.Err() == nil {
		c, err := m.openCore(s)
		if err == nil {
			return c
		}
		s.Record("joining", "", err.Error())
		s.Log.Warn("data folder not open yet", "error", err)
		base.Await(s, ratioOf(m.params.Load().InForce, 2*stepRatio))
	}
	return nil
}

// openCore starts from what the disk holds. A disk whose state can't be read is a newcomer's, never a founder's.
func (m *Server) openCore(s base.Scope) (*core, error) {
	p := m.params.Load()
	store, state, err := statestore.Open(s.Disk, s.Record)
	if store == nil {
		return nil, errors.Wrap(err, "data folder")
	}
	if err != nil {
		s.Log.Warn("state on disk is lost; joining as a newcomer", "error", err)
	}
	c := &core{
		store: store, web: m.client, self: m.address,
		peers: map[string]wireconnect.MoorClient{}, traceStores: map[string]wireconnect.LensClient{},
	}
	settings := replica.Settings{
		Address: m.address, Seeds: replicaSeeds(p), Bootstrap: p.Founding && state == nil && err == nil,
		TargetVoters: votersPerLoss*int(p.Tolerated) + 1, StatusInterval: ratioOf(p.InForce, watchRatio), VoterTimeout: ratioOf(p.Ack, silenceRatio),
		RecommitAfter: ratioOf(p.InForce, settleRatio), BootstrapWait: ratioOf(p.Ack, foundRatio),
	}
	c.replica = replica.New(s, settings, store, state, m.client, ratioOf(p.Ack, roundRatio))
	c.traces = tracing.OpenStore(s, min(int(p.MemoryMb)*spansEachMb, spansMost))
	c.traces.SetPeerFunc(c.otherTraceStores)
	_, c.votes = c.replica.Handler()
	_, c.spans = tracing.Handler(c.traces)
	return c, nil
}

// peer gives the client of another control machine.
func (c *core) peer(address string) wireconnect.MoorClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.peers[address]
	if client == nil {
		client = wireconnect.NewMoorClient(c.web, "http://"+address)
		c.peers[address] = client
	}
	return client
}

// traceStore gives the client of a trace store.
func (c *core) traceStore(address string) wireconnect.LensClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.traceStores[address]
	if client == nil {
		client = wireconnect.NewLensClient(c.web, "http://"+address)
		c.traceStores[address] = client
	}
	return client
}

// otherTraceStores returns clients of the trace stores of the other voters.
func (c *core) otherTraceStores() []wireconnect.LensClient {
	var clients []wireconnect.LensClient
	for _, address := range c.replica.Voters() {
		if address != c.self {
			clients = append(clients, c.traceStore(address))
		}
	}
	return clients
}

// heardLately tells whether the voter at an address was heard within a time, as this replica sees it.
func (c *core) heardLately(address string, lately time.Duration) bool {
	return c.replica.HeardWithin(address, lately)
}

// Control machines lists the voters.
func (v rpcService) Keels(_ context.Context, _ *connect.Request[wire.ControllersRequest]) (*connect.Response[wire.ControllersReply], error) {
	c := v.server.core.Load()
	if c == nil || len(c.replica.Voters()) == 0 {
		return nil, base.NewFault(base.NoState, "", "no voters are known here")
	}
	return connect.NewResponse(&wire.ControllersReply{Controllers: c.replica.Voters()}), nil
}
