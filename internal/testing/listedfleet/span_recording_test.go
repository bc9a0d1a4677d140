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

// allSpans returns the spans on the running controllers, by ID.
func (f *Fleet) allSpans() map[string]*wire.Span {
	spans := map[string]*wire.Span{}
	for _, m := range f.Controllers {
		if m.Controller != nil {
			recent, _ := m.Controller.Traces.Recent(0, 100000)
			for _, span := range recent {
				spans[span.Id] = span
			}
		}
	}
	return spans
}

var _ = ginkgo.Describe("stored recording probabilities", func() {
	scenario("given all controllers down, when a node restarts, then it continues with the recording probabilities on its disk", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		f.Sleep(6 * time.Second)
		m := f.Nodes[1]
		before := m.Node.Node.Sampler().Serial()
		Expect(before).To(BeNumerically(">", 2))
		f.Sleep(500 * time.Millisecond)
		for _, controller := range f.Controllers {
			f.PowerLoss(controller)
		}
		f.PowerLoss(m)
		Expect(f.StartProcess(m)).To(Succeed())
		Expect(f.WaitUntil(20*time.Millisecond, func() bool { return m.Node.Node.Sampler().Serial() >= before-1 })).To(BeTrue())
		Expect(m.Node.Node.Sampler().Probability("catalogue/search")).To(BeNumerically("<", 1))
		Expect(f.WaitUntil(5*time.Second, m.Node.Node.Ready)).To(BeTrue(), "peers confirm the bundle on its disk")
		f.StopLoad()
		expectNoViolations(f)
	})

	scenario("given a corrupt probabilities file and all controllers down, when a node restarts, then it rejects the file and gets its peers' probabilities", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		f.Sleep(6 * time.Second)
		m := f.Nodes[2]
		for _, controller := range f.Controllers {
			f.Kill(controller)
		}
		f.PowerLoss(m)
		Expect(m.Disk.FlipBits("odds")).NotTo(BeEmpty())
		Expect(f.StartProcess(m)).To(Succeed())
		Expect(f.WaitUntil(5*time.Second, m.Node.Node.Ready)).To(BeTrue())
		Expect(m.Journal.Counts()["odds-bounced"]).To(BeNumerically(">", 0))
		Expect(m.Node.Node.Sampler().Serial()).To(BeNumerically(">", 2))
		f.StopLoad()
		expectNoViolations(f)
	})

	scenario("given nodes without a data folder, when one restarts and a bundle rolls out, then every node becomes ready under the new bundle", []uint64{1, 2}, func(f *Fleet) {
		f.Diskless = true
		startAll(f)
		f.StartLoad(60)
		f.Sleep(2 * time.Second)
		f.Kill(f.Nodes[0])
		Expect(f.StartProcess(f.Nodes[0])).To(Succeed())
		Expect(f.push("second", 1, librariansShareChange(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		Expect(f.WaitUntil(5*time.Second, func() bool { return f.Ready(f.Nodes) && f.AllNodesHaveSerial(2) })).To(BeTrue())
		f.Sleep(3 * time.Second)
		f.StopLoad()
		Expect(f.Nodes[1].Disk.Names()).To(BeEmpty())
		expectNoViolations(f, judge.InForce)
	})
})

var _ = ginkgo.Describe("spans of callers and upstreams", func() {
	scenario("given an upstream that loses answers, when requests are retried at another, then the caller's span has both attempts and the learner uses only spans from the upstream side", []uint64{1, 2}, func(f *Fleet) {
		f.InitialBundle.Common.Tracing.Budget = 10000
		startAll(f)
		faulty := f.upstreamsOf("catalogue")[0]
		faulty.SetFault("lose-after")
		f.StartLoad(60)
		f.Sleep(5 * time.Second)
		f.StopLoad()
		f.Sleep(3 * time.Second)
		spans := f.allSpans()
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
			attempts := children[span.Id]
			Expect(span.SelfUs).To(BeNumerically("<=", span.DurationUs))
			states := map[string]int{}
			for _, attempt := range attempts {
				states[attempt.Tags["state"]]++
				Expect(attempt.Trace).To(Equal(span.Trace))
			}
			if states["doubtful"] > 0 && states["answered"] == 1 {
				retried++
			}
		}
		Expect(retried).To(BeNumerically(">", 0), "a retry is visible on the caller's side")
		Expect(sides[tracing.CallerSide]).To(BeNumerically(">", 50))
		Expect(sides[tracing.UpstreamSide]).To(BeNumerically(">", 50))
		_, learning := f.learnerMachine()
		samples := uint64(0)
		for _, belief := range learning.Beliefs {
			samples += belief.Samples
		}
		Expect(samples).To(BeNumerically("<=", sides[tracing.UpstreamSide]), "spans of callers and attempts aren't samples")
		expectNoViolations(f)
	})
})

var _ = ginkgo.Describe("fair shares of recorded spans", func() {
	scenario("given one group that floods the fleet, when another makes its usual requests, then all of the other's calls are recorded at every node and the first gets the rest of the budget", []uint64{1, 2, 3}, func(f *Fleet) {
		f.Behaviors = []standin.Behavior{{Prefix: "/catalogue", MinDelay: 2, FillerBytes: 50}}
		f.Plan = []standin.PlannedRequest{
			{Service: "catalogue", Route: "search", Group: "patrons", Method: "GET", Path: "/catalogue/search?q={n}", Weight: 1},
			{Service: "catalogue", Route: "report", Group: "librarians", Method: "GET", Path: "/catalogue/report/{n}", Weight: 9},
		}
		f.InitialBundle.Common.Tracing.Budget, f.InitialBundle.Common.Tracing.Epsilon = 60, 1
		startAll(f)
		f.StartLoad(300)
		f.Sleep(3 * time.Second)
		recordedSpans := func() map[string]map[string]uint64 {
			spansOf := map[string]map[string]uint64{}
			for _, m := range f.Nodes {
				spansOf[m.Name] = m.Node.Node.RecordedSpans()
			}
			return spansOf
		}
		before, calls := recordedSpans(), len(f.History.Calls())
		f.Sleep(8 * time.Second)
		after := recordedSpans()
		f.StopLoad()
		requested := map[string]map[string]float64{}
		total := map[string]float64{}
		for _, call := range f.History.Calls()[calls:] {
			if requested[call.Via] == nil {
				requested[call.Via] = map[string]float64{}
			}
			requested[call.Via][call.Group]++
			total[call.Group]++
		}
		recorded := map[string]float64{}
		for node, groups := range after {
			for group, count := range groups {
				recorded[group] += float64(count - before[node][group])
			}
			Expect(float64(groups["patrons"]-before[node]["patrons"])).To(BeNumerically(">", 0.8*requested[node]["patrons"]), node)
		}
		patrons, librarians := recorded["patrons"]/total["patrons"]/2, recorded["librarians"]/total["librarians"]/2
		ginkgo.GinkgoWriter.Printf("MEASURE recording, seed %d: fraction recorded of both sides' spans: patrons %.2f, librarians %.2f; %.0f spans per node and second of 60\n",
			f.Seed, patrons, librarians, (recorded["patrons"]+recorded["librarians"])/8/4)
		Expect(patrons).To(BeNumerically(">", 0.95))
		Expect(librarians).To(BeNumerically("<", 0.6))
		Expect((recorded["patrons"] + recorded["librarians"]) / 8 / 4).To(And(BeNumerically(">", 30), BeNumerically("<", 62)))
		expectNoViolations(f)
	})
})
