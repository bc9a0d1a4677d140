package main

import (
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("The options of daygen", func() {
	ginkgo.It("reports all problems at once", func() {
		settings := args{Day: &dayArgs{Stress: "much", Without: []string{"core_cut", "flood"}, Only: []string{"storm"}, Entries: -1}}
		Expect(settings.problems()).To(ConsistOf(ContainSubstring("much"), ContainSubstring("flood"), ContainSubstring("storm"), ContainSubstring("--entries")))
	})

	ginkgo.It("rejects a tolerance that leaves no majority, and negative numbers", func() {
		settings := args{Site: &siteArgs{CoreCount: 4, Tolerate: 2, LagMs: -1}}
		Expect(settings.problems()).To(ConsistOf(ContainSubstring("majority"), ContainSubstring("--lag-ms")))
	})

	ginkgo.It("accepts valid options", func() {
		Expect(args{Day: &dayArgs{Stress: StressControl, Without: []string{"replace_core"}}}.problems()).To(BeEmpty())
		Expect(args{Site: &siteArgs{CoreCount: 5, Tolerate: 2}}.problems()).To(BeEmpty())
		Expect(args{Summary: &summaryArgs{}}.problems()).To(BeEmpty())
	})
})
