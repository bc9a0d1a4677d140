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

var _ = ginkgo.Describe("ctl's results", func() {
	ginkgo.DescribeTable("given an error, when ctl exits, then the exit code tells its kind",
		func(err error, code int) { Expect(exitCode(err)).To(Equal(code)) },
		ginkgo.Entry("rejected", errors.Wrap(base.NewFault(base.StaleBase, "base", "newer"), "apply"), exitRejected),
		ginkgo.Entry("unknown outcome", errors.WithStack(errOutcomeUnknown), exitOutcomeUnknown),
		ginkgo.Entry("no controller reachable", errors.Wrap(listedcore.ErrNoController, "show"), exitUnreachable),
		ginkgo.Entry("an invalid file", invalidFileError{errors.New("no JSON")}, exitInvalidFile),
		ginkgo.Entry("unsatisfiable constraints", errUnsatisfiable, exitFailure),
		ginkgo.Entry("a fleet with problems", errUnhealthy, exitFailure),
	)

	ginkgo.It("given a taken, an unknown and a rejected outcome, when printed, then only the taken one gives no error", func() {
		a := &args{}
		Expect(a.printOutcome(&wire.Outcome{Verdict: wire.Verdict_TAKEN, Serial: 2}, nil)).To(Succeed())
		Expect(exitCode(a.printOutcome(&wire.Outcome{Verdict: wire.Verdict_UNKNOWN}, nil))).To(Equal(exitOutcomeUnknown))
		Expect(exitCode(a.printOutcome(&wire.Outcome{Verdict: wire.Verdict_BOUNCED, Mishap: &wire.Mishap{Kind: "stale-base"}}, nil))).To(Equal(exitRejected))
	})

	ginkgo.DescribeTable("given a file of constraints, when a placement is computed, then the exit code tells solved, unsatisfiable and invalid apart",
		func(body string, code int) {
			file := filepath.Join(ginkgo.GinkgoT().TempDir(), "plan.json")
			Expect(os.WriteFile(file, []byte(body), 0o644)).To(Succeed())
			err := (&args{Place: &placeArgs{File: file}}).place()
			if code == 0 {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(exitCode(err)).To(Equal(code))
		},
		ginkgo.Entry("solved", `{"machines":[{"name":"a","zone":"z","capacity":1}],"services":[{"name":"s","replicas":1,"weight":1}]}`, 0),
		ginkgo.Entry("unsatisfiable", `{"machines":[{"name":"a","zone":"z","capacity":1}],"services":[{"name":"s","replicas":1,"weight":2}]}`, exitFailure),
		ginkgo.Entry("invalid", `{"machines":[{"name":"A"}]}`, exitInvalidFile),
		ginkgo.Entry("not JSON", `{`, exitInvalidFile),
	)

	ginkgo.It("given cells of numbers or text, when compared, then numbers sort from the largest and text alphabetically", func() {
		Expect(compareCells("9", "10")).To(Equal(1))
		Expect(compareCells("10", "9")).To(Equal(-1))
		Expect(compareCells("a", "b")).To(Equal(-1))
	})
})
