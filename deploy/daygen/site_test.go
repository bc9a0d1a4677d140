package main

import (
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("Reading a site file", func() {
	ginkgo.It("returns what days are generated from", func() {
		site := readExample()
		Expect(site.zoneNames()).To(Equal([]string{"north", "south"}))
		Expect(site.outerClasses()).To(Equal([]string{"search"}))
		Expect(site.Tolerate.Machines).To(Equal(2))
	})

	ginkgo.DescribeTable("rejects an invalid file", func(old, changed, problem string) {
		_, err := ReadSite(writeSite(strings.Replace(siteText, old, changed, 1)))
		Expect(err).To(MatchError(ContainSubstring(problem)))
	},
		ginkgo.Entry("too short", "length_s = 32.0", "length_s = 2.0", "too short"),
		ginkgo.Entry("no zones", `zones = [ { name = "north" }, { name = "south" } ]`, "zones = []", "no zones"),
		ginkgo.Entry("no services", `services = [ { name = "books" }, { name = "loans" } ]`, "services = []", "no services"),
		ginkgo.Entry("only inner classes", `{ name = "search" }, `, "", "no classes"),
		ginkgo.Entry("not TOML", "name =", "name", "site file"),
	)
})
