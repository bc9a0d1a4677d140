package scale

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"curlewreach/proto/wire"
)

func (f *Field) chart() *wire.Configuration {
	c := &wire.Configuration{Serial: 1, Limits: &wire.ConfigurationLimits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderMs: 3000, IdleMs: 9000}}
	for i := range f.point.services {
		c.Services = append(c.Services, &wire.ConfigurationService{Name: serviceName(i), Probe: "/health", ConnLimit: 9, Protocol: "h1"})
	}
	for i := range f.point.routes {
		c.Routes = append(c.Routes, f.route(i, 500))
	}
	return c
}

func (f *Field) route(i int, aim float64) *wire.ConfigurationRoute {
	service := serviceName(i % f.point.services)
	return &wire.ConfigurationRoute{
		Name: "route-" + strconv.Itoa(i), Host: service + ".example", Prefix: fmt.Sprintf("/part-%d/", i), CutoffMs: 2000, AimMs: aim, Tries: 2, Service: &service,
	}
}

func (f *Field) change(p *wire.ConfigurationProposal) error {
	serial := max(p.GetConfiguration().GetSerial(), p.GetChange().GetSerial())
	var err error
	for i := range 3 * len(f.moors) {
		ctx, cancel := context.WithTimeout(f.ctx, 4*time.Second)
		var reply *connect.Response[wire.ConfigurationOutcome]
		reply, err = f.moors[(int(serial)+i)%len(f.moors)].Propose(ctx, connect.NewRequest(p))
		cancel()
		if err == nil && reply.Msg.Kind == "" {
			f.serial = serial
			return nil
		}
		if err == nil {
			return errors.Errorf("change %d bounced: %s %v", serial, reply.Msg.Kind, reply.Msg.Reasons)
		}
	}
	return errors.Wrapf(err, "change %d", serial)
}

func (f *Field) next() *wire.ConfigurationProposal {
	serial := f.serial + 1
	return &wire.ConfigurationProposal{Change: &wire.ConfigurationChange{Serial: serial, Base: f.serial, Routes: []*wire.ConfigurationRoute{f.route(int(serial)%f.point.routes, 500+float64(serial))}}}
}
