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
	// The trace store holds spansPerMB spans for each megabyte of the memory setting, at most maxSpans.
	spansPerMB = 20
	maxSpans   = 50000

	voterTimeoutRatio  = 0.3  // of Ack: a voter silent for so long may be replaced by a replica that has caught up
	recommitAfterRatio = 0.15 // of InForce: how long a version may be on too few disks before it is read again

	// votersPerFailure is how many more voters it takes to tolerate one more failure: a majority must remain.
	votersPerFailure = 2
)

// core is what a control machine consists of once its data folder is open: the replica, the trace store, their
// handlers and the clients of other control machines.
type core struct {
	replica        *replica.Replica
	store          *statestore.Store
	traces         *tracing.Store
	replicaHandler http.Handler
	traceHandler   http.Handler
	client         *http.Client
	address        string

	mu           sync.Mutex
	peerClients  map[string]wireconnect.MoorClient
	traceClients map[string]wireconnect.LensClient
}

// join opens the core and retries until the data folder can be opened. It returns nil if the scope ends first.
func (m *Server) join(s base.Scope) *core {
	c, err := base.Persist(s, "read the data folder", func() (*core, error) {
		c, err := m.openCore(s)
		if err != nil {
			s.Record("joining", "", err.Error())
		}
		return c, err
	})
	if err != nil {
		return nil
	}
	return c
}

// openCore builds the core from what the disk holds. A machine whose stored state can't be read joins as a
// newcomer and never bootstraps a fleet, whatever its settings say: other machines may still hold the old fleet's
// state.
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
		store: store, client: m.client, address: m.address,
		peerClients: map[string]wireconnect.MoorClient{}, traceClients: map[string]wireconnect.LensClient{},
	}
	settings := replica.Settings{
		Address: m.address, Seeds: replicaSeeds(p), Bootstrap: p.Founding && state == nil && err == nil,
		TargetVoters: votersPerFailure*int(p.Tolerated) + 1, StatusInterval: ratioOf(p.InForce, statusIntervalRatio), VoterTimeout: ratioOf(p.Ack, voterTimeoutRatio),
		RecommitAfter: ratioOf(p.InForce, recommitAfterRatio),
	}
	c.replica = replica.New(s, settings, store, state, m.client, ratioOf(p.Ack, roundTimeoutRatio))
	c.traces = tracing.OpenStore(s, min(int(p.MemoryMb)*spansPerMB, maxSpans))
	c.traces.SetPeerFunc(c.otherTraceClients)
	_, c.replicaHandler = c.replica.Handler()
	_, c.traceHandler = tracing.Handler(c.traces)
	return c, nil
}

// peerClient returns the client of another control machine.
func (c *core) peerClient(address string) wireconnect.MoorClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.peerClients[address]
	if client == nil {
		client = wireconnect.NewMoorClient(c.client, "http://"+address)
		c.peerClients[address] = client
	}
	return client
}

// traceClient returns the client of the trace store at an address.
func (c *core) traceClient(address string) wireconnect.LensClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.traceClients[address]
	if client == nil {
		client = wireconnect.NewLensClient(c.client, "http://"+address)
		c.traceClients[address] = client
	}
	return client
}

// otherTraceClients returns the clients of the trace stores of all other voters.
func (c *core) otherTraceClients() []wireconnect.LensClient {
	var clients []wireconnect.LensClient
	for _, address := range c.replica.Voters() {
		if address != c.address {
			clients = append(clients, c.traceClient(address))
		}
	}
	return clients
}

// heardWithin reports whether this replica heard the voter at an address within the given time.
func (c *core) heardWithin(address string, window time.Duration) bool {
	return c.replica.HeardWithin(address, window)
}

// Keels returns the addresses of the voters, for nodes and joining control machines.
func (v rpcService) Keels(_ context.Context, _ *connect.Request[wire.ControllersRequest]) (*connect.Response[wire.ControllersReply], error) {
	c := v.server.core.Load()
	if c == nil || len(c.replica.Voters()) == 0 {
		return nil, base.NewFault(base.NoState, "", "no voters are known here")
	}
	return connect.NewResponse(&wire.ControllersReply{Controllers: c.replica.Voters()}), nil
}
