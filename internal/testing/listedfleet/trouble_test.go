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

var _ = ginkgo.Describe("processes frozen and resumed", func() {
	story("given a node frozen over a roll-out, when it thaws with late packets, then it serves only the newer and nothing runs twice", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(100)
		f.Pass(2 * time.Second)
		thaw := f.Freeze(f.Vanes[int(f.Seed)%4])
		f.Pass(300 * time.Millisecond)
		Expect(f.push("second", 1, nudge(2)).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Pass(3 * time.Second)
		thaw()
		f.Pass(5 * time.Second)
		f.Leave()
		Expect(f.AllOn(2)).To(BeTrue())
		sound(f, judge.RunOnce, judge.InForce, judge.NoRegression)
	})

	story("given the owner of the bundle frozen mid-change, when another finishes and it thaws, then its late writes change nothing", []uint64{1, 2, 3, 4}, func(f *Fleet) {
		raised(f)
		f.Visit(60)
		f.Pass(time.Second)
		done := make(chan *wire.Outcome, 1)
		go func() { done <- f.push("second", 1, nudge(2)) }()
		f.Pass(time.Duration(f.Seed) * 1500 * time.Microsecond)
		owner, _, known := f.Keels[1].Controller.ReplicatedStore.Owner("bundle")
		Expect(known).To(BeTrue())
		var thaw func()
		for _, m := range f.Keels {
			if m.Address == owner.Address {
				thaw = f.Freeze(m)
			}
		}
		f.Pass(4 * time.Second)
		thaw()
		<-done
		outcome := f.resolve("second")
		f.Pass(4 * time.Second)
		Expect(f.resolve("second").Verdict).To(Equal(outcome.Verdict))
		f.Leave()
		f.ReadBack()
		sound(f, judge.Durability, judge.SingleAck)
	})

	story("given the learner's holder frozen, when another takes the duty and it thaws, then beliefs only go forward and one learns", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(60)
		f.Pass(5 * time.Second)
		first, before := f.holder()
		thaw := f.Freeze(first)
		f.Pass(8 * time.Second)
		second, during := f.holder()
		Expect(second.Name).NotTo(Equal(first.Name))
		thaw()
		f.Pass(5 * time.Second)
		_, after := f.holder()
		Expect(during.Cycle).To(BeNumerically(">", before.Cycle))
		Expect(after.Cycle).To(BeNumerically(">", during.Cycle))
		Expect(after.Cycle-during.Cycle).To(BeNumerically("<=", 7), "two that learn at once would count cycles twice as fast")
		f.Leave()
		sound(f)
	})
})

var _ = ginkgo.Describe("links that lose, slow and repeat", func() {
	story("given every link slow and losing packets, when visitors call and bundles roll out, then the rules hold and most are served", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(80)
		for _, a := range f.Every() {
			for _, b := range f.Every() {
				if a != b {
					f.World.SetLink(a.IP, b.IP, simnet.Link{ExtraDelay: 10 * time.Millisecond, Loss: 0.02})
				}
			}
		}
		f.Pass(2 * time.Second)
		before := len(f.History.Calls())
		if f.push("second", 1, nudge(2)).Verdict == wire.Verdict_UNKNOWN {
			f.resolve("second")
		}
		f.Pass(5 * time.Second)
		calls := f.History.Calls()[before:]
		Expect(f.tally(calls)["answered"]).To(BeNumerically(">", len(calls)*3/4))
		f.World.HealAll()
		f.Pass(3 * time.Second)
		f.Leave()
		sound(f, judge.InForce)
	})

	story("given one attempt delivered twice, when the first has run or not, then the second neither runs nor says not run of the first", []uint64{1, 2}, func(f *Fleet) {
		f.Habits = []standin.Behavior{{Prefix: "/lending/hold", MinDelay: 300, FillerBytes: 50}}
		raised(f)
		far := f.Vanes[1]
		callee := wireconnect.NewFlowClient(httpserver.NewClient(f.Scope), "http://"+far.Address)
		ask := &wire.CarryRequest{
			Attempt: "twice", Incarnation: far.Node.Node.Incarnation(), Serial: 1, Service: "lending", Route: "hold", Seat: far.At(8001), Group: "patrons",
			Method: "POST", Target: "/lending/hold/7", NotAfterUs: (far.Clock.Mono() + 2*time.Second).Microseconds(), Trail: &wire.Trail{Trace: "t"},
			Headers: []*wire.Header{{Name: standin.IDHeader, Values: []string{"twice"}}},
		}
		said := make(chan *wire.CarryMishap, 2)
		for range 2 {
			go func() {
				stream, err := callee.Carry(context.Background(), connect.NewRequest(ask))
				Expect(err).NotTo(HaveOccurred())
				var fault *wire.CarryMishap
				for stream.Receive() {
					if told := stream.Msg().GetMishap(); told != nil {
						fault = told
					}
				}
				_ = stream.Close()
				said <- fault
			}()
			f.Pass(time.Duration(f.Seed-1) * 20 * time.Millisecond)
		}
		faults := []*wire.CarryMishap{<-said, <-said}
		runs := 0
		for _, run := range f.History.Runs() {
			if run.ID == "twice" {
				runs++
			}
		}
		promised := 0
		for _, fault := range faults {
			if fault != nil && !fault.Run {
				promised++
			}
		}
		Expect(runs).To(BeNumerically("<=", 1))
		if runs == 1 {
			Expect(promised).To(BeZero(), "what ran must not be told as not run by either copy")
		}
	})
})

var _ = ginkgo.Describe("answers crossed on the way", func() {
	holding := func(data []byte) bool { return bytes.Contains(data, []byte(`"filler"`)) }
	ask2 := func(f *Fleet, m *Machine) []judge.Call {
		calls := make([]judge.Call, 2)
		base.Parallel([]int{0, 1}, func(i int) { calls[i] = f.ask(m, hold, fmt.Sprint("crossed-", i)) })
		return calls
	}
	story("given two answers crossed between two of our nodes, when their seals are read, then neither reaches a visitor", []uint64{1, 2}, func(f *Fleet) {
		f.Habits = []standin.Behavior{{Prefix: "/lending/hold", MinDelay: 50, FillerBytes: 500}}
		raised(f)
		for _, u := range f.seatsOf("lending")[1:] {
			u.AnnounceLeaving()
		}
		f.Pass(time.Second)
		f.World.SwapWrites(f.Vanes[1].IP, f.Vanes[0].IP, func(data []byte) bool {
			return holding(data) || f.Seed%2 == 1 && bytes.Contains(data, []byte("Content-Digest"))
		})
		for _, call := range ask2(f, f.Vanes[0]) {
			Expect(call.Broken).To(BeEmpty())
			Expect(call.Outcome).To(Equal("unknown"))
		}
		sound(f, judge.RunOnce)
	})

	story("given two answers crossed by their upstreams or before the visitor, when checked, then the checker sees whose they are", []uint64{1}, func(f *Fleet) {
		f.Habits = []standin.Behavior{{Prefix: "/lending/hold", MinDelay: 50, FillerBytes: 500}}
		raised(f)
		f.World.SwapWrites(f.Vanes[0].IP, f.Vanes[0].IP, holding)
		ask2(f, f.Vanes[0])
		Expect(judge.Violations(judge.Check(f.History, f.Bounds()))).To(ContainElement(And(HavePrefix(judge.WholeAnswers), ContainSubstring("someone else's"))))
	})
})

var _ = ginkgo.Describe("crowds and slow upstreams at once", func() {
	story("given upstreams ten times slower and five times the visitors, when room runs out, then who can't be served hears it at once with when to come back", []uint64{1, 2}, func(f *Fleet) {
		f.Habits = []standin.Behavior{{Prefix: "/", MinDelay: 200, Jitter: 100, FillerBytes: 100}}
		raised(f)
		for _, u := range f.Seats {
			u.SetCapacity(4)
		}
		f.Pass(time.Second)
		f.Visit(300)
		f.Pass(10 * time.Second)
		f.Leave()
		rejected, doubtful := 0, 0
		for _, call := range f.History.Calls() {
			if call.Kind == string(base.Overloaded) {
				rejected++
				Expect(call.RetryAfter).NotTo(BeEmpty())
				if call.Outcome != "not-run" {
					doubtful++
				}
			}
		}
		Expect(rejected).To(BeNumerically(">", 50))
		Expect(doubtful).To(BeNumerically("<", rejected/10))
		ginkgo.GinkgoWriter.Printf("MEASURE crowd, seed %d: %v, %d crowded, %d of them in doubt\n", f.Seed, f.tally(f.History.Calls()), rejected, doubtful)
		Expect(f.tally(f.History.Calls())["answered"]).To(BeNumerically(">", 300))
		sound(f, judge.NotRun)
	})
})

var _ = ginkgo.Describe("services that go and return", func() {
	story("given a service removed and brought back while visitors ask for it, when it is out, then no request reaches it", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(80)
		f.Pass(time.Second)
		out := &wire.Change{
			DropServices: []string{"lending"},
			Shares:       []*wire.Share{{Group: "patrons", Services: []string{"catalogue"}, Carried: 3, Watched: 2}},
		}
		Expect(f.push("out", 1, out).Verdict).To(Equal(wire.Verdict_TAKEN))
		acked := f.Scope.Clock.Mono()
		f.Pass(4 * time.Second)
		for _, run := range f.History.Runs() {
			if run.Service == "lending" {
				Expect(run.At).To(BeNumerically("<=", acked+500*time.Millisecond))
			}
		}
		call := f.ask(f.Vanes[0], hold, "while out")
		Expect(call.Status).To(Equal(404))
		in := &wire.Change{Services: f.Shape.Services[1:], Shares: f.Shape.Common.Shares}
		Expect(f.push("in", 2, in).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Pass(2 * time.Second)
		Expect(f.ask(f.Vanes[0], hold, "back").Status).To(Equal(200))
		f.Leave()
		sound(f, judge.AllowedServices, judge.InForce, judge.NoRegression)
	})

	story("given an application machine dropped by a bundle, when it still runs, then what it sends is under no older serial and it is let go", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.Visit(80)
		f.Pass(time.Second)
		Expect(f.push("drop", 1, &wire.Change{DropMachines: []string{f.Vanes[3].Name}}).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Pass(4 * time.Second)
		Expect(f.push("again", 2, nudge(3)).Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Pass(3 * time.Second)
		f.Leave()
		sound(f, judge.InForce, judge.NoRegression)
	})
})

var _ = ginkgo.Describe("a keel stopped politely", func() {
	story("given a hand-in under way, when the keel it came to stops, then the operator gets one final answer and none is torn", []uint64{1, 2, 3, 4}, func(f *Fleet) {
		raised(f)
		f.Visit(60)
		f.Pass(time.Second)
		lone := *f.Clerk
		lone.Controllers = f.Clerk.Controllers[:1]
		type said struct {
			outcome *wire.Outcome
			err     error
		}
		done := make(chan said, 1)
		go func() {
			outcome, err := lone.Apply(f.Scope, "second", &wire.DraftRequest{Base: 1, Change: nudge(2)}, f.Key)
			done <- said{outcome, err}
		}()
		f.Pass(time.Duration(f.Seed) * 4 * time.Millisecond)
		f.Stop(f.Keels[0])
		got := <-done
		if got.err == nil {
			f.History.RecordOutcome(got.outcome)
		} else {
			Expect(got.err.Error()).NotTo(ContainSubstring("EOF"))
		}
		Expect(f.Raise(f.Keels[0])).To(Succeed())
		outcome := f.resolve("second")
		if got.err == nil && got.outcome.Verdict != wire.Verdict_UNKNOWN {
			Expect(outcome.Verdict).To(Equal(got.outcome.Verdict))
		}
		f.Pass(2 * time.Second)
		f.Leave()
		sound(f, judge.PlannedStops)
	})
})

var _ = ginkgo.Describe("the choice to record", func() {
	ginkgo.It("given learner, store, sink and disks stalled, when the same calls are made with recording on and nearly off, then each takes the same time", func() {
		base.Parallel([]uint64{1, 2}, func(seed uint64) {
			defer ginkgo.GinkgoRecover()
			took := map[float64]map[string]time.Duration{}
			recorded := map[float64]uint64{}
			for _, sample := range []float64{1, 0.0001} {
				took[sample] = map[string]time.Duration{}
				b := shape(4)
				b.Common.Tracing.Sample, b.Common.Tracing.Budget = sample, 100000
				bubble(seed, b, func(f *Fleet) {
					f.World.DisableJitter()
					f.Tune = func(p *wire.VaneParams) { p.Queue = 64 }
					f.Habits = []standin.Behavior{{Prefix: "/", MinDelay: 5, FillerBytes: 100}}
					f.Plan = plan[:1]
					raised(f)
					for _, u := range f.seatsOf("catalogue")[1:] {
						u.AnnounceLeaving()
					}
					f.Pass(2 * time.Second)
					for _, m := range f.Every() {
						defer m.Disk.Stall()()
					}
					f.Visit(100)
					f.Pass(5 * time.Second)
					f.Leave()
					for _, call := range f.History.Calls() {
						Expect(call.Status).To(Equal(200))
						if call.Via == f.Vanes[0].Name {
							took[sample][call.ID] = call.Ended - call.Started
						}
					}
					for _, m := range f.Vanes {
						for _, count := range m.Node.Node.RecordedSpans() {
							recorded[sample] += count
						}
					}
				})
			}
			Expect(recorded[1]).To(BeNumerically(">", 100*(recorded[0.0001]+1)))
			Expect(len(took[1])).To(BeNumerically(">", 100))
			same := 0
			for id, on := range took[1] {
				off, both := took[0.0001][id]
				if !both {
					continue
				}
				same++
				Expect(on).To(BeNumerically("~", off, time.Microsecond), strings.TrimSpace(id))
			}
			Expect(same).To(BeNumerically(">", 100))
		})
	})
})

var _ = ginkgo.Describe("one keel of three frozen", func() {
	story("given visitors calling, when any one keel freezes for long, then nobody is bounced and a bundle still rolls out", []uint64{1, 2, 3}, func(f *Fleet) {
		raised(f)
		f.Visit(100)
		f.Pass(time.Second)
		thaw := f.Freeze(f.Keels[int(f.Seed)%3])
		f.Pass(4 * time.Second)
		outcome := f.push("meanwhile", 1, nudge(2))
		if outcome.Verdict == wire.Verdict_UNKNOWN {
			outcome = f.resolve("meanwhile")
		}
		Expect(outcome.Verdict).To(Equal(wire.Verdict_TAKEN))
		f.Pass(2 * time.Second)
		thaw()
		f.Pass(3 * time.Second)
		f.Leave()
		Expect(f.tally(f.History.Calls())).To(HaveLen(1), "two keels are a majority")
		sound(f, judge.InForce)
	})
})

var _ = ginkgo.Describe("a node that loses power and returns at once", func() {
	story("given searches in flight at it, when they break off, then each is its visitor's to judge and none is told not run of what ran", []uint64{1, 2, 3}, func(f *Fleet) {
		f.Habits = []standin.Behavior{{Prefix: "/", MinDelay: 40, Jitter: 40, FillerBytes: 100}}
		raised(f)
		f.Visit(300)
		for range 6 {
			f.Pass(700 * time.Millisecond)
			f.PowerLoss(f.Vanes[0])
			Expect(f.Raise(f.Vanes[0])).To(Succeed())
		}
		f.Pass(3 * time.Second)
		f.Leave()
		sound(f, judge.WholeAnswers, judge.RunOnce)
	})
})
