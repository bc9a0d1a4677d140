package config

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
)

var _ = ginkgo.Describe("a table", func() {
	c := &wire.Configuration{Serial: 3, Services: []*wire.ConfigurationService{{Name: "s", ConnLimit: 4}}}
	for _, prefix := range []string{"/a/", "/a/b/", "/a/b/c/d/", "/long/"} {
		c.Routes = append(c.Routes, &wire.ConfigurationRoute{Name: prefix, Host: "A.example", Prefix: prefix})
	}
	c.Routes = append(c.Routes, &wire.ConfigurationRoute{Name: "root", Host: "b.example", Prefix: "/"})
	table := NewRoutingTable(c)
	ginkgo.DescribeTable("given routes, when a path is looked up, then the longest prefix that begins it wins",
		func(host, path, name string) {
			route, known := table.Find(host, path)
			Expect(known).To(Equal(name != ""))
			if known {
				Expect(route.Name()).To(Equal(name))
			}
		},
		ginkgo.Entry("inside", "a.example", "/a/x", "/a/"),
		ginkgo.Entry("no slash behind", "a.example", "/a/b", "/a/"),
		ginkgo.Entry("the prefix itself", "a.example", "/a/b/", "/a/b/"),
		ginkgo.Entry("between two", "a.example", "/a/b/c/dd", "/a/b/"),
		ginkgo.Entry("the longest", "a.example", "/a/b/c/d/e/f", "/a/b/c/d/"),
		ginkgo.Entry("above all", "a.example", "/a", ""),
		ginkgo.Entry("another case of the path", "a.example", "/A/b/", ""),
		ginkgo.Entry("another case of the host, with a port", "a.EXAMPLE:8080", "/a/", "/a/"),
		ginkgo.Entry("an unknown host", "c.example", "/a/", ""),
		ginkgo.Entry("the root", "b.example", "/what/ever", "root"),
		ginkgo.Entry("no path", "b.example", "", ""),
		ginkgo.Entry("many slashes", "a.example", strings.Repeat("/", 8192), ""),
	)
	ginkgo.It("given a configuration, when services and the serial are asked, then they are told", func() {
		service, known := table.Service("s")
		Expect(known).To(BeTrue())
		Expect(service.ConnLimit).To(BeEquivalentTo(4))
		_, known = table.Service("t")
		Expect(known).To(BeFalse())
		Expect(table.Serial()).To(BeEquivalentTo(3))
		Expect(table.Configuration()).To(BeIdenticalTo(c))
	})
	ginkgo.It("given odd hosts, when they are brought to one form, then ports go and names stay", func() {
		Expect(hostOf("X.y:80")).To(Equal("x.y"))
		Expect(hostOf("[::1]:80")).To(Equal("[::1]"))
		Expect(hostOf("::1")).To(Equal("::1"))
		Expect(hostOf("x:y")).To(Equal("x:y"))
		Expect(hostOf(":80")).To(BeEmpty())
	})
	ginkgo.It("given no configuration, when it is looked up, then there is nothing", func() {
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
			b.Fatal("lost")
		}
	}
}
