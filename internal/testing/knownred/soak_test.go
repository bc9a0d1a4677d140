package main

import (
	"bytes"
	"io"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("a listed soak", func() {
	const list = "target/soak --seed 3 --nodes 9 | a body is broken off | issue 42\n"
	entries, _ := ParseEntries(strings.NewReader(list))

	ginkgo.It("given its test field, when it is parsed, then it gives the arguments, and a test gives none", func() {
		args, ok := entries[0].SoakArguments()
		Expect(ok).To(BeTrue())
		Expect(args).To(Equal([]string{"--seed", "3", "--nodes", "9"}))
		_, ok = listed.SoakArguments()
		Expect(ok).To(BeFalse())
	})

	ginkgo.It("given a list of it alone, when tests are run, then none is skipped and none is run", func() {
		for _, name := range []string{"skip", "rest", "run"} {
			var out bytes.Buffer
			Expect(runCommand(name, nil, strings.NewReader(list), &out)).To(Succeed())
			Expect(out.String()).To(BeEmpty())
		}
	})

	ginkgo.DescribeTable("given its exit status, when it has run, then it is told whether a rule was broken, and a soak that could not run is an error",
		func(status int, line string) {
			var out bytes.Buffer
			err := runSoaks(append(entries, listed), &out, func(args []string, _ io.Writer) (int, error) {
				Expect(args).To(HaveLen(4))
				return status, nil
			})
			if line == "" {
				Expect(err).To(HaveOccurred())
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(out.String()).To(HavePrefix(line))
			Expect(strings.Count(out.String(), "\n")).To(Equal(1))
		},
		ginkgo.Entry("broken", 1, "KNOWN RED, passed over: target/soak --seed 3"),
		ginkgo.Entry("none broken", 0, "KNOWN RED PASSES"),
		ginkgo.Entry("could not run", 2, ""),
	)
})
