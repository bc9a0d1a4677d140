package config

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("changing a configuration", func() {
	ginkgo.It("given changed and dropped items, when they are applied, then items are replaced in place, appended or removed, and the current configuration is not modified", func() {
		current := exampleConfiguration()
		next := Apply(current, &wire.ConfigurationChange{
			Serial: 9, Base: 7,
			Routes:       []*wire.ConfigurationRoute{{Name: "search", Tries: 5}, {Name: "shelf", Tries: 1}},
			DropRoutes:   []string{"loan", "unknown"},
			Services:     []*wire.ConfigurationService{{Name: "ledger", ConnLimit: 5}, {Name: "third"}},
			DropServices: []string{"desk"},
		})
		Expect(proto.Equal(current, exampleConfiguration())).To(BeTrue())
		Expect(next.Serial).To(BeEquivalentTo(9))
		Expect(next.Base).To(BeEquivalentTo(7))
		Expect(next.Routes).To(HaveLen(2))
		Expect(next.Routes[0].Tries).To(BeEquivalentTo(5))
		Expect(next.Routes[1].Name).To(Equal("shelf"))
		Expect(next.Services).To(HaveLen(2))
		Expect(next.Services[0].ConnLimit).To(BeEquivalentTo(5))
		Expect(proto.Equal(next.Limits, current.Limits)).To(BeTrue())
		next.Limits.IdleMs = 1
		Expect(current.Limits.IdleMs).To(BeEquivalentTo(15000))
	})
	ginkgo.It("given limits, when they are applied, then they replace the current ones", func() {
		next := Apply(exampleConfiguration(), &wire.ConfigurationChange{Serial: 9, Limits: &wire.ConfigurationLimits{IdleMs: 4}})
		Expect(proto.Equal(next.Limits, &wire.ConfigurationLimits{IdleMs: 4})).To(BeTrue())
	})
	ginkgo.It("given no current configuration, when a change is applied, then the result has only the change's items", func() {
		Expect(Apply(nil, &wire.ConfigurationChange{Serial: 1, Services: []*wire.ConfigurationService{{Name: "a"}}}).Services).To(HaveLen(1))
	})
	ginkgo.It("given equal and different configurations, when their digests are computed, then only those of equal ones match", func() {
		Expect(Digest(exampleConfiguration())).To(Equal(Digest(exampleConfiguration())))
		other := exampleConfiguration()
		other.Routes[0].Tries++
		Expect(Digest(other)).NotTo(Equal(Digest(exampleConfiguration())))
	})
})
