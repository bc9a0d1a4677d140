package helm

import (
	"context"
	"net/http"
	"regexp"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/membership"
	"curlewreach/internal/quorum"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

const (
	beatRatio  = 0.1
	roundRatio = 0.25
	stopRatio  = 0.9
	// A roll-out writes its head twice, and a new owner once more.
	changesEach = 3
)

var named = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

func Usual(p *wire.KeelParams) {
	p.Bounds = base.UsualBounds(p.Bounds)
	usual(&p.Serials, 16)
	usual(&p.Bundle, 16<<20)
	usual(&p.Traces, 50000)
	if p.Log == "" {
		p.Log = "info"
	}
}

func usual(at *uint32, value uint32) {
	if *at == 0 {
		*at = value
	}
}

func Check(p *wire.KeelParams) error {
	return validation.ValidateStruct(p,
		validation.Field(&p.Name, validation.Required, validation.Match(named)),
		validation.Field(&p.Zone, validation.Required, validation.Match(named)),
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

type Keel struct {
	Helm   *Helm
	Trove  *quorum.Trove
	Traces *tracing.Store
	params *wire.KeelParams
	cancel context.CancelFunc
	doors  []*base.Door
	crew   base.Crew
}

func Start(s base.Scope, params *wire.KeelParams) (*Keel, error) {
	Usual(params)
	if err := Check(params); err != nil {
		return nil, err
	}
	trust, err := bundle.NewTrust(params.Trusted)
	if err != nil {
		return nil, err
	}
	s, cancel := s.Child()
	k := &Keel{params: params, cancel: cancel}
	store, err := quorum.OpenStore(s, int(params.Serials)*changesEach)
	if err != nil {
		cancel()
		return nil, errors.Wrap(err, "data folder")
	}
	web := base.Wire(s)
	force := params.Bounds.InForce.AsDuration()
	var mates []quorum.Mate
	var relays []string
	self := ""
	for _, seed := range params.Seeds {
		mates = append(mates, quorum.Mate{Name: seed, Address: seed})
		if seed != params.Mates {
			relays = append(relays, seed)
		} else {
			self = seed
		}
	}
	if self == "" {
		cancel()
		return nil, errors.Errorf("seeds: a keel's own address %s is one of the seeds", params.Mates)
	}
	k.Trove = quorum.New(s, store, web, self, mates, time.Duration(float64(force)*roundRatio))
	traces := tracing.OpenStore(s, int(params.Traces))
	k.Traces = traces
	traces.Mates(web, relays)
	member := membership.NewMember(s, web, &wire.Roster{Node: params.Name, Address: params.Mates, Zone: params.Zone, Core: true},
		params.Seeds, relays, time.Duration(float64(params.Bounds.Leaving.AsDuration())*beatRatio))
	limits := bundle.UsualLimits(params.Bounds.Grace.AsDuration())
	limits.Bytes = int(params.Bundle)
	k.Helm = New(s, web, Parts{
		Self: params.Name, Address: self, Mates: mates, Trove: k.Trove, Member: member, Traces: traces, Trust: trust, Limits: limits, Force: force, Slide: params.Bounds.SlideBack.AsDuration(),
		Silence: max(params.Bounds.Recovery.AsDuration(), params.Bounds.Alone.AsDuration()),
	})
	mux := http.NewServeMux()
	mux.Handle(quorum.Handler(k.Trove))
	mux.Handle(membership.Handler(member))
	mux.Handle(tracing.Handler(traces))
	mux.Handle(Handler(k.Helm))
	for address, handler := range map[string]http.Handler{params.Mates: mux, params.Operators: Desk(k.Helm)} {
		door, err := base.Open(s, address, handler)
		if err != nil {
			k.Kill()
			return nil, err
		}
		k.doors = append(k.doors, door)
	}
	k.crew.Go(func() { member.Run(s) })
	k.crew.Go(func() { traces.Run(s, force/2) })
	k.crew.Go(func() { k.Helm.Run(s) })
	s.Log.Info("started", "name", params.Name, "zone", params.Zone)
	return k, nil
}

func (k *Keel) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(float64(k.params.Bounds.Grace.AsDuration())*stopRatio))
	defer cancel()
	k.Helm.HandOver(k.Helm.scope.Under(ctx))
	k.Trove.HandOver(k.Helm.scope.Under(ctx))
	k.cancel()
	for _, door := range k.doors {
		door.Drain(ctx)
	}
	k.Kill()
}

func (k *Keel) Kill() {
	k.cancel()
	for _, door := range k.doors {
		door.Slam()
	}
	k.crew.Wait()
}

func (k *Keel) Reload(params *wire.KeelParams) error {
	Usual(params)
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
	k.Helm.trust.Store(&trust)
	k.params = params
	return nil
}
