package controlplane

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"curlewreach/internal/config"
	"curlewreach/proto/wire"
)

// largeConfiguration returns a configuration with 300 routes.
func largeConfiguration(serial, base uint64) *wire.Configuration {
	c := &wire.Configuration{Serial: serial, Base: base, Services: []*wire.ConfigurationService{{Name: "books"}}}
	for i := range 300 {
		c.Routes = append(c.Routes, &wire.ConfigurationRoute{
			Name: fmt.Sprint("route-", i), Host: "books.example", Prefix: fmt.Sprintf("/p%d/", 7919*i), CutoffMs: 2000, AimMs: 500, Tries: 2, Service: proto.String("books"),
		})
	}
	return c
}

var _ = ginkgo.Describe("sending the configuration to nodes", func() {
	pollHolding := func(held *wire.Configuration) *wire.PollRequest {
		req := &wire.PollRequest{NodeStatus: nodeStatus("n1", 1), Wants: true, Unpacks: true, ConfigOnly: true, Serial: held.GetSerial()}
		if held != nil {
			req.Fingerprint = config.Fingerprint(held)
		}
		return req
	}
	changed := func() *wire.Configuration {
		next := largeConfiguration(7, 5)
		next.Routes[17].CutoffMs = 900
		next.Routes = append(next.Routes[:3], next.Routes[4:]...)
		return next
	}

	scenario("given a node that holds the previous configuration, when it polls for the newest, then it is sent only the change, which is much smaller than the whole", func(f *fleet) {
		before, next := largeConfiguration(5, 0), changed()
		Expect(f.commits(0, &wire.ConfigurationProposal{Configuration: before})).To(BeTrue())
		Expect(f.eventually(func() bool { return f.controllers[0].server.configuration.Load().serial() == 5 })).To(BeTrue())
		Expect(f.commits(0, &wire.ConfigurationProposal{Configuration: next})).To(BeTrue())
		reply, err := f.poll(0, pollHolding(before))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Configuration).To(BeNil())
		Expect(reply.PackedConfiguration).To(BeNil())
		Expect(len(reply.PackedChange)).To(And(BeNumerically(">", 0), BeNumerically("<", 300)))
		change := &wire.ConfigurationChange{}
		Expect(config.Unpack(reply.PackedChange, change)).To(Succeed())
		Expect(config.Fingerprint(config.Apply(before, change))).To(Equal(config.Fingerprint(next)))
	})

	scenario("given nodes that hold nothing, a different configuration under the same serial, or one no longer kept, when they poll for the newest, then they are sent the whole configuration, compressed", func(f *fleet) {
		next := largeConfiguration(7, 0)
		Expect(f.commits(0, &wire.ConfigurationProposal{Configuration: next})).To(BeTrue())
		other := largeConfiguration(5, 0)
		other.Routes[0].Tries = 1
		for _, held := range []*wire.Configuration{nil, other, largeConfiguration(3, 0)} {
			reply, err := f.poll(0, pollHolding(held))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.PackedChange).To(BeNil())
			Expect(len(reply.PackedConfiguration)).To(BeNumerically("<", proto.Size(next)/2))
			whole := &wire.Configuration{}
			Expect(config.Unpack(reply.PackedConfiguration, whole)).To(Succeed())
			Expect(proto.Equal(whole, next)).To(BeTrue())
		}
	})

	scenario("given a node of the previous version, when it polls for the newest, then it is sent the whole configuration uncompressed", func(f *fleet) {
		next := largeConfiguration(7, 0)
		Expect(f.commits(0, &wire.ConfigurationProposal{Configuration: next})).To(BeTrue())
		req := pollHolding(nil)
		req.Unpacks = false
		reply, err := f.poll(0, req)
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Equal(reply.Configuration, next)).To(BeTrue())
	})

	scenario("given more configurations than are kept, when a node holds a kept one, then it is sent the change, and otherwise the whole configuration", func(f *fleet) {
		held := map[uint64]*wire.Configuration{}
		base := uint64(0)
		for turn := range uint64(maxRecentConfigurations + 4) {
			c := largeConfiguration(5+turn, base)
			c.Routes[0].CutoffMs = float64(1000 + turn)
			held[c.Serial] = c
			base = c.Serial
			Expect(f.commits(0, &wire.ConfigurationProposal{Configuration: c})).To(BeTrue())
			Expect(f.eventually(func() bool { return f.controllers[0].server.configuration.Load().serial() == c.Serial })).To(BeTrue())
		}
		late, err := f.poll(0, pollHolding(held[base-1]))
		Expect(err).NotTo(HaveOccurred())
		Expect(late.PackedChange).NotTo(BeNil())
		early, err := f.poll(0, pollHolding(held[5]))
		Expect(err).NotTo(HaveOccurred())
		Expect(early.PackedChange).To(BeNil())
		Expect(early.PackedConfiguration).NotTo(BeNil())
	})
})
