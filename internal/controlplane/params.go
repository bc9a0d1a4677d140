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

// SetDefaults fills in the settings that were left out.
func SetDefaults(p *wire.ControllerParams) {
	setDefault := func(field **durationpb.Duration, d time.Duration) {
		if (*field).AsDuration() == 0 {
			*field = durationpb.New(d)
		}
	}
	setDefault(&p.Ack, 4*time.Second)
	setDefault(&p.InForce, 2*time.Second)
	setDefault(&p.Grace, 6*time.Second)
	setDefault(&p.Absent, 1500*time.Millisecond)
	if p.MemoryMb == 0 {
		p.MemoryMb = 256
	}
	if p.Log == "" {
		p.Log = "info"
	}
}

// Check validates the settings and returns all that is invalid in one error.
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

// replicaSeeds returns the addresses of the seeds' replicas, sorted, with the port of this machine's peer address.
// If this machine is a seed it is listed as well: at the first start of the system the seeds are its first voters.
func replicaSeeds(p *wire.ControllerParams) []string {
	_, port, _ := net.SplitHostPort(p.Peers)
	var addresses []string
	for _, seed := range p.Seeds {
		if parsed, err := netip.ParseAddrPort(seed); err == nil {
			addresses = append(addresses, net.JoinHostPort(parsed.Addr().String(), port))
		}
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// ratioOf returns a ratio of a duration in the settings.
func ratioOf(d *durationpb.Duration, ratio float64) time.Duration {
	return time.Duration(float64(d.AsDuration()) * ratio)
}
