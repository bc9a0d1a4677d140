package listednode

import (
	validation "github.com/go-ozzo/ozzo-validation/v4"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// SetDefaults sets params that are not set to their defaults.
func SetDefaults(p *wire.VaneParams) {
	p.Bounds = base.DefaultBounds(p.Bounds)
	base.SetDefault(&p.Held, 1<<20)
	base.SetDefault(&p.Longest, 4<<20)
	base.SetDefault(&p.Flights, 1024)
	base.SetDefault(&p.Queue, 4096)
	base.SetDefault(&p.Room, 256<<20)
	base.SetDefault(&p.Log, "info")
}

// Check returns an error that names each invalid param, nil if there is none.
func Check(p *wire.VaneParams) error {
	return validation.ValidateStruct(p,
		validation.Field(&p.Name, validation.Required, base.IsName),
		validation.Field(&p.Zone, validation.Required, base.IsName),
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
