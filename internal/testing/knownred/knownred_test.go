package main

import (
	"bytes"
	"regexp"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/ginkgo/v2/types"
	. "github.com/onsi/gomega"
)

func TestKnownRed(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "known red tests")
}

var listed = Entry{Test: "a lease given a cut, when it ends (late), then none serves", Cause: "clock read twice", Issue: "issue 17"}

func reportOf(state types.SpecState, containers []string, text string) types.Report {
	return types.Report{SpecReports: types.SpecReports{{ContainerHierarchyTexts: containers, LeafNodeText: text, State: state}}}
}

var _ = ginkgo.Describe("the list of tests known to fail", func() {
	ginkgo.It("given lines of three fields, when it is read, then each is an entry and empty lines are none", func() {
		entries, err := ParseEntries(strings.NewReader("\n" + listed.Test + " | " + listed.Cause + " | " + listed.Issue + "\n\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(entries).To(Equal([]Entry{listed}))
	})

	ginkgo.It("given an empty list, when it is read, then nothing is skipped and nothing run", func() {
		for _, name := range []string{"skip", "rest", "run"} {
			var out bytes.Buffer
			Expect(command(name, nil, strings.NewReader(""), &out)).To(Succeed())
			Expect(out.String()).To(BeEmpty())
		}
	})

	ginkgo.DescribeTable("given a list that breaks the rules, when it is read, then it is refused",
		func(list, reason string) {
			var out bytes.Buffer
			Expect(command("skip", nil, strings.NewReader(list), &out)).To(MatchError(ContainSubstring(reason)))
			Expect(out.String()).To(BeEmpty())
		},
		ginkgo.Entry("four tests", "a|b|1\nb|b|1\nc|b|1\nd|b|1\n", "at most 3"),
		ginkgo.Entry("no issue", "a|b\n", "2 fields, want 3"),
		ginkgo.Entry("an empty cause", "a| |1\n", "field 2 is empty"),
		ginkgo.Entry("a field too many", "a|b|1|c\n", "4 fields, want 3"),
		ginkgo.Entry("a test twice", "a|b|1\na|c|2\n", "listed twice"),
	)

	ginkgo.It("given an entry, when its pattern is matched, then it takes its own text and no longer or other one", func() {
		pattern := regexp.MustCompile(listed.Pattern())
		Expect(pattern.MatchString("the suite " + listed.Test)).To(BeTrue())
		Expect(pattern.MatchString("the suite " + listed.Test + " twice")).To(BeFalse())
		Expect(pattern.MatchString("the suite x" + listed.Test)).To(BeFalse())
		Expect(pattern.MatchString("the suite " + strings.ReplaceAll(listed.Test, "(late)", "late"))).To(BeFalse())
	})

	ginkgo.DescribeTable("given a run of the listed test, when it is judged, then its end is told",
		func(state types.SpecState, failed bool, line string) {
			verdict, err := SpecVerdict(listed, []types.Report{reportOf(types.SpecStateFailed, nil, "another"), reportOf(state, []string{"a lease"}, strings.TrimPrefix(listed.Test, "a lease "))})
			Expect(err).NotTo(HaveOccurred())
			Expect(verdict.Failed).To(Equal(failed))
			Expect(verdict.String()).To(HavePrefix(line))
		},
		ginkgo.Entry("failed", types.SpecStateFailed, true, "KNOWN RED, passed over: "),
		ginkgo.Entry("panicked", types.SpecStatePanicked, true, "KNOWN RED, passed over: "),
		ginkgo.Entry("out of time", types.SpecStateTimedout, true, "KNOWN RED, passed over: "),
		ginkgo.Entry("passed", types.SpecStatePassed, false, "KNOWN RED PASSES, take it off the list: "),
	)

	ginkgo.DescribeTable("given a run without one result of the listed test, when it is judged, then CI fails",
		func(reports ...types.Report) {
			_, err := SpecVerdict(listed, reports)
			Expect(err).To(MatchError(ContainSubstring("want 1")))
		},
		ginkgo.Entry("no such test", reportOf(types.SpecStatePassed, nil, "another")),
		ginkgo.Entry("skipped", reportOf(types.SpecStateSkipped, nil, listed.Test)),
		ginkgo.Entry("pending", reportOf(types.SpecStatePending, nil, listed.Test)),
		ginkgo.Entry("two of one text", reportOf(types.SpecStatePassed, nil, listed.Test), reportOf(types.SpecStateFailed, nil, listed.Test)),
	)
})
