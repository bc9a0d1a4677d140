package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("a routing table", func() {
	c := &wire.Configuration{Serial: 3, Services: []*wire.ConfigurationService{{Name: "s", ConnLimit: 4}}}
	for _, prefix := range []string{"/a/", "/a/b/", "/a/b/c/d/", "/long/"} {
		c.Routes = append(c.Routes, &wire.ConfigurationRoute{Name: prefix, Host: "A.example", Prefix: prefix})
	}
	c.Routes = append(c.Routes, &wire.ConfigurationRoute{Name: "root", Host: "b.example", Prefix: "/"})
	table := NewRoutingTable(c)
	ginkgo.DescribeTable("given routes, when a path is looked up, then the route with the longest matching prefix is returned",
		func(host, path, name string) {
			route, known := table.Find(host, path)
			Expect(known).To(Equal(name != ""))
			if known {
				Expect(route.Name()).To(Equal(name))
			}
		},
		ginkgo.Entry("below a prefix", "a.example", "/a/x", "/a/"),
		ginkgo.Entry("a prefix without its trailing slash", "a.example", "/a/b", "/a/"),
		ginkgo.Entry("the prefix itself", "a.example", "/a/b/", "/a/b/"),
		ginkgo.Entry("between two prefixes", "a.example", "/a/b/c/dd", "/a/b/"),
		ginkgo.Entry("below the longest prefix", "a.example", "/a/b/c/d/e/f", "/a/b/c/d/"),
		ginkgo.Entry("above all prefixes", "a.example", "/a", ""),
		ginkgo.Entry("another case of the path", "a.example", "/A/b/", ""),
		ginkgo.Entry("another case of the host, with a port", "a.EXAMPLE:8080", "/a/", "/a/"),
		ginkgo.Entry("an unknown host", "c.example", "/a/", ""),
		ginkgo.Entry("the root", "b.example", "/what/ever", "root"),
		ginkgo.Entry("no path", "b.example", "", ""),
		ginkgo.Entry("many slashes", "a.example", strings.Repeat("/", 8192), ""),
	)
	ginkgo.It("given a configuration, when its services and serial are queried, then they are returned", func() {
		service, known := table.Service("s")
		Expect(known).To(BeTrue())
		Expect(service.ConnLimit).To(BeEquivalentTo(4))
		_, known = table.Service("t")
		Expect(known).To(BeFalse())
		Expect(table.Serial()).To(BeEquivalentTo(3))
		Expect(table.Configuration()).To(BeIdenticalTo(c))
	})
	ginkgo.It("given hosts with and without ports, when they are normalized, then only ports are removed", func() {
		Expect(normalizeHost("X.y:80")).To(Equal("x.y"))
		Expect(normalizeHost("[::1]:80")).To(Equal("[::1]"))
		Expect(normalizeHost("::1")).To(Equal("::1"))
		Expect(normalizeHost("x:y")).To(Equal("x:y"))
		Expect(normalizeHost(":80")).To(BeEmpty())
	})
	ginkgo.It("given no configuration, when a path is looked up, then no route is found", func() {
		_, known := NewRoutingTable(nil).Find("a.example", "/a/")
		Expect(known).To(BeFalse())
		Expect(NewRoutingTable(nil).Serial()).To(BeZero())
	})
})

func BenchmarkFind(b *testing.B) {
	c := &wire.Configuration{}
	for i := range 800 {
		c.Routes = append(c.Routes, &wire.ConfigurationRoute{Host: "a.example", Prefix: fmt.Sprintf("/p%d/q%d/", i%40, i)})
	}
	table := NewRoutingTable(c)
	b.ReportAllocs()
	for b.Loop() {
		if _, known := table.Find("a.example", "/p7/q47/some/where/else"); !known {
			b.Fatal("route not found")
		}
	}
}
