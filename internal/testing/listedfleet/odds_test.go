package listedfleet

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/testing/judge"
	"curlewreach/internal/testing/standin"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

func (f *Fleet) spans() map[string]*wire.Span {
	spans := map[string]*wire.Span{}
	for _, m := range f.Keels {
		if m.Controller != nil {
			recent, _ := m.Controller.Traces.Recent(0, 100000)
			for _, span := range recent {
				spans[span.Id] = span
			}
		}
	}
	return spans
}

var _ = ginkgo.Describe("odds last had", func() {
	story("given the core down, when a node restarts, then it goes on with the odds it last had on its disk", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(60)
		f.Pass(6 * time.Second)
		m := f.Vanes[1]
		held := m.Node.Node.Sampler().Serial()
		Expect(held).To(BeNumerically(">", 2))
		f.Pass(500 * time.Millisecond)
		for _, controller := range f.Keels {
			f.PowerLoss(controller)
		}
		f.PowerLoss(m)
		Expect(f.Raise(m)).To(Succeed())
		Expect(f.Until(20*time.Millisecond, func() bool { return m.Node.Node.Sampler().Serial() >= held-1 })).To(BeTrue())
		Expect(m.Node.Node.Sampler().Probability("catalogue/search")).To(BeNumerically("<", 1))
		Expect(f.Until(5*time.Second, m.Node.Node.Ready)).To(BeTrue(), "mates vouch for what its disk has")
		f.Leave()
		sound(f)
	})

	story("given nonsense in the odds file and the core down, when a node restarts, then it is bounced and mates hand theirs over", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(60)
		f.Pass(6 * time.Second)
		m := f.Vanes[2]
		for _, controller := range f.Keels {
			f.Kill(controller)
		}
		f.PowerLoss(m)
		Expect(m.Disk.FlipBits("odds")).NotTo(BeEmpty())
		Expect(f.Raise(m)).To(Succeed())
		Expect(f.Until(5*time.Second, m.Node.Node.Ready)).To(BeTrue())
		Expect(m.Journal.Counts()["odds-bounced"]).To(BeNumerically(">", 0))
		Expect(m.Node.Node.Sampler().Serial()).To(BeNumerically(">", 2))
		f.Leave()
		sound(f)
	})

	story("given no application machine with a data folder, when nodes restart and bundles roll out, then all is served", []uint64{1, 2}, func(f *Fleet) {
		f.Diskless = true
		raised(f)
		f.Visit(60)
		f.Pass(2 * time.Second)
		f.Kill(f.Vanes[0])
		Expect(f.Raise(f.Vanes[0])).To(Succeed())
		Expect(f.push("second", 1, nudge(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		Expect(f.Until(5*time.Second, func() bool { return f.Ready(f.Vanes) && f.AllOn(2) })).To(BeTrue())
		f.Pass(3 * time.Second)
		f.Leave()
		Expect(f.Vanes[1].Disk.Names()).To(BeEmpty())
		sound(f, judge.InForce)
	})
})

var _ = ginkgo.Describe("spans at both ends", func() {
	story("given an upstream that loses answers, when searches find another, then the caller's span shows both attempts and the learner heeds the far side alone", []uint64{1, 2}, func(f *Fleet) {
		f.Shape.Common.Tracing.Budget = 10000
		raised(f)
		bad := f.seatsOf("catalogue")[0]
		bad.SetFault("lose-after")
		f.Visit(60)
		f.Pass(5 * time.Second)
		f.Leave()
		f.Pass(3 * time.Second)
		spans := f.spans()
		sides := map[string]int{}
		retried := 0
		children := map[string][]*wire.Span{}
		for _, span := range spans {
			sides[span.Side]++
			if span.Side == tracing.AttemptSide {
				children[span.Parent] = append(children[span.Parent], span)
			}
		}
		for _, span := range spans {
			if span.Side != tracing.CallerSide {
				continue
			}
			tries := children[span.Id]
			Expect(span.SelfUs).To(BeNumerically("<=", span.DurationUs))
			states := map[string]int{}
			for _, try := range tries {
				states[try.Tags["state"]]++
				Expect(try.Trace).To(Equal(span.Trace))
			}
			if states["doubtful"] > 0 && states["answered"] == 1 {
				retried++
			}
		}
		Expect(retried).To(BeNumerically(">", 0), "a retry is seen from the caller's side")
		Expect(sides[tracing.CallerSide]).To(BeNumerically(">", 50))
		Expect(sides[tracing.UpstreamSide]).To(BeNumerically(">", 50))
		_, learning := f.holder()
		samples := uint64(0)
		for _, belief := range learning.Beliefs {
			samples += belief.Samples
		}
		Expect(samples).To(BeNumerically("<=", sides[tracing.UpstreamSide]), "near spans and attempts teach nothing")
		sound(f)
	})
})

var _ = ginkgo.Describe("close watching shared out", func() {
	story("given one group that floods, when another calls as usual, then all of the other's calls are watched at every node and the flood gets what is left", []uint64{1, 2, 3}, func(f *Fleet) {
		f.Habits = []standin.Behavior{{Prefix: "/catalogue", MinDelay: 2, FillerBytes: 50}}
		f.Plan = []standin.PlannedRequest{
			{Service: "catalogue", Route: "search", Group: "patrons", Method: "GET", Path: "/catalogue/search?q={n}", Weight: 1},
			{Service: "catalogue", Route: "report", Group: "librarians", Method: "GET", Path: "/catalogue/report/{n}", Weight: 9},
		}
		f.Shape.Common.Tracing.Budget, f.Shape.Common.Tracing.Epsilon = 60, 1
		raised(f)
		f.Visit(300)
		f.Pass(3 * time.Second)
		watched := func() map[string]map[string]uint64 {
			rows := map[string]map[string]uint64{}
			for _, m := range f.Vanes {
				rows[m.Name] = m.Node.Node.RecordedSpans()
			}
			return rows
		}
		before, calls := watched(), len(f.History.Calls())
		f.Pass(8 * time.Second)
		after := watched()
		f.Leave()
		asked := map[string]map[string]float64{}
		total := map[string]float64{}
		for _, call := range f.History.Calls()[calls:] {
			if asked[call.Via] == nil {
				asked[call.Via] = map[string]float64{}
			}
			asked[call.Via][call.Group]++
			total[call.Group]++
		}
		got := map[string]float64{}
		for node, groups := range after {
			for group, count := range groups {
				got[group] += float64(count - before[node][group])
			}
			Expect(float64(groups["patrons"]-before[node]["patrons"])).To(BeNumerically(">", 0.8*asked[node]["patrons"]), node)
		}
		patrons, librarians := got["patrons"]/total["patrons"]/2, got["librarians"]/total["librarians"]/2
		ginkgo.GinkgoWriter.Printf("MEASURE watching, seed %d: of the spans both ends could make, patrons %.2f, librarians %.2f; %.0f spans a node and second of 60\n",
			f.Seed, patrons, librarians, (got["patrons"]+got["librarians"])/8/4)
		Expect(patrons).To(BeNumerically(">", 0.95))
		Expect(librarians).To(BeNumerically("<", 0.6))
		Expect((got["patrons"] + got["librarians"]) / 8 / 4).To(And(BeNumerically(">", 30), BeNumerically("<", 62)))
		sound(f)
	})
})
