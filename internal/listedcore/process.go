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
	// beatRatio, of the leaving bound, is the interval between heartbeats.
	beatRatio = 0.1
	// roundRatio, of the in-force bound, is the longest that one round among
	// the disks may take.
	roundRatio = 0.25
	// stopRatio, of the grace, is the time to stop in; the rest is for the
	// process to end.
	stopRatio = 0.9
	// changesEach is the changes kept for each bundle: a roll-out writes its
	// head twice, and a new owner once more.
	changesEach = 3
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
	doors           []*httpserver.Server
	crew            base.Group
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
	store, err := quorum.OpenStore(s, int(params.Serials)*changesEach)
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "data folder")
	}
	k := &Process{params: params, cancel: cancel}
	member := k.assemble(s, store, trust)
	if err := k.open(s, member); err != nil {
		k.Kill()
		return nil, err
	}
	k.crew.Go(func() { member.Run(s) })
	k.crew.Go(func() { k.Traces.Run(s, params.Bounds.InForce.AsDuration()/2) })
	k.crew.Go(func() { k.ControlPlane.Run(s) })
	s.Log.Info("started", "name", params.Name, "zone", params.Zone)
	return k, nil
}

// assemble makes the parts of the process; nothing runs yet.
func (k *Process) assemble(s base.Scope, store *quorum.Store, trust bundle.Trust) *membership.Member {
	params, web := k.params, httpserver.NewClient(s)
	bounds, force := params.Bounds, params.Bounds.InForce.AsDuration()
	peers := make([]quorum.Peer, len(params.Seeds))
	for i, seed := range params.Seeds {
		peers[i] = quorum.Peer{Name: seed, Address: seed}
	}
	relays := slices.DeleteFunc(slices.Clone(params.Seeds), func(seed string) bool { return seed == params.Mates })
	k.ReplicatedStore = quorum.New(s, store, web, params.Mates, peers, time.Duration(float64(force)*roundRatio))
	k.Traces = tracing.OpenStore(s, int(params.Traces))
	k.Traces.SetPeers(web, relays)
	member := membership.NewMember(s, web, &wire.Roster{Node: params.Name, Address: params.Mates, Zone: params.Zone, Core: true},
		params.Seeds, relays, time.Duration(float64(bounds.Leaving.AsDuration())*beatRatio))
	limits := bundle.DefaultLimits(bounds.Grace.AsDuration())
	limits.Bytes = int(params.Bundle)
	k.ControlPlane = New(s, web, Settings{
		Name: params.Name, Address: params.Mates, Peers: peers, ReplicatedStore: k.ReplicatedStore, Member: member, Traces: k.Traces,
		Trust: trust, Limits: limits, InForceBound: force, SlideBackBound: bounds.SlideBack.AsDuration(),
		RequiredSilence: max(bounds.Recovery.AsDuration(), bounds.Alone.AsDuration()),
	})
	return member
}

// open opens the servers for other nodes and for operators.
func (k *Process) open(s base.Scope, member *membership.Member) error {
	mux := http.NewServeMux()
	mux.Handle(quorum.Handler(k.ReplicatedStore))
	mux.Handle(membership.Handler(member))
	mux.Handle(tracing.Handler(k.Traces))
	mux.Handle(Handler(k.ControlPlane))
	for address, handler := range map[string]http.Handler{k.params.Mates: mux, k.params.Operators: OperatorHandler(k.ControlPlane)} {
		door, err := httpserver.Serve(s, address, handler)
		if err != nil {
			return err
		}
		k.doors = append(k.doors, door)
	}
	return nil
}

// Stop hands its duties over, lets requests in flight end, and ends the
// process's parts within the grace.
func (k *Process) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(float64(k.params.Bounds.Grace.AsDuration())*stopRatio))
	defer cancel()
	k.ControlPlane.TransferLearning(k.ControlPlane.scope.WithContext(ctx))
	k.ReplicatedStore.TransferOwnership(k.ControlPlane.scope.WithContext(ctx))
	k.cancel()
	for _, door := range k.doors {
		door.Shutdown(ctx)
	}
	k.Kill()
}

// Kill ends everything at once.
func (k *Process) Kill() {
	k.cancel()
	for _, door := range k.doors {
		door.Close()
	}
	k.crew.Wait()
}

// Reload puts the params in force that can change while running: the trusted
// keys. It returns an error if others differ that can't.
func (k *Process) Reload(params *wire.KeelParams) error {
	SetDefaults(params)
	if err := Check(params); err != nil {
		return err
	}
	if params.Name != k.params.Name || params.Mates != k.params.Mates || params.Operators != k.params.Operators || params.Folder != k.params.Folder {
		return errors.New("names, addresses and the folder change only with a restart")
	}
	trust, err := bundle.NewTrust(params.Trusted)
	if err != nil {
		return err
	}
	k.ControlPlane.trust.Store(&trust)
	k.params = params
	return nil
}
