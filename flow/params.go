package flow

import (
	"regexp"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

var named = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Usual sets the params that aren't set to their defaults.
func Usual(p *wire.VaneParams) {
	p.Bounds = base.UsualBounds(p.Bounds)
	usual(&p.Held, 1<<20)
	usual(&p.Longest, 4<<20)
	usual(&p.Flights, 1024)
	usual(&p.Queue, 4096)
	usual(&p.Room, 256<<20)
	if p.Log == "" {
		p.Log = "info"
	}
}

func usual(at *uint32, value uint32) {
	if *at == 0 {
		*at = value
	}
}

// Check returns validation errors that name each bad param.
func Check(p *wire.VaneParams) error {
	return validation.ValidateStruct(p,
		validation.Field(&p.Name, validation.Required, validation.Match(named)),
		validation.Field(&p.Zone, validation.Required, validation.Match(named)),
		validation.Field(&p.Mates, validation.Required, base.IsAddress),
		validation.Field(&p.Visitors, validation.Required, base.IsAddress),
		validation.Field(&p.Upstreams, validation.Required, base.IsAddress),
		validation.Field(&p.Ops, validation.Required, base.IsAddress),
		validation.Field(&p.Seeds, validation.Required, validation.Length(1, 3), validation.Each(base.IsAddress)),
		validation.Field(&p.Trusted, validation.Required, validation.Length(1, 16)),
		validation.Field(&p.Bounds, validation.By(func(any) error { return base.CheckBounds(p.Bounds) })),
		validation.Field(&p.Held, validation.Min(uint32(1024)), validation.Max(uint32(64<<20))),
		validation.Field(&p.Longest, validation.Min(uint32(1024)), validation.Max(uint32(64<<20))),
		validation.Field(&p.Flights, validation.Min(uint32(1)), validation.Max(uint32(1<<20))),
		validation.Field(&p.Room, validation.Min(uint32(1<<20)), validation.Max(uint32(1<<31))),
		validation.Field(&p.Queue, validation.Min(uint32(1)), validation.Max(uint32(1<<20))),
		validation.Field(&p.Log, validation.In("trace", "debug", "info", "warn", "error")),
	)
}
