package config

import (
	"math"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("checking a configuration", func() {
	ginkgo.It("given a valid configuration, when it is checked, then there are no faults", func() {
		Expect(Check(exampleConfiguration())).To(BeEmpty())
	})
	ginkgo.DescribeTable("given one fault, when the configuration is checked, then its kind and path are reported",
		func(kind base.Kind, path string, corrupt func(c *wire.Configuration)) {
			c := exampleConfiguration()
			corrupt(c)
			found := Check(c)
			Expect(found).To(HaveLen(1))
			Expect(found[0].Kind).To(Equal(kind))
			Expect(found[0].Path).To(Equal(path))
		},
		ginkgo.Entry("no serial", base.OutOfRange, "serial", func(c *wire.Configuration) { c.Serial = 0 }),
		ginkgo.Entry("an unknown service", base.DanglingReference, "routes.loan.service", func(c *wire.Configuration) { c.Routes[1].Service = proto.String("gone") }),
		ginkgo.Entry("an empty service", base.DanglingReference, "routes.loan.service", func(c *wire.Configuration) { c.Routes[1].Service = proto.String("") }),
		ginkgo.Entry("an unknown service in a destination", base.DanglingReference, "routes.search.forks.1.service", func(c *wire.Configuration) { c.Routes[0].Destinations[1].Service = "gone" }),
		ginkgo.Entry("the same host and prefix twice", base.Overlapping, "routes.loan", func(c *wire.Configuration) { c.Routes[1].Prefix = "/books/" }),
		ginkgo.Entry("the same host in another case and with a port", base.Overlapping, "routes.loan", func(c *wire.Configuration) { c.Routes[1].Host, c.Routes[1].Prefix = "A.example:80", "/books/" }),
		ginkgo.Entry("a route's name twice", base.Duplicate, "routes.search", func(c *wire.Configuration) { c.Routes[1].Name = "search" }),
		ginkgo.Entry("a service's name twice", base.Duplicate, "services.desk", func(c *wire.Configuration) { c.Services = append(c.Services, &wire.ConfigurationService{Name: "desk"}) }),
		ginkgo.Entry("no name", base.Malformed, "routes.#1.name", func(c *wire.Configuration) { c.Routes[1].Name = "" }),
		ginkgo.Entry("no attempts", base.OutOfRange, "routes.loan.tries", func(c *wire.Configuration) { c.Routes[1].Tries = 0 }),
		ginkgo.Entry("no host", base.OutOfRange, "routes.loan.host", func(c *wire.Configuration) { c.Routes[1].Host = "" }),
		ginkgo.Entry("a prefix without a leading slash", base.OutOfRange, "routes.loan.prefix", func(c *wire.Configuration) { c.Routes[1].Prefix = "books/" }),
		ginkgo.Entry("a prefix without a trailing slash", base.OutOfRange, "routes.loan.prefix", func(c *wire.Configuration) { c.Routes[1].Prefix = "/books" }),
		ginkgo.Entry("no target", base.Malformed, "routes.loan", func(c *wire.Configuration) { c.Routes[1].Service = nil }),
		ginkgo.Entry("weights that are all 0", base.OutOfRange, "routes.search.forks", func(c *wire.Configuration) {
			c.Routes[0].Destinations[0].Weight, c.Routes[0].Destinations[1].Weight = 0, 0
		}),
		ginkgo.Entry("a negative weight", base.OutOfRange, "routes.search.forks.1.weight", func(c *wire.Configuration) { c.Routes[0].Destinations[1].Weight = -1 }),
		ginkgo.Entry("a weight that is not a number", base.OutOfRange, "routes.search.forks.1.weight", func(c *wire.Configuration) { c.Routes[0].Destinations[1].Weight = math.NaN() }),
		ginkgo.Entry("no timeout", base.OutOfRange, "routes.loan.cutoff", func(c *wire.Configuration) { c.Routes[1].CutoffMs = 0 }),
		ginkgo.Entry("a negative latency target", base.OutOfRange, "routes.loan.aim", func(c *wire.Configuration) { c.Routes[1].AimMs = -1 }),
		ginkgo.Entry("a negative limit", base.OutOfRange, "limits.idle", func(c *wire.Configuration) { c.Limits.IdleMs = -1 }),
	)
	ginkgo.It("given several faults, when the configuration is checked, then all are reported", func() {
		c := exampleConfiguration()
		c.Serial, c.Routes[0].Tries, c.Routes[0].Host, c.Routes[1].Service = 0, 0, "", proto.String("gone")
		Expect(Check(c)).To(HaveLen(4))
	})
	ginkgo.It("given no configuration, when it is checked, then it is rejected", func() {
		Expect(Check(nil)).NotTo(BeEmpty())
	})
})
