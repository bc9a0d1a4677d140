package controlplane

import (
	"net"
	"net/netip"
	"slices"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// SetDefaults fills in what was left out.
func SetDefaults(p *wire.ControllerParams) {
	usual := func(at **durationpb.Duration, d time.Duration) {
		if (*at).AsDuration() == 0 {
			*at = durationpb.New(d)
		}
	}
	usual(&p.Ack, 4*time.Second)
	usual(&p.InForce, 2*time.Second)
	usual(&p.Grace, 6*time.Second)
	usual(&p.Absent, 1500*time.Millisecond)
	if p.MemoryMb == 0 {
		p.MemoryMb = 256
	}
	if p.Log == "" {
		p.Log = "info"
	}
}

// Check tells what is wrong with the settings.
func Check(p *wire.ControllerParams) error {
	within := func(low, high time.Duration) validation.Rule {
		return validation.By(func(value any) error {
			return validation.Validate(value.(*durationpb.Duration).AsDuration(), validation.Min(low), validation.Max(high))
		})
	}
	return validation.ValidateStruct(p,
		validation.Field(&p.Name, validation.Required),
		validation.Field(&p.Peers, validation.Required, base.IsAddress),
		validation.Field(&p.Operators, validation.Required, base.IsAddress),
		validation.Field(&p.Seeds, validation.Each(base.IsAddress)),
		validation.Field(&p.Folder, validation.Required),
		validation.Field(&p.Ack, within(400*time.Millisecond, time.Minute)),
		validation.Field(&p.InForce, within(200*time.Millisecond, time.Minute)),
		validation.Field(&p.Grace, within(time.Second, 5*time.Minute)),
		validation.Field(&p.Absent, within(200*time.Millisecond, time.Minute)),
		validation.Field(&p.Log, validation.In("trace", "debug", "info", "warn", "error")),
	)
}

// replicaSeeds lists the addresses of the seeds' replicas, this machine's own among them if it is a seed: a founder that
// has lost its disk recognises by that list that it is the one to found again.
func replicaSeeds(p *wire.ControllerParams) []string {
	_, port, _ := net.SplitHostPort(p.Peers)
	var found []string
	for _, seed := range p.Seeds {
		if at, err := netip.ParseAddrPort(seed); err == nil {
			found = append(found, net.JoinHostPort(at.Addr().String(), port))
		}
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// ratioOf returns a ratio of a bound in the settings.
func ratioOf(d *durationpb.Duration, ratio float64) time.Duration {
	return time.Duration(float64(d.AsDuration()) * ratio)
}
