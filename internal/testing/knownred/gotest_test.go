package main

import (
	"bytes"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a listed test function", func() {
	entry := Entry{Test: "internal/replica.TestTerms", Cause: "a term is used twice", Issue: "issue 17"}
	test := TestFunction{Package: "internal/replica", Name: "TestTerms"}

	ginkgo.It("given a function and a spec, when they are told apart, then only the function is one", func() {
		got, ok := entry.TestFunction()
		Expect(ok).To(BeTrue())
		Expect(got).To(Equal(test))
		for _, text := range []string{listed.Test, "TestTerms", "internal/replica.terms", "internal/replica. TestTerms", "../replica.TestTerms"} {
			_, ok := Entry{Test: text}.TestFunction()
			Expect(ok).To(BeFalse(), text)
		}
	})

	ginkgo.DescribeTable("given its events, when it is judged, then its end is told",
		func(events string, failed bool) {
			var out bytes.Buffer
			verdict, err := TestFunctionVerdict(entry, test, strings.NewReader(events), &out)
			Expect(err).NotTo(HaveOccurred())
			Expect(verdict.Failed).To(Equal(failed))
			Expect(out.String()).To(Equal("told\n"))
		},
		ginkgo.Entry("failed", `{"Action":"output","Test":"TestTerms","Output":"told\n"}`+"\n"+`{"Action":"fail","Test":"TestTerms"}`+"\n"+`{"Action":"fail"}`, true),
		ginkgo.Entry("passed", `{"Action":"output","Test":"TestTerms","Output":"told\n"}`+"\n"+`{"Action":"pass","Test":"TestTerms/sub"}`+"\n"+`{"Action":"pass","Test":"TestTerms"}`, false),
	)

	ginkgo.DescribeTable("given events without one result of it, when it is judged, then CI fails",
		func(events, reason string) {
			_, err := TestFunctionVerdict(entry, test, strings.NewReader(events), &bytes.Buffer{})
			Expect(err).To(MatchError(ContainSubstring(reason)))
		},
		ginkgo.Entry("no such function", `{"Action":"pass"}`, "0 tests"),
		ginkgo.Entry("it doesn't compile", `not JSON`, "0 tests"),
		ginkgo.Entry("skipped", `{"Action":"skip","Test":"TestTerms"}`, "0 tests"),
		ginkgo.Entry("it runs a suite", `{"Action":"output","Test":"TestTerms","Output":"Running Suite: fleet\n"}`+"\n"+`{"Action":"fail","Test":"TestTerms"}`, "suite of specs"),
	)

	ginkgo.It("given packages, when one is to be skipped, then it is refused if that skips none or another too", func() {
		packages := []string{"curlewreach/internal/replica", "curlewreach/internal/replica/model", "curlewreach/flow"}
		Expect(checkSkipped("flow", packages)).To(Succeed())
		Expect(checkSkipped("internal/replica", packages)).To(MatchError(ContainSubstring("2 packages")))
		Expect(checkSkipped("internal/none", packages)).To(MatchError(ContainSubstring("0 packages")))
	})
})
