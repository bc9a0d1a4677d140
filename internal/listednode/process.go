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

// stopRatio, of the grace, is the time to stop in; the rest is for the process
// to end.
const stopRatio = 0.95

type opening struct {
	address string
	handler http.Handler
}

// Process is a running application machine: a node and its servers.
type Process struct {
	Node   *Node
	params *wire.VaneParams
	cancel context.CancelFunc
	doors  []*httpserver.Server
	crew   base.Group
}

// Start starts an application machine. On an error nothing is left running.
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
	v := &Process{Node: NewNode(s, httpserver.NewClient(s), params, trust), params: params, cancel: cancel}
	for _, each := range []opening{
		{params.Mates, v.Node.PeerHandler()},
		{params.Ops, v.Node.OperatorHandler()},
		{params.Upstreams, v.closingWhileStopping(v.Node.InstanceHandler())},
		{params.Visitors, v.closingWhileStopping(v.Node.ClientHandler())},
	} {
		door, err := httpserver.Serve(s, each.address, each.handler)
		if err != nil {
			v.Kill()
			return nil, err
		}
		v.doors = append(v.doors, door)
	}
	v.crew.Go(func() { v.Node.Run(s) })
	s.Log.Info("started", "name", params.Name, "zone", params.Zone)
	return v, nil
}

// Reload puts the params in force that can change while running. It returns an
// error if others differ that can't.
func (v *Process) Reload(params *wire.VaneParams) error {
	SetDefaults(params)
	if err := Check(params); err != nil {
		return err
	}
	old := v.params
	if params.Name != old.Name || params.Zone != old.Zone || params.Mates != old.Mates || params.Visitors != old.Visitors ||
		params.Upstreams != old.Upstreams || params.Ops != old.Ops || params.Folder != old.Folder {
		return errors.New("names, addresses and the folder change only with a restart")
	}
	trust, err := bundle.NewTrust(params.Trusted)
	if err != nil {
		return err
	}
	v.Node.UpdateParams(params, trust)
	v.params = params
	return nil
}

// closingWhileStopping tells clients of a node that stops to go elsewhere after
// each answer. Their idle connections stay open: closing one races with a
// request that is just being read from it.
func (v *Process) closingWhileStopping(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if v.Node.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// Stop lets requests in callInProgress end and ends the process's parts within the
// grace.
func (v *Process) Stop() {
	grace := time.Duration(float64(v.params.Bounds.Grace.AsDuration()) * stopRatio)
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	v.Node.Stop(ctx, grace)
	s := v.Node.scope.WithContext(ctx)
	base.Parallel(v.doors, func(door *httpserver.Server) { door.CloseWhenIdle(s) })
	v.Kill()
}

// Kill ends everything at once.
func (v *Process) Kill() {
	v.cancel()
	for _, door := range v.doors {
		door.Close()
	}
	v.crew.Wait()
}
