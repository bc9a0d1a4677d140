package listedfleet

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/testing/judge"
	"curlewreach/internal/testing/simnet"
	"curlewreach/internal/testing/standin"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

var _ = ginkgo.Describe("frozen processes", func() {
	scenario("given a node frozen during a rollout, when it resumes and receives late packets, then it serves only under the newer bundle and no request runs twice", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(100)
		f.Sleep(2 * time.Second)
		thaw := f.Freeze(f.Nodes[int(f.Seed)%4])
		f.Sleep(300 * time.Millisecond)
		Expect(f.push("second", 1, librariansShareChange(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Sleep(3 * time.Second)
		thaw()
		f.Sleep(5 * time.Second)
		f.StopLoad()
		Expect(f.AllNodesHaveSerial(2)).To(BeTrue())
		expectNoViolations(f, judge.RunOnce, judge.InForce, judge.NoRegression)
	})

	scenario("given the owner of the bundle frozen during a change, when another controller finishes the change and the owner resumes, then its late writes have no effect", []uint64{1, 2, 3, 4}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		f.Sleep(time.Second)
		done := make(chan *wire.Outcome, 1)
		go func() { done <- f.push("second", 1, librariansShareChange(2)) }()
		f.Sleep(time.Duration(f.Seed) * 1500 * time.Microsecond)
		owner, _, known := f.Controllers[1].Controller.ReplicatedStore.Owner("bundle")
		Expect(known).To(BeTrue())
		var thaw func()
		for _, m := range f.Controllers {
			if m.Address == owner.Address {
				thaw = f.Freeze(m)
			}
		}
		f.Sleep(4 * time.Second)
		thaw()
		<-done
		outcome := f.awaitOutcome("second")
		f.Sleep(4 * time.Second)
		Expect(f.awaitOutcome("second").Verdict).To(Equal(outcome.Verdict))
		f.StopLoad()
		f.RecordReadbacks()
		expectNoViolations(f, judge.Durability, judge.SingleAck)
	})

	scenario("given the controller that runs the learner frozen, when another takes over and the first resumes, then the cycle number only increases and only one learns", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		f.Sleep(5 * time.Second)
		first, before := f.learnerMachine()
		thaw := f.Freeze(first)
		f.Sleep(8 * time.Second)
		second, during := f.learnerMachine()
		Expect(second.Name).NotTo(Equal(first.Name))
		thaw()
		f.Sleep(5 * time.Second)
		_, after := f.learnerMachine()
		Expect(during.Cycle).To(BeNumerically(">", before.Cycle))
		Expect(after.Cycle).To(BeNumerically(">", during.Cycle))
		Expect(after.Cycle-during.Cycle).To(BeNumerically("<=", 7), "two concurrent learners would count cycles twice as fast")
		f.StopLoad()
		expectNoViolations(f)
	})
})

var _ = ginkgo.Describe("slow, lossy and duplicating links", func() {
	scenario("given every link slow and lossy, when clients make requests and a bundle rolls out, then the rules hold and most requests succeed", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(80)
		for _, a := range f.Machines() {
			for _, b := range f.Machines() {
				if a != b {
					f.World.SetLink(a.IP, b.IP, simnet.Link{ExtraDelay: 10 * time.Millisecond, Loss: 0.02})
				}
			}
		}
		f.Sleep(2 * time.Second)
		before := len(f.History.Calls())
		if f.push("second", 1, librariansShareChange(2)).Verdict == wire.Verdict_UNKNOWN {
			f.awaitOutcome("second")
		}
		f.Sleep(5 * time.Second)
		calls := f.History.Calls()[before:]
		Expect(f.outcomeCounts(calls)["answered"]).To(BeNumerically(">", len(calls)*3/4))
		f.World.HealAll()
		f.Sleep(3 * time.Second)
		f.StopLoad()
		expectNoViolations(f, judge.InForce)
	})

	scenario("given one attempt delivered twice, when the first copy has run or not, then the second doesn't run and doesn't report the first as not run", []uint64{1, 2}, func(f *Fleet) {
		f.Behaviors = []standin.Behavior{{Prefix: "/lending/hold", MinDelay: 300, FillerBytes: 50}}
		startAll(f)
		callee := f.Nodes[1]
		flowClient := wireconnect.NewFlowClient(httpserver.NewClient(f.Scope), "http://"+callee.Address)
		request := &wire.CarryRequest{
			Attempt: "twice", Incarnation: callee.Node.Node.Incarnation(), Serial: 1, Service: "lending", Route: "hold", Seat: callee.PortAddress(8001), Group: "patrons",
			Method: "POST", Target: "/lending/hold/7", NotAfterUs: (callee.Clock.Mono() + 2*time.Second).Microseconds(), Trail: &wire.Trail{Trace: "t"},
			Headers: []*wire.Header{{Name: standin.IDHeader, Values: []string{"twice"}}},
		}
		faultChan := make(chan *wire.CarryMishap, 2)
		for range 2 {
			go func() {
				stream, err := flowClient.Carry(context.Background(), connect.NewRequest(request))
				Expect(err).NotTo(HaveOccurred())
				var fault *wire.CarryMishap
				for stream.Receive() {
					if received := stream.Msg().GetMishap(); received != nil {
						fault = received
					}
				}
				_ = stream.Close()
				faultChan <- fault
			}()
			f.Sleep(time.Duration(f.Seed-1) * 20 * time.Millisecond)
		}
		faults := []*wire.CarryMishap{<-faultChan, <-faultChan}
		runs := 0
		for _, run := range f.History.Runs() {
			if run.ID == "twice" {
				runs++
			}
		}
		notRun := 0
		for _, fault := range faults {
			if fault != nil && !fault.Run {
				notRun++
			}
		}
		Expect(runs).To(BeNumerically("<=", 1))
		if runs == 1 {
			Expect(notRun).To(BeZero(), "neither copy may report a request that ran as not run")
		}
	})
})

var _ = ginkgo.Describe("swapped answers", func() {
	hasFiller := func(data []byte) bool { return bytes.Contains(data, []byte(`"filler"`)) }
	sendTwo := func(f *Fleet, m *Machine) []judge.Call {
		calls := make([]judge.Call, 2)
		base.Parallel([]int{0, 1}, func(i int) { calls[i] = f.send(m, holdRequest, fmt.Sprint("crossed-", i)) })
		return calls
	}
	scenario("given two answers swapped between two nodes, when the caller's node checks them, then neither reaches a client", []uint64{1, 2}, func(f *Fleet) {
		f.Behaviors = []standin.Behavior{{Prefix: "/lending/hold", MinDelay: 50, FillerBytes: 500}}
		startAll(f)
		for _, u := range f.upstreamsOf("lending")[1:] {
			u.AnnounceLeaving()
		}
		f.Sleep(time.Second)
		f.World.SwapWrites(f.Nodes[1].IP, f.Nodes[0].IP, func(data []byte) bool {
			return hasFiller(data) || f.Seed%2 == 1 && bytes.Contains(data, []byte("Content-Digest"))
		})
		for _, call := range sendTwo(f, f.Nodes[0]) {
			Expect(call.Broken).To(BeEmpty())
			Expect(call.Outcome).To(Equal("unknown"))
		}
		expectNoViolations(f, judge.RunOnce)
	})

	scenario("given two answers swapped on the machine of an upstream or a client, when the history is checked, then the judge detects the swap", []uint64{1}, func(f *Fleet) {
		f.Behaviors = []standin.Behavior{{Prefix: "/lending/hold", MinDelay: 50, FillerBytes: 500}}
		startAll(f)
		f.World.SwapWrites(f.Nodes[0].IP, f.Nodes[0].IP, hasFiller)
		sendTwo(f, f.Nodes[0])
		Expect(judge.Violations(judge.Check(f.History, f.Bounds()))).To(ContainElement(And(HavePrefix(judge.WholeAnswers), ContainSubstring("someone else's"))))
	})
})

var _ = ginkgo.Describe("overload of slow upstreams", func() {
	scenario("given upstreams ten times slower and five times the load, when capacity is exhausted, then excess requests are rejected as overloaded with a Retry-After", []uint64{1, 2}, func(f *Fleet) {
		f.Behaviors = []standin.Behavior{{Prefix: "/", MinDelay: 200, Jitter: 100, FillerBytes: 100}}
		startAll(f)
		for _, u := range f.Upstreams {
			u.SetCapacity(4)
		}
		f.Sleep(time.Second)
		f.StartLoad(300)
		f.Sleep(10 * time.Second)
		f.StopLoad()
		rejected, indeterminate := 0, 0
		for _, call := range f.History.Calls() {
			if call.Kind == string(base.Overloaded) {
				rejected++
				Expect(call.RetryAfter).NotTo(BeEmpty())
				if call.Outcome != "not-run" {
					indeterminate++
				}
			}
		}
		Expect(rejected).To(BeNumerically(">", 50))
		Expect(indeterminate).To(BeNumerically("<", rejected/10))
		ginkgo.GinkgoWriter.Printf("MEASURE overload, seed %d: %v, %d rejected as overloaded, %d of them not known as not run\n", f.Seed, f.outcomeCounts(f.History.Calls()), rejected, indeterminate)
		Expect(f.outcomeCounts(f.History.Calls())["answered"]).To(BeNumerically(">", 300))
		expectNoViolations(f, judge.NotRun)
	})
})

var _ = ginkgo.Describe("removed services and nodes", func() {
	scenario("given a service that is removed and added again under load, when it is removed, then no request reaches it", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(80)
		f.Sleep(time.Second)
		removal := &wire.Change{
			DropServices: []string{"lending"},
			Shares:       []*wire.Share{{Group: "patrons", Services: []string{"catalogue"}, Carried: 3, Watched: 2}},
		}
		Expect(f.push("out", 1, removal).Verdict).To(Equal(wire.Verdict_TAKEN))
		acked := f.Scope.Clock.Mono()
		f.Sleep(4 * time.Second)
		for _, run := range f.History.Runs() {
			if run.Service == "lending" {
				Expect(run.At).To(BeNumerically("<=", acked+500*time.Millisecond))
			}
		}
		call := f.send(f.Nodes[0], holdRequest, "while out")
		Expect(call.Status).To(Equal(404))
		restoration := &wire.Change{Services: f.InitialBundle.Services[1:], Shares: f.InitialBundle.Common.Shares}
		Expect(f.push("in", 2, restoration).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Sleep(2 * time.Second)
		Expect(f.send(f.Nodes[0], holdRequest, "back").Status).To(Equal(200))
		f.StopLoad()
		expectNoViolations(f, judge.AllowedServices, judge.InForce, judge.NoRegression)
	})

	scenario("given a node that a bundle removes, when its process still runs, then it sends nothing under an older serial and later bundles roll out", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(80)
		f.Sleep(time.Second)
		Expect(f.push("drop", 1, &wire.Change{DropMachines: []string{f.Nodes[3].Name}}).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Sleep(4 * time.Second)
		Expect(f.push("again", 2, librariansShareChange(3)).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Sleep(3 * time.Second)
		f.StopLoad()
		expectNoViolations(f, judge.InForce, judge.NoRegression)
	})
})

var _ = ginkgo.Describe("a controller that stops gracefully", func() {
	scenario("given a submission in progress, when the controller that received it stops, then the operator gets one final outcome and no truncated response", []uint64{1, 2, 3, 4}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(60)
		f.Sleep(time.Second)
		firstOnly := *f.OperatorClient
		firstOnly.Controllers = f.OperatorClient.Controllers[:1]
		type applyResult struct {
			outcome *wire.Outcome
			err     error
		}
		done := make(chan applyResult, 1)
		go func() {
			outcome, err := firstOnly.Apply(f.Scope, "second", &wire.DraftRequest{Base: 1, Change: librariansShareChange(2)}, f.OperatorKey)
			done <- applyResult{outcome, err}
		}()
		f.Sleep(time.Duration(f.Seed) * 4 * time.Millisecond)
		f.Stop(f.Controllers[0])
		result := <-done
		if result.err == nil {
			f.History.RecordOutcome(result.outcome)
		} else {
			Expect(result.err.Error()).NotTo(ContainSubstring("EOF"))
		}
		Expect(f.StartProcess(f.Controllers[0])).To(Succeed())
		outcome := f.awaitOutcome("second")
		if result.err == nil && result.outcome.Verdict != wire.Verdict_UNKNOWN {
			Expect(outcome.Verdict).To(Equal(result.outcome.Verdict))
		}
		f.Sleep(2 * time.Second)
		f.StopLoad()
		expectNoViolations(f, judge.PlannedStops)
	})
})

var _ = ginkgo.Describe("recording of spans", func() {
	ginkgo.It("given all disks stalled, and so the learner and the trace store, when the same calls are made with recording on and almost off, then each takes the same time", func() {
		base.Parallel([]uint64{1, 2}, func(seed uint64) {
			defer ginkgo.GinkgoRecover()
			latencies := map[float64]map[string]time.Duration{}
			recorded := map[float64]uint64{}
			for _, sample := range []float64{1, 0.0001} {
				latencies[sample] = map[string]time.Duration{}
				b := libraryBundle(4)
				b.Common.Tracing.Sample, b.Common.Tracing.Budget = sample, 100000
				runFleet(seed, b, func(f *Fleet) {
					f.World.DisableJitter()
					f.AdjustNodeParams = func(p *wire.VaneParams) { p.Queue = 64 }
					f.Behaviors = []standin.Behavior{{Prefix: "/", MinDelay: 5, FillerBytes: 100}}
					f.Plan = plan[:1]
					startAll(f)
					for _, u := range f.upstreamsOf("catalogue")[1:] {
						u.AnnounceLeaving()
					}
					f.Sleep(2 * time.Second)
					for _, m := range f.Machines() {
						defer m.Disk.Stall()()
					}
					f.StartLoad(100)
					f.Sleep(5 * time.Second)
					f.StopLoad()
					for _, call := range f.History.Calls() {
						Expect(call.Status).To(Equal(200))
						if call.Via == f.Nodes[0].Name {
							latencies[sample][call.ID] = call.Ended - call.Started
						}
					}
					for _, m := range f.Nodes {
						for _, count := range m.Node.Node.RecordedSpans() {
							recorded[sample] += count
						}
					}
				})
			}
			Expect(recorded[1]).To(BeNumerically(">", 100*(recorded[0.0001]+1)))
			Expect(len(latencies[1])).To(BeNumerically(">", 100))
			compared := 0
			for id, on := range latencies[1] {
				off, inBoth := latencies[0.0001][id]
				if !inBoth {
					continue
				}
				compared++
				Expect(on).To(BeNumerically("~", off, time.Microsecond), strings.TrimSpace(id))
			}
			Expect(compared).To(BeNumerically(">", 100))
		})
	})
})

var _ = ginkgo.Describe("one of three controllers frozen", func() {
	scenario("given load, when any one controller is frozen for several seconds, then no request is rejected and a bundle still rolls out", []uint64{1, 2, 3}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(100)
		f.Sleep(time.Second)
		thaw := f.Freeze(f.Controllers[int(f.Seed)%3])
		f.Sleep(4 * time.Second)
		outcome := f.push("meanwhile", 1, librariansShareChange(2))
		if outcome.Verdict == wire.Verdict_UNKNOWN {
			outcome = f.awaitOutcome("meanwhile")
		}
		Expect(outcome.Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Sleep(2 * time.Second)
		thaw()
		f.Sleep(3 * time.Second)
		f.StopLoad()
		Expect(f.outcomeCounts(f.History.Calls())).To(HaveLen(1), "two of three controllers are a majority")
		expectNoViolations(f, judge.InForce)
	})
})

var _ = ginkgo.Describe("a node that loses power and restarts at once", func() {
	scenario("given requests in flight at it, when they break off, then no truncated answer looks complete and none that ran is reported as not run", []uint64{1, 2, 3}, func(f *Fleet) {
		f.Behaviors = []standin.Behavior{{Prefix: "/", MinDelay: 40, Jitter: 40, FillerBytes: 100}}
		startAll(f)
		f.StartLoad(300)
		for range 6 {
			f.Sleep(700 * time.Millisecond)
			f.PowerLoss(f.Nodes[0])
			Expect(f.StartProcess(f.Nodes[0])).To(Succeed())
		}
		f.Sleep(3 * time.Second)
		f.StopLoad()
		expectNoViolations(f, judge.WholeAnswers, judge.RunOnce)
	})
})
