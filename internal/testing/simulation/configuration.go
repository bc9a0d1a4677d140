package simulation

import "curlewreach/proto/wire"

// Configuration returns a configuration with one service and three idempotent routes to it, in order of decreasing
// urgency.
func Configuration(serial uint64, service string) *wire.Configuration {
	c := &wire.Configuration{Serial: serial, Services: []*wire.ConfigurationService{{Name: service, Probe: "/health", ConnLimit: 130, Protocol: "h1"}}}
	for i, name := range []string{"index", "search", "archive"} {
		c.Routes = append(c.Routes, &wire.ConfigurationRoute{
			Name: name, Host: "books.example", Prefix: "/" + name + "/", Repeat: wire.Repeat_REPEATABLE, CutoffMs: 5000, AimMs: 1000, Rank: uint32(i + 1), Tries: 2, Service: &service,
		})
	}
	return c
}
