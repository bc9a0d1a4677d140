package main

import (
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("The summary of a report", func() {
	read := func(text string) Report {
		report, err := ReadReport(strings.NewReader(text))
		Expect(err).NotTo(HaveOccurred())
		return report
	}

	ginkgo.It("describes a day that passed", func() {
		report := read(`{"G": 0.8, "served": 0.95, "unserved": 0.02, "fault": null, "short": [], "breaks": {}, "first": [], "missed": []}`)
		Expect(report.Broken()).To(BeFalse())
		Expect(report.Summary("a")).To(HaveSuffix("GATE passed, worth 0.950, score 0.800; no rule broken"))
	})

	ginkgo.It("names each violated rule with the first violation", func() {
		report := read(`{"served": 0.9, "breaks": {"TWICE": 1, "CONFIG": 2}, "first": [{"at_s": 4.5, "rule": "TWICE", "what": "run twice", "history": []}]}`)
		Expect(report.Broken()).To(BeTrue())
		Expect(report.Summary("a")).To(HaveSuffix("GATE failed, worth 0.900, score 0.000; BROKEN CONFIG: 2; BROKEN TWICE: 1; TWICE at 4.500 s: run twice"))
	})

	ginkgo.It("fails the gate for a fault, a value below its minimum, or too many unserved requests", func() {
		for _, text := range []string{`{"fault": "ended"}`, `{"short": ["zone"]}`, `{"unserved": 0.7}`} {
			Expect(read(text).GatePassed()).To(BeFalse(), text)
		}
	})
})
