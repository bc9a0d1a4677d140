package openfleet

import (
	"slices"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/proto/wire"
)

func (f *Fleet) fares(least float64, from, till time.Duration, fits func(*Job) bool) {
	t := f.JobStats(from, till, fits)
	ExpectWithOffset(1, t.SuccessRate()).To(BeNumerically(">=", least), "%s: %s", f.Description, t)
}

// outage is a time in which a node was down; its own visitors have nobody to ask then.
type outage struct {
	node     string
	from, to time.Duration
}

func (j *Job) meets(o outage) bool {
	return j.Node == o.node && j.StartedAt < o.to && max(j.EndedAt, j.StartedAt) >= o.from
}

// repeatable tells of each route of the first configuration whether its requests may run more than once.
func (f *Fleet) repeatable() map[string]bool {
	repeatable := map[string]bool{}
	for _, route := range f.InitialConfiguration.Routes {
		repeatable[route.Name] = route.Repeat != wire.Repeat_ONCE
	}
	return repeatable
}

func (f *Fleet) slowly(base, swing time.Duration) {
	for i := range f.Behaviors {
		f.Behaviors[i].Base, f.Behaviors[i].Swing = base, swing
	}
	f.Workload = slices.Clone(f.Workload)
	for i := range f.Workload {
		f.Workload[i].Timeout = 6 * time.Second
	}
	f.InitialConfiguration = first()
	for _, route := range f.InitialConfiguration.Routes {
		route.CutoffMs, route.AimMs = 6000, 4000
	}
}

var _ = ginkgo.Describe("machines in trouble", func() {
	story("given load, when nodes are killed and raised, then nothing runs twice, no refused one ran and most are served", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
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
		f.fares(0.94, 0, 0, nil)
		sound(f, RuleAtMostOnce)
	})

	story("given load, when a machine loses power without a word, then nothing runs twice and the others serve on", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		m := f.Nodes[int(f.Seed)%len(f.Nodes)]
		m.in.Store(false)
		f.PowerLoss(m)
		at := f.Scope.Clock.Mono()
		f.Sleep(5 * time.Second)
		f.RestorePower(m)
		Expect(f.StartProcess(m)).To(Succeed())
		f.StartUpstream(m)
		f.Sleep(3 * time.Second)
		f.StopLoad()
		f.fares(0.97, 0, 0, nil)
		f.fares(0.99, at+2500*time.Millisecond, 0, nil)
		sound(f, RuleAtMostOnce)
	})

	storyOf("given long answers in flight, when every node is stopped in order and raised, one by one, then nobody loses an answer", 3, map[string]int{"books": 2, "loans": 2, "gates": 2}, []uint64{1, 2}, func(f *Fleet) {
		f.slowly(500*time.Millisecond, 300*time.Millisecond)
		f.CapacityOf = func(string) (int, int) { return 30, 30 }
		raised(f)
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
		f.fares(0.995, 0, 0, nil)
		sound(f, RuleAtMostOnce, RuleGracefulStop)
	})

	story("given long answers in flight, when nodes are killed and raised, then nothing runs twice and what may be repeated is served", []uint64{1, 2, 3, 4, 5, 6}, func(f *Fleet) {
		f.slowly(300*time.Millisecond, 300*time.Millisecond)
		f.CapacityOf = func(string) (int, int) { return 30, 30 }
		raised(f)
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
		repeatable := f.repeatable()
		elsewhere := func(job *Job) bool { return !slices.ContainsFunc(outages, job.meets) }
		f.fares(1, 0, 0, func(job *Job) bool { return elsewhere(job) && repeatable[job.Route] })
		f.fares(0.96, 0, 0, elsewhere)
		sound(f, RuleAtMostOnce)
	})

	story("given visitors who leave early, when others come too, then nothing stays held for those that left", []uint64{1, 2}, func(f *Fleet) {
		f.slowly(80*time.Millisecond, 40*time.Millisecond)
		patient := f.Workload
		for _, each := range patient {
			each.Timeout = 50 * time.Millisecond
			f.Workload = append(f.Workload, each)
		}
		raised(f)
		f.StartLoad(60)
		f.Sleep(3 * time.Second)
		f.StopLoad()
		f.Sleep(time.Second)
		for _, m := range f.Nodes {
			Expect(m.Upstream.ActiveRequests()).To(BeZero(), "%s: %s", f.Description, m.Name)
		}
		sound(f, RuleAtMostOnce, RuleResponseIntegrity)
	})

	story("given load with slow upstreams, when machines are replaced in order, upstream first, then nobody loses an answer", []uint64{1, 2}, func(f *Fleet) {
		f.slowly(300*time.Millisecond, 200*time.Millisecond)
		raised(f)
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
		f.fares(0.99, 0, 0, nil)
		sound(f, RuleAtMostOnce, RuleGracefulStop, RuleDrain)
	})

	story("given load, when half of the nodes are killed at once, then the rest serve and all recovers once they are back", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		var down []*Machine
		for i, m := range f.Nodes {
			if i%2 == 0 {
				down = append(down, m)
				f.Kill(m)
			}
		}
		at := f.Scope.Clock.Mono()
		f.Sleep(4 * time.Second)
		for _, m := range down {
			Expect(f.StartProcess(m)).To(Succeed())
		}
		back := f.Scope.Clock.Mono()
		f.Sleep(4 * time.Second)
		f.StopLoad()
		f.fares(0.98, at+2500*time.Millisecond, back, nil)
		f.fares(0.995, back+1500*time.Millisecond, 0, nil)
		sound(f, RuleAtMostOnce)
	})

	story("given load, when every node is killed at once and raised, then all are served again within two seconds", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		for _, m := range f.Nodes {
			f.Kill(m)
		}
		f.Sleep(time.Second)
		for _, m := range f.Nodes {
			Expect(f.StartProcess(m)).To(Succeed())
		}
		back := f.Scope.Clock.Mono()
		f.Sleep(5 * time.Second)
		f.StopLoad()
		f.fares(0.995, back+2*time.Second, 0, nil)
		sound(f, RuleAtMostOnce)
	})

	story("given load, when a node is frozen for three seconds and thaws, then nothing runs twice and nothing comes late to an upstream that left", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		m := f.NodesOf("loans")[int(f.Seed)%3]
		thaw := f.Freeze(m)
		f.Sleep(3 * time.Second)
		thaw()
		f.Sleep(3 * time.Second)
		f.StopLoad()
		f.fares(0.9, 0, 0, nil)
		sound(f, RuleAtMostOnce)
	})

	story("given zones cut from each other, when the cut heals, then nothing ran twice and all are served again", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
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
		f.fares(0.99, healed+2500*time.Millisecond, 0, nil)
		sound(f, RuleAtMostOnce)
	})
})
