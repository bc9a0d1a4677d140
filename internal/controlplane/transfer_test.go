package controlplane

import (
	"fmt"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"curlewreach/internal/config"
	"curlewreach/proto/wire"
)

// large is a configuration with many routes.
func large(serial, base uint64) *wire.Configuration {
	c := &wire.Configuration{Serial: serial, Base: base, Services: []*wire.ConfigurationService{{Name: "books"}}}
	for i := range 300 {
		c.Routes = append(c.Routes, &wire.ConfigurationRoute{
			Name: fmt.Sprint("route-", i), Host: "books.example", Prefix: fmt.Sprintf("/p%d/", 7919*i), CutoffMs: 2000, AimMs: 500, Tries: 2, Service: proto.String("books"),
		})
	}
	return c
}

var _ = ginkgo.Describe("sending the configuration to nodes", func() {
	wants := func(held *wire.Configuration) *wire.PollRequest {
		ask := &wire.PollRequest{NodeStatus: nodeStatus("n1", 1), Wants: true, Unpacks: true, ConfigOnly: true, Serial: held.GetSerial()}
		if held != nil {
			ask.Fingerprint = config.Fingerprint(held)
		}
		return ask
	}
	changed := func() *wire.Configuration {
		next := large(7, 5)
		next.Routes[17].CutoffMs = 900
		next.Routes = append(next.Routes[:3], next.Routes[4:]...)
		return next
	}

	story("given a node that holds the configuration before, when it wants the newest, then it is sent what has changed, a small part of the whole", func(f *fleet) {
		before, next := large(5, 0), changed()
		Expect(f.taken(0, &wire.ConfigurationProposal{Configuration: before})).To(BeTrue())
		Expect(f.until(func() bool { return f.controllers[0].server.view.Load().serial() == 5 })).To(BeTrue())
		Expect(f.taken(0, &wire.ConfigurationProposal{Configuration: next})).To(BeTrue())
		reply, err := f.poll(0, wants(before))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.Configuration).To(BeNil())
		Expect(reply.PackedConfiguration).To(BeNil())
		Expect(len(reply.PackedChange)).To(And(BeNumerically(">", 0), BeNumerically("<", 300)))
		change := &wire.ConfigurationChange{}
		Expect(config.Unpack(reply.PackedChange, change)).To(Succeed())
		Expect(config.Fingerprint(config.Apply(before, change))).To(Equal(config.Fingerprint(next)))
	})

	story("given nodes that hold nothing, something else under the same serial, or something long forgotten, when they want the newest, then they are sent the whole, compressed", func(f *fleet) {
		next := large(7, 0)
		Expect(f.taken(0, &wire.ConfigurationProposal{Configuration: next})).To(BeTrue())
		other := large(5, 0)
		other.Routes[0].Tries = 1
		for _, held := range []*wire.Configuration{nil, other, large(3, 0)} {
			reply, err := f.poll(0, wants(held))
			Expect(err).NotTo(HaveOccurred())
			Expect(reply.PackedChange).To(BeNil())
			Expect(len(reply.PackedConfiguration)).To(BeNumerically("<", proto.Size(next)/2))
			whole := &wire.Configuration{}
			Expect(config.Unpack(reply.PackedConfiguration, whole)).To(Succeed())
			Expect(proto.Equal(whole, next)).To(BeTrue())
		}
	})

	story("given a node of the version before, when it wants the newest, then it is sent the whole as it is", func(f *fleet) {
		next := large(7, 0)
		Expect(f.taken(0, &wire.ConfigurationProposal{Configuration: next})).To(BeTrue())
		ask := wants(nil)
		ask.Unpacks = false
		reply, err := f.poll(0, ask)
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Equal(reply.Configuration, next)).To(BeTrue())
	})

	story("given more changes than are kept, when a node holds one of the last, then it is sent the change, and else the whole", func(f *fleet) {
		held := map[uint64]*wire.Configuration{}
		base := uint64(0)
		for turn := range uint64(configurationsKept + 4) {
			c := large(5+turn, base)
			c.Routes[0].CutoffMs = float64(1000 + turn)
			held[c.Serial] = c
			base = c.Serial
			Expect(f.taken(0, &wire.ConfigurationProposal{Configuration: c})).To(BeTrue())
			Expect(f.until(func() bool { return f.controllers[0].server.view.Load().serial() == c.Serial })).To(BeTrue())
		}
		late, err := f.poll(0, wants(held[base-1]))
		Expect(err).NotTo(HaveOccurred())
		Expect(late.PackedChange).NotTo(BeNil())
		early, err := f.poll(0, wants(held[5]))
		Expect(err).NotTo(HaveOccurred())
		Expect(early.PackedChange).To(BeNil())
		Expect(early.PackedConfiguration).NotTo(BeNil())
	})
})
