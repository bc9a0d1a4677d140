package config

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "config")
}

func exampleConfiguration() *wire.Configuration {
	return &wire.Configuration{
		Serial: 7, Base: 5,
		Routes: []*wire.ConfigurationRoute{
			{
				Name: "search", Host: "a.example", Prefix: "/books/", Repeat: wire.Repeat_REPEATABLE, CutoffMs: 3000, AimMs: 500, Rank: 2, Tries: 2,
				Destinations: []*wire.Destination{{Service: "desk", Weight: 90}, {Service: "ledger", Weight: 10}},
			},
			{Name: "loan", Host: "a.example", Prefix: "/books/loans/", CutoffMs: 4000, AimMs: 600, Rank: 1, Tries: 2, Service: proto.String("ledger")},
		},
		Services: []*wire.ConfigurationService{{Name: "desk", Probe: "/health", ConnLimit: 110, Protocol: "h1"}, {Name: "ledger", Probe: "/health", ConnLimit: 110, Protocol: "h1"}},
		Limits:   &wire.ConfigurationLimits{HeaderBytes: 16384, BodyBytes: 1 << 26, HeaderMs: 3000, IdleMs: 15000},
	}
}
