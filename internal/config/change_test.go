package config

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("changing a configuration", func() {
	ginkgo.It("given puts and drops, when they are applied, then names are replaced in place, appended or gone, and the old configuration is as before", func() {
		old := example()
		next := Apply(old, &wire.ConfigurationChange{
			Serial: 9, Base: 7,
			Routes:       []*wire.ConfigurationRoute{{Name: "search", Tries: 5}, {Name: "shelf", Tries: 1}},
			DropRoutes:   []string{"loan", "unknown"},
			Services:     []*wire.ConfigurationService{{Name: "ledger", ConnLimit: 5}, {Name: "third"}},
			DropServices: []string{"desk"},
		})
		Expect(proto.Equal(old, example())).To(BeTrue())
		Expect(next.Serial).To(BeEquivalentTo(9))
		Expect(next.Base).To(BeEquivalentTo(7))
		Expect(next.Routes).To(HaveLen(2))
		Expect(next.Routes[0].Tries).To(BeEquivalentTo(5))
		Expect(next.Routes[1].Name).To(Equal("shelf"))
		Expect(next.Services).To(HaveLen(2))
		Expect(next.Services[0].ConnLimit).To(BeEquivalentTo(5))
		Expect(proto.Equal(next.Limits, old.Limits)).To(BeTrue())
		next.Limits.IdleMs = 1
		Expect(old.Limits.IdleMs).To(BeEquivalentTo(15000))
	})
	ginkgo.It("given limits, when they are applied, then they stand in place of the old ones", func() {
		next := Apply(example(), &wire.ConfigurationChange{Serial: 9, Limits: &wire.ConfigurationLimits{IdleMs: 4}})
		Expect(proto.Equal(next.Limits, &wire.ConfigurationLimits{IdleMs: 4})).To(BeTrue())
	})
	ginkgo.It("given no configuration yet, when a change is applied, then it stands alone", func() {
		Expect(Apply(nil, &wire.ConfigurationChange{Serial: 1, Services: []*wire.ConfigurationService{{Name: "a"}}}).Services).To(HaveLen(1))
	})
	ginkgo.It("given equal and unlike configurations, when digests are made, then only equal ones agree", func() {
		Expect(Digest(example())).To(Equal(Digest(example())))
		other := example()
		other.Routes[0].Tries++
		Expect(Digest(other)).NotTo(Equal(Digest(example())))
	})
})
