package openfleet

import (
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
)

// expectSuccessRate expects a success rate of at least minRate from the jobs that JobStats selects.
func (f *Fleet) expectSuccessRate(minRate float64, from, until time.Duration, match func(*Job) bool) {
	stats := f.JobStats(from, until, match)
	ExpectWithOffset(1, stats.SuccessRate()).To(BeNumerically(">=", minRate), "%s: %s", f.Description, stats)
}

// outage is a time in which a node was down, so that clients of this node could not be served.
type outage struct {
	node     string
	from, to time.Duration
}

// overlaps reports whether the job's node was down during at least part of the job.
func (j *Job) overlaps(o outage) bool {
	return j.Node == o.node && j.StartedAt < o.to && max(j.EndedAt, j.StartedAt) >= o.from
}

// retryableRoutes returns, by name of a route of the initial configuration, whether its requests may run more than
// once.
func (f *Fleet) retryableRoutes() map[string]bool {
	retryable := map[string]bool{}
	for _, route := range f.InitialConfiguration.Routes {
		retryable[route.Name] = route.Repeat != wire.Repeat_ONCE
	}
	return retryable
}

// slowDownUpstreams sets the duration of all executions to base plus a random part of swing, and extends client
// timeouts and the routes' limits to match.
func (f *Fleet) slowDownUpstreams(base, swing time.Duration) {
	for i := range f.Behaviors {
		f.Behaviors[i].Base, f.Behaviors[i].Swing = base, swing
	}
	f.Workload = slices.Clone(f.Workload)
	for i := range f.Workload {
		f.Workload[i].Timeout = 6 * time.Second
	}
	f.InitialConfiguration = initialConfiguration()
	for _, route := range f.InitialConfiguration.Routes {
		route.CutoffMs, route.AimMs = 6000, 4000
	}
}

var _ = ginkgo.Describe("node faults", func() {
	spec("given load, when nodes are killed and restarted, then no request runs twice, none rejected as not run has run and most jobs succeed", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		for i := range 3 {
			m := f.Nodes[(int(f.Seed)+3*i)%len(f.Nodes)]
			f.Kill(m)
			f.Sleep(700 * time.Millisecond)
			Expect(f.StartProcess(m)).To(Succeed())
			f.Sleep(1500 * time.Millisecond)
		}
		f.StopLoad()
		f.expectSuccessRate(0.94, 0, 0, nil)
		checkHistory(f, RuleAtMostOnce)
	})

	spec("given load, when a machine loses power, then no request runs twice and the other nodes continue to serve", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		m := f.Nodes[int(f.Seed)%len(f.Nodes)]
		m.inRotation.Store(false)
		f.PowerLoss(m)
		failedAt := f.Scope.Clock.Mono()
		f.Sleep(5 * time.Second)
		f.RestorePower(m)
		Expect(f.StartProcess(m)).To(Succeed())
		f.StartUpstream(m)
		f.Sleep(3 * time.Second)
		f.StopLoad()
		f.expectSuccessRate(0.97, 0, 0, nil)
		f.expectSuccessRate(0.99, failedAt+2500*time.Millisecond, 0, nil)
		checkHistory(f, RuleAtMostOnce)
	})

	specWith("given slow requests in flight, when nodes are gracefully stopped and restarted one by one, then no response is lost", 3, map[string]int{"books": 2, "loans": 2, "gates": 2}, []uint64{1, 2}, func(f *Fleet) {
		f.slowDownUpstreams(500*time.Millisecond, 300*time.Millisecond)
		f.CapacityOf = func(string) (int, int) { return 30, 30 }
		startAll(f)
		f.StartLoad(25)
		f.Sleep(time.Second)
		for _, m := range f.Nodes {
			f.Stop(m)
			f.Sleep(200 * time.Millisecond)
			Expect(f.StartProcess(m)).To(Succeed())
			Expect(f.WaitUntil(5*time.Second, m.Node.Ready)).To(BeTrue())
			f.Sleep(time.Second)
		}
		f.StopLoad()
		f.expectSuccessRate(0.995, 0, 0, nil)
		checkHistory(f, RuleAtMostOnce, RuleGracefulStop)
	})

	spec("given slow requests in flight, when nodes are killed and restarted, then no request runs twice and every retryable job succeeds", []uint64{1, 2, 3, 4, 5, 6}, func(f *Fleet) {
		f.slowDownUpstreams(300*time.Millisecond, 300*time.Millisecond)
		f.CapacityOf = func(string) (int, int) { return 30, 30 }
		startAll(f)
		f.StartLoad(60)
		f.Sleep(time.Second)
		var outages []outage
		for i := range 4 {
			m := f.Nodes[(int(f.Seed)+2*i)%len(f.Nodes)]
			killed := f.Scope.Clock.Mono()
			f.Kill(m)
			f.Sleep(time.Second)
			Expect(f.StartProcess(m)).To(Succeed())
			Expect(f.WaitUntil(time.Second, m.Node.Ready)).To(BeTrue())
			outages = append(outages, outage{m.Name, killed, f.Scope.Clock.Mono()})
			f.Sleep(time.Second)
		}
		f.StopLoad()
		retryable := f.retryableRoutes()
		elsewhere := func(job *Job) bool { return !slices.ContainsFunc(outages, job.overlaps) }
		f.expectSuccessRate(1, 0, 0, func(job *Job) bool { return elsewhere(job) && retryable[job.Route] })
		f.expectSuccessRate(0.96, 0, 0, elsewhere)
		checkHistory(f, RuleAtMostOnce)
	})

	spec("given clients with short timeouts among others, when they give up, then no upstream slot stays taken by their requests", []uint64{1, 2}, func(f *Fleet) {
		f.slowDownUpstreams(80*time.Millisecond, 40*time.Millisecond)
		withoutTimeout := f.Workload
		for _, each := range withoutTimeout {
			each.Timeout = 50 * time.Millisecond
			f.Workload = append(f.Workload, each)
		}
		startAll(f)
		f.StartLoad(60)
		f.Sleep(3 * time.Second)
		f.StopLoad()
		f.Sleep(time.Second)
		for _, m := range f.Nodes {
			Expect(m.Upstream.ActiveRequests()).To(BeZero(), "%s: %s", f.Description, m.Name)
		}
		checkHistory(f, RuleAtMostOnce, RuleResponseIntegrity)
	})

	spec("given load on slow upstreams, when machines leave gracefully one by one, each upstream before its node, then no response is lost", []uint64{1, 2}, func(f *Fleet) {
		f.slowDownUpstreams(300*time.Millisecond, 200*time.Millisecond)
		startAll(f)
		f.StartLoad(25)
		f.Sleep(time.Second)
		for _, m := range []*Machine{f.NodesOf("books")[0], f.NodesOf("loans")[0], f.NodesOf("gates")[0]} {
			m.Upstream.Leave()
			f.Stop(m)
			f.Sleep(200 * time.Millisecond)
			Expect(f.StartProcess(m)).To(Succeed())
			f.StartUpstream(m)
			f.Sleep(time.Second)
		}
		f.StopLoad()
		f.expectSuccessRate(0.99, 0, 0, nil)
		checkHistory(f, RuleAtMostOnce, RuleGracefulStop, RuleDrain)
	})

	spec("given load, when half of the nodes are killed at once, then the others serve and all jobs succeed soon after the restart", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		var down []*Machine
		for i, m := range f.Nodes {
			if i%2 == 0 {
				down = append(down, m)
				f.Kill(m)
			}
		}
		failedAt := f.Scope.Clock.Mono()
		f.Sleep(4 * time.Second)
		for _, m := range down {
			Expect(f.StartProcess(m)).To(Succeed())
		}
		restarted := f.Scope.Clock.Mono()
		f.Sleep(4 * time.Second)
		f.StopLoad()
		f.expectSuccessRate(0.98, failedAt+2500*time.Millisecond, restarted, nil)
		f.expectSuccessRate(0.995, restarted+1500*time.Millisecond, 0, nil)
		checkHistory(f, RuleAtMostOnce)
	})

	spec("given load, when all nodes are killed at once and restarted, then jobs succeed again within two seconds", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		for _, m := range f.Nodes {
			f.Kill(m)
		}
		f.Sleep(time.Second)
		for _, m := range f.Nodes {
			Expect(f.StartProcess(m)).To(Succeed())
		}
		restarted := f.Scope.Clock.Mono()
		f.Sleep(5 * time.Second)
		f.StopLoad()
		f.expectSuccessRate(0.995, restarted+2*time.Second, 0, nil)
		checkHistory(f, RuleAtMostOnce)
	})

	spec("given load, when a node is frozen for three seconds, then no request runs twice and most jobs succeed", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		m := f.NodesOf("loans")[int(f.Seed)%3]
		thaw := f.Freeze(m)
		f.Sleep(3 * time.Second)
		thaw()
		f.Sleep(3 * time.Second)
		f.StopLoad()
		f.expectSuccessRate(0.9, 0, 0, nil)
		checkHistory(f, RuleAtMostOnce)
	})

	spec("given a partition between zones, when it heals, then no request has run twice and jobs succeed again", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		end := f.StartDisturbance("links", "cut")
		for _, one := range f.Nodes {
			for _, other := range append(f.Nodes, f.Controllers...) {
				if one.Zone == "a" && other.Zone != "a" {
					f.Partition(one, other)
				}
			}
		}
		f.Sleep(3 * time.Second)
		f.World.HealAll()
		end()
		healed := f.Scope.Clock.Mono()
		f.Sleep(5 * time.Second)
		f.StopLoad()
		f.expectSuccessRate(0.99, healed+2500*time.Millisecond, 0, nil)
		checkHistory(f, RuleAtMostOnce)
	})
})
