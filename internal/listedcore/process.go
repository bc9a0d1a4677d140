package listedcore

import (
	"context"
	"net/http"
	"slices"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/membership"
	"curlewreach/internal/quorum"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

const (
	// heartbeatRatio is the interval between heartbeats, as a fraction of the
	// leaving bound.
	heartbeatRatio = 0.1
	// roundTimeoutRatio is the timeout of a round of calls to the disks, as a
	// fraction of the in-force bound.
	roundTimeoutRatio = 0.25
	// shutdownRatio is the timeout of an orderly shutdown, as a fraction of the
	// grace period. The rest is left for the process to exit.
	shutdownRatio = 0.9
	// entriesPerBundle is the number of store entries kept for each bundle: a
	// roll-out writes the head twice, and a change of owner once more.
	entriesPerBundle = 3
)

// SetDefaults sets the params that have no value to their defaults.
func SetDefaults(p *wire.KeelParams) {
	p.Bounds = base.DefaultBounds(p.Bounds)
	base.SetDefault(&p.Serials, 16)
	base.SetDefault(&p.Bundle, 16<<20)
	base.SetDefault(&p.Traces, 50000)
	base.SetDefault(&p.Log, "info")
}

// Check validates the params. The error names each invalid one.
func Check(p *wire.KeelParams) error {
	return validation.ValidateStruct(p,
		validation.Field(&p.Name, validation.Required, base.IsName),
		validation.Field(&p.Zone, validation.Required, base.IsName),
		validation.Field(&p.Mates, validation.Required, base.IsAddress),
		validation.Field(&p.Operators, validation.Required, base.IsAddress),
		validation.Field(&p.Seeds, validation.Required, validation.Length(1, 3), validation.Each(base.IsAddress)),
		validation.Field(&p.Folder, validation.Required),
		validation.Field(&p.Trusted, validation.Required, validation.Length(1, 16)),
		validation.Field(&p.Bounds, validation.By(func(any) error { return base.CheckBounds(p.Bounds) })),
		validation.Field(&p.Serials, validation.Min(uint32(2)), validation.Max(uint32(10000))),
		validation.Field(&p.Bundle, validation.Min(uint32(4096)), validation.Max(uint32(256<<20))),
		validation.Field(&p.Traces, validation.Min(uint32(100)), validation.Max(uint32(5000000))),
		validation.Field(&p.Log, validation.In("trace", "debug", "info", "warn", "error")),
	)
}

// Process is the running process of a core machine.
type Process struct {
	ControlPlane    *ControlPlane
	ReplicatedStore *quorum.Replica
	Traces          *tracing.Store
	params          *wire.KeelParams
	cancel          context.CancelFunc
	servers         []*httpserver.Server
	group           base.Group
}

// Start starts the process of a core machine. After an error nothing is left running.
func Start(s base.Scope, params *wire.KeelParams) (*Process, error) {
	SetDefaults(params)
	if err := Check(params); err != nil {
		return nil, err
	}
	trust, err := bundle.NewTrust(params.Trusted)
	if err != nil {
		return nil, err
	}
	if !slices.Contains(params.Seeds, params.Mates) {
		return nil, errors.Errorf("seeds: the controller's own address %s must be one of the seeds", params.Mates)
	}
	s, cancel := s.WithCancel()
	store, err := quorum.OpenStore(s, int(params.Serials)*entriesPerBundle)
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "data folder")
	}
	p := &Process{params: params, cancel: cancel}
	member := p.assemble(s, store, trust)
	if err := p.listen(s, member); err != nil {
		p.Kill()
		return nil, err
	}
	p.group.Go(func() { member.Run(s) })
	p.group.Go(func() { p.Traces.Run(s, params.Bounds.InForce.AsDuration()/2) })
	p.group.Go(func() { p.ControlPlane.Run(s) })
	s.Log.Info("started", "name", params.Name, "zone", params.Zone)
	return p, nil
}

// assemble creates the components of the process without starting them.
func (p *Process) assemble(s base.Scope, store *quorum.Store, trust bundle.Trust) *membership.Member {
	params, httpClient := p.params, httpserver.NewClient(s)
	bounds, inForceBound := params.Bounds, params.Bounds.InForce.AsDuration()
	peers := make([]quorum.Peer, len(params.Seeds))
	for i, seed := range params.Seeds {
		peers[i] = quorum.Peer{Name: seed, Address: seed}
	}
	relays := slices.DeleteFunc(slices.Clone(params.Seeds), func(seed string) bool { return seed == params.Mates })
	p.ReplicatedStore = quorum.New(s, store, httpClient, params.Mates, peers, time.Duration(float64(inForceBound)*roundTimeoutRatio))
	p.Traces = tracing.OpenStore(s, int(params.Traces))
	p.Traces.SetPeers(httpClient, relays)
	member := membership.NewMember(s, httpClient, &wire.Roster{Node: params.Name, Address: params.Mates, Zone: params.Zone, Core: true},
		params.Seeds, relays, time.Duration(float64(bounds.Leaving.AsDuration())*heartbeatRatio))
	limits := bundle.DefaultLimits(bounds.Grace.AsDuration())
	limits.Bytes = int(params.Bundle)
	p.ControlPlane = New(s, httpClient, Settings{
		Name: params.Name, Address: params.Mates, Peers: peers, ReplicatedStore: p.ReplicatedStore, Member: member, Traces: p.Traces,
		Trust: trust, Limits: limits, InForceBound: inForceBound, SlideBackBound: bounds.SlideBack.AsDuration(),
		RequiredSilence: max(bounds.Recovery.AsDuration(), bounds.Alone.AsDuration()),
	})
	return member
}

// listen starts the servers for other machines and for operators.
func (p *Process) listen(s base.Scope, member *membership.Member) error {
	mux := http.NewServeMux()
	mux.Handle(quorum.Handler(p.ReplicatedStore))
	mux.Handle(membership.Handler(member))
	mux.Handle(tracing.Handler(p.Traces))
	mux.Handle(Handler(p.ControlPlane))
	for address, handler := range map[string]http.Handler{p.params.Mates: mux, p.params.Operators: OperatorHandler(p.ControlPlane)} {
		server, err := httpserver.Serve(s, address, handler)
		if err != nil {
			return err
		}
		p.servers = append(p.servers, server)
	}
	return nil
}

// Stop transfers the learner's role and the ownership of keys to other machines, waits
// for requests in flight, and ends all components, within the grace period.
func (p *Process) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(float64(p.params.Bounds.Grace.AsDuration())*shutdownRatio))
	defer cancel()
	p.ControlPlane.TransferLearning(p.ControlPlane.scope.WithContext(ctx))
	p.ReplicatedStore.TransferOwnership(p.ControlPlane.scope.WithContext(ctx))
	p.cancel()
	for _, server := range p.servers {
		server.Shutdown(ctx)
	}
	p.Kill()
}

// Kill ends all components without waiting for requests in flight.
func (p *Process) Kill() {
	p.cancel()
	for _, server := range p.servers {
		server.Close()
	}
	p.group.Wait()
}

// Reload applies the trusted keys. It returns an error if the name, an address or the
// folder differs; changes of other params have no effect until a restart.
func (p *Process) Reload(params *wire.KeelParams) error {
	SetDefaults(params)
	if err := Check(params); err != nil {
		return err
	}
	if params.Name != p.params.Name || params.Mates != p.params.Mates || params.Operators != p.params.Operators || params.Folder != p.params.Folder {
		return errors.New("names, addresses and the folder change only with a restart")
	}
	trust, err := bundle.NewTrust(params.Trusted)
	if err != nil {
		return err
	}
	p.ControlPlane.trust.Store(&trust)
	p.params = params
	return nil
}
