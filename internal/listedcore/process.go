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
	// heartbeatRatio, of the leaving bound, is the interval between heartbeats.
	heartbeatRatio = 0.1
	// roundTimeoutRatio, of the in-force bound, is the longest that one round among
	// the disks may take.
	roundTimeoutRatio = 0.25
	// shutdownRatio, of the grace, is the time to stop in; the rest is for the
	// process to end.
	shutdownRatio = 0.9
	// entriesPerBundle is the changes kept for each bundle: a roll-out writes its
	// head twice, and a new owner once more.
	entriesPerBundle = 3
)

// SetDefaults sets the params that aren't set to their defaults.
func SetDefaults(p *wire.KeelParams) {
	p.Bounds = base.DefaultBounds(p.Bounds)
	base.SetDefault(&p.Serials, 16)
	base.SetDefault(&p.Bundle, 16<<20)
	base.SetDefault(&p.Traces, 50000)
	base.SetDefault(&p.Log, "info")
}

// Check returns validation errors that name each bad param.
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

// Process is a running core machine.
type Process struct {
	ControlPlane    *ControlPlane
	ReplicatedStore *quorum.Replica
	Traces          *tracing.Store
	params          *wire.KeelParams
	cancel          context.CancelFunc
	servers         []*httpserver.Server
	group           base.Group
}

// Start starts a core machine. On an error nothing is left running.
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
		return nil, errors.Errorf("seeds: a keel's own address %s is one of the seeds", params.Mates)
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

// assemble makes the parts of the process; nothing runs yet.
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
	p.Traces.Peers(httpClient, relays)
	member := membership.NewMember(s, httpClient, &wire.Roster{Node: params.Name, Address: params.Mates, Zone: params.Zone, Core: true},
		params.Seeds, relays, time.Duration(float64(bounds.Leaving.AsDuration())*heartbeatRatio))
	limits := bundle.UsualLimits(bounds.Grace.AsDuration())
	limits.Bytes = int(params.Bundle)
	p.ControlPlane = New(s, httpClient, Settings{
		Name: params.Name, Address: params.Mates, Peers: peers, ReplicatedStore: p.ReplicatedStore, Member: member, Traces: p.Traces,
		Trust: trust, Limits: limits, InForceBound: inForceBound, SlideBackBound: bounds.SlideBack.AsDuration(),
		RequiredSilence: max(bounds.Recovery.AsDuration(), bounds.Alone.AsDuration()),
	})
	return member
}

// listen opens the servers for other nodes and for operators.
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

// Stop hands its duties over, lets requests in flight end, and ends the
// process's parts within the grace.
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

// Kill ends everything at once.
func (p *Process) Kill() {
	p.cancel()
	for _, server := range p.servers {
		server.Close()
	}
	p.group.Wait()
}

// Reload puts the params in force that can change while running: the trusted
// keys. It returns an error if others differ that can't.
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
