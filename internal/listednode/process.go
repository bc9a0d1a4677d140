package listednode

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/httpserver"
	"curlewreach/proto/wire"
)

// stopRatio is the part of the grace in which the node stops; the rest is left for the process to end.
const stopRatio = 0.95

// serverConfig is an address to serve with its handler.
type serverConfig struct {
	address string
	handler http.Handler
}

// Process is a running application machine: a node and its HTTP servers.
type Process struct {
	Node    *Node
	params  *wire.VaneParams
	cancel  context.CancelFunc
	servers []*httpserver.Server
	group   base.Group
}

// Start starts an application machine. After an error nothing is left running.
func Start(s base.Scope, params *wire.VaneParams) (*Process, error) {
	SetDefaults(params)
	if err := Check(params); err != nil {
		return nil, err
	}
	trust, err := bundle.NewTrust(params.Trusted)
	if err != nil {
		return nil, err
	}
	s, cancel := s.WithCancel()
	p := &Process{Node: NewNode(s, httpserver.NewClient(s), params, trust), params: params, cancel: cancel}
	for _, each := range []serverConfig{
		{params.Mates, p.Node.PeerHandler()},
		{params.Ops, p.Node.OperatorHandler()},
		{params.Upstreams, p.closingWhileStopping(p.Node.InstanceHandler())},
		{params.Visitors, p.closingWhileStopping(p.Node.ClientHandler())},
	} {
		server, err := httpserver.Serve(s, each.address, each.handler)
		if err != nil {
			p.Kill()
			return nil, err
		}
		p.servers = append(p.servers, server)
	}
	p.group.Go(func() { p.Node.Run(s) })
	s.Log.Info("started", "name", params.Name, "zone", params.Zone)
	return p, nil
}

// Reload applies the params that can change while the process runs. It returns an error if a name, an
// address or the folder differs.
func (p *Process) Reload(params *wire.VaneParams) error {
	SetDefaults(params)
	if err := Check(params); err != nil {
		return err
	}
	old := p.params
	if params.Name != old.Name || params.Zone != old.Zone || params.Mates != old.Mates || params.Visitors != old.Visitors ||
		params.Upstreams != old.Upstreams || params.Ops != old.Ops || params.Folder != old.Folder {
		return errors.New("names, addresses and the folder change only with a restart")
	}
	trust, err := bundle.NewTrust(params.Trusted)
	if err != nil {
		return err
	}
	p.Node.UpdateParams(params, trust)
	p.params = params
	return nil
}

// closingWhileStopping makes a handler ask clients to close the connection after each response while the
// node is stopping. It leaves idle connections open: closing one could race with a request that is just
// arriving on it.
func (p *Process) closingWhileStopping(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p.Node.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// Stop announces the stop, lets requests in flight end, and ends the process within the grace.
func (p *Process) Stop() {
	grace := time.Duration(float64(p.params.Bounds.Grace.AsDuration()) * stopRatio)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	p.Node.Stop(ctx, grace)
	s := p.Node.scope.WithContext(ctx)
	base.Parallel(p.servers, func(server *httpserver.Server) { server.CloseWhenIdle(s) })
	p.Kill()
}

// Kill stops the process at once.
func (p *Process) Kill() {
	p.cancel()
	for _, server := range p.servers {
		server.Close()
	}
	p.group.Wait()
}
