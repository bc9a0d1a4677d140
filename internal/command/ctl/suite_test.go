package ctl

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/internal/listedcore"
	"curlewreach/proto/wire"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "ctl")
}

var _ = ginkgo.Describe("the shell's answers", func() {
	ginkgo.DescribeTable("given a fault, when ctl ends, then its exit code tells which",
		func(err error, code int) { Expect(exitCode(err)).To(Equal(code)) },
		ginkgo.Entry("bounced", errors.Wrap(base.NewFault(base.StaleBase, "base", "newer"), "apply"), exitRejected),
		ginkgo.Entry("unknown", errors.WithStack(errUnknown), exitUnknown),
		ginkgo.Entry("unreachable", errors.Wrap(listedcore.ErrNoController, "show"), exitUnreachable),
		ginkgo.Entry("a bad file", badFile{errors.New("no JSON")}, exitBadFile),
		ginkgo.Entry("constraints that clash", errClash, exitFault),
		ginkgo.Entry("something wrong", errWrong, exitFault),
	)

	ginkgo.It("given a bounced, an unknown and a taken outcome, when told, then only the taken is no fault", func() {
		a := &args{}
		Expect(a.outcome(&wire.Outcome{Verdict: wire.Verdict_TAKEN, Serial: 2}, nil)).To(Succeed())
		Expect(exitCode(a.outcome(&wire.Outcome{Verdict: wire.Verdict_UNKNOWN}, nil))).To(Equal(exitUnknown))
		Expect(exitCode(a.outcome(&wire.Outcome{Verdict: wire.Verdict_BOUNCED, Mishap: &wire.Mishap{Kind: "stale-base"}}, nil))).To(Equal(exitRejected))
	})

	ginkgo.DescribeTable("given a file of constraints, when placed, then the exit code tells solved, clashing and bad apart",
		func(body string, code int) {
			file := filepath.Join(ginkgo.GinkgoT().TempDir(), "plan.json")
			Expect(os.WriteFile(file, []byte(body), 0o644)).To(Succeed())
			err := (&args{Place: &place{File: file}}).place()
			if code == 0 {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(exitCode(err)).To(Equal(code))
		},
		ginkgo.Entry("solved", `{"machines":[{"name":"a","zone":"z","capacity":1}],"services":[{"name":"s","replicas":1,"weight":1}]}`, 0),
		ginkgo.Entry("clashing", `{"machines":[{"name":"a","zone":"z","capacity":1}],"services":[{"name":"s","replicas":1,"weight":2}]}`, exitFault),
		ginkgo.Entry("bad", `{"machines":[{"name":"A"}]}`, exitBadFile),
		ginkgo.Entry("no JSON", `{`, exitBadFile),
	)

	ginkgo.It("given cells that are numbers or words, when sorted, then numbers go by size, the largest first", func() {
		Expect(compareCells("9", "10")).To(Equal(1))
		Expect(compareCells("10", "9")).To(Equal(-1))
		Expect(compareCells("a", "b")).To(Equal(-1))
	})
})
