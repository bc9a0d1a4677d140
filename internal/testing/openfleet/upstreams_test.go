package openfleet

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func (f *Fleet) afflict(services []string, troubles ...FaultRate) {
	for _, service := range services {
		for _, m := range f.NodesOf(service) {
			m.Upstream.SetFaults(troubles...)
		}
	}
}

func once(job *Job) bool { return job.Route == "return" || job.Route == "pass" || job.Route == "lend" }

func repeatable(job *Job) bool { return !once(job) }

var _ = ginkgo.Describe("upstreams in trouble", func() {
	for _, each := range []struct {
		fault        Fault
		late         time.Duration
		once, others float64
	}{
		{NoResponse, 0, 0.75, 0.85},
		{ConnReset, 0, 0.7, 0.95},
		{TruncatedBody, 0, 0.7, 0.95},
		{InvalidResponse, 0, 0.7, 0.95},
		{MissingSeal, 0, 0.7, 0.95},
		{UndelimitedBody, 0, 0.7, 0.95},
		{InternalError, 0, 0.7, 0.95},
		{DuplicateResponse, 0, 0.995, 0.995},
		{LateDuplicate, 3 * time.Millisecond, 0.99, 0.995},
		{LateDuplicate, 30 * time.Millisecond, 0.99, 0.995},
		{DuplicateOnNextRequest, 0, 0.995, 0.995},
		{TrailingBytes, 0, 0.995, 0.995},
		{LateTrailingBytes, 15 * time.Millisecond, 0.7, 0.95},
		{UnrelatedResponse, 0, 0.995, 0.995},
		{CloseAfterResponse, 0, 0.995, 0.995},
		{CloseWithoutResponse, 0, 0.7, 0.95},
	} {
		storyOf(fmt.Sprintf("given upstreams with one answer in ten %s %s, when visitors come, then nothing runs twice, every success is whole and its own", each.fault, each.late), 3, small, []uint64{1, 2}, func(f *Fleet) {
			raised(f)
			f.StartLoad(50)
			f.Sleep(200 * time.Millisecond)
			f.afflict([]string{"books", "loans", "gates"}, FaultRate{each.fault, 0.1, each.late})
			f.Sleep(3 * time.Second)
			f.StopLoad()
			sound(f, RuleAtMostOnce, RuleResponseIntegrity, RuleRequestIntegrity, RuleRouting)
			t, o := f.JobStats(0, 0, once), f.JobStats(0, 0, repeatable)
			Expect(t.SuccessRate()).To(BeNumerically(">", each.once), "%s: %s", f.Description, t)
			Expect(o.SuccessRate()).To(BeNumerically(">", each.others), "%s: %s", f.Description, o)
		})
	}
})

var _ = ginkgo.Describe("large answers", func() {
	for _, chunks := range []bool{false, true} {
		storyOf(fmt.Sprintf("given upstreams that break off large answers, chunked: %v, when visitors come, then none looks whole that is not", chunks), 3, small, []uint64{1, 2}, func(f *Fleet) {
			f.Behaviors = []Behavior{{Prefix: "/scans/", Base: 10 * time.Millisecond, Size: 2_600_000, Chunks: chunks}}
			f.Workload = []RequestClass{{Method: "GET", Host: "books.example", Path: "/scans/", Weight: 1}}
			raised(f)
			f.afflict([]string{"books"}, FaultRate{TruncatedBody, 0.3, 0})
			f.StartLoad(10)
			f.Sleep(3 * time.Second)
			f.StopLoad()
			f.fares(0.7, 0, 0, nil)
			sound(f, RuleResponseIntegrity)
		})
	}
})

func (f *Fleet) replaceAll(services []string, change func(u *Upstream)) {
	for _, service := range services {
		for _, m := range f.NodesOf(service) {
			m.Upstream.Kill()
			u := f.NewUpstream(m, service, upstreamPort)
			change(u)
			Expect(u.Start()).To(Succeed())
			m.Upstream = u
		}
	}
	f.Sleep(time.Second)
}

var everyService = []string{"books", "loans", "gates"}

var _ = ginkgo.Describe("upstreams and their connections", func() {
	for _, rest := range []time.Duration{60 * time.Millisecond, time.Second, 2 * time.Second} {
		storyOf(fmt.Sprintf("given upstreams that close what is idle for %s, when visitors come now and then, then nobody loses an answer", rest), 3, small, []uint64{1, 2}, func(f *Fleet) {
			raised(f)
			f.replaceAll(everyService, func(u *Upstream) { u.IdleTimeout, u.AnnounceIdleTimeout = rest, rest >= time.Second })
			f.StartLoad(25)
			f.Sleep(6 * time.Second)
			f.StopLoad()
			t := f.JobStats(0, 0, nil)
			Expect(t.SuccessRate()).To(BeNumerically(">", 0.995), "%s: %s", f.Description, t)
			sound(f, RuleAtMostOnce, RuleResponseIntegrity)
		})
	}

	storyOf("given upstreams that take few connections, when visitors come, then most are served and nothing runs twice", 3, small, []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.replaceAll(everyService, func(u *Upstream) { u.ConnLimit = 5 })
		f.StartLoad(90)
		f.Sleep(4 * time.Second)
		f.StopLoad()
		t := f.JobStats(0, 0, nil)
		Expect(t.SuccessRate()).To(BeNumerically(">", 0.95), "%s: %s", f.Description, t)
		sound(f, RuleAtMostOnce, RuleResponseIntegrity)
	})

	for _, reset := range []bool{false, true} {
		storyOf(fmt.Sprintf("given upstreams that tell of more slots than they have and are full, resetting: %v, when visitors come, then no refused one ran and repeats stay paid", reset), 3, small, []uint64{1, 2}, func(f *Fleet) {
			raised(f)
			f.replaceAll(everyService, func(u *Upstream) {
				u.Queue, u.ResetWhenFull = 0, reset
				u.ExtraReportedCapacity = 6
				u.Capacity = 2
			})
			f.StartLoad(120)
			f.Sleep(4 * time.Second)
			sound(f, RuleAtMostOnce, RuleResponseIntegrity, RuleRetryBudget)
		})
	}

	story("given one upstream of four that is ten times slower, when visitors come, then few wait for it", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		slow := f.NodesOf("books")[1].Upstream
		slow.SetSlowdown(10)
		f.StartLoad(90)
		f.Sleep(6 * time.Second)
		f.StopLoad()
		t := f.JobStats(2*time.Second, 0, nil)
		Expect(t.SuccessRate()).To(BeNumerically(">", 0.999), "%s: %s", f.Description, t)
		Expect(t.OnTimeRate()).To(BeNumerically(">", 0.97), "%s: %s", f.Description, t)
		sound(f, RuleAtMostOnce)
	})
})

var _ = ginkgo.Describe("upstreams that leave", func() {
	story("given load, when upstreams leave in order one by one, then none gets anything past the bound and nobody loses an answer", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		for _, m := range []*Machine{f.NodesOf("books")[0], f.NodesOf("loans")[1], f.NodesOf("gates")[0]} {
			m.Upstream.Leave()
			f.Sleep(500 * time.Millisecond)
			f.StartUpstream(m)
			f.Sleep(time.Second)
		}
		f.StopLoad()
		t := f.JobStats(0, 0, nil)
		Expect(t.SuccessRate()).To(BeNumerically(">", 0.999), "%s: %s", f.Description, t)
		sound(f, RuleAtMostOnce, RuleDrain)
	})

	story("given the only upstream of a service, when it leaves with the control machines cut off, then its node still hands it nothing past the bound", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		m := f.NodesOf("gates")[0]
		end := f.StartDisturbance("core", "cut off")
		for _, controller := range f.Controllers {
			f.Partition(m, controller)
		}
		m.Upstream.AnnounceLeaving()
		f.Sleep(4 * time.Second)
		f.World.HealAll()
		end()
		m.Upstream.Kill()
		f.Sleep(time.Second)
		sound(f, RuleAtMostOnce, RuleDrain)
	})

	story("given load, when upstreams are killed without a word and start anew, then nothing runs twice and most are served", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		for _, m := range []*Machine{f.NodesOf("books")[0], f.NodesOf("loans")[1], f.NodesOf("gates")[0]} {
			m.Upstream.Kill()
			f.Sleep(1500 * time.Millisecond)
			f.StartUpstream(m)
			f.Sleep(time.Second)
		}
		f.StopLoad()
		t := f.JobStats(0, 0, nil)
		Expect(t.SuccessRate()).To(BeNumerically(">", 0.985), "%s: %s", f.Description, t)
		sound(f, RuleAtMostOnce)
	})

	story("given an upstream killed, when another service's stands at its address at once and says nothing, then it runs nothing", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		for _, m := range []*Machine{f.NodesOf("books")[0], f.NodesOf("loans")[1], f.NodesOf("gates")[0]} {
			m.Upstream.Kill()
			other := f.NewUpstream(m, "strangers", upstreamPort)
			other.NoHeartbeats = true
			Expect(other.Start()).To(Succeed())
			f.Sleep(3 * time.Second)
			other.Kill()
			f.StartUpstream(m)
		}
		f.Sleep(time.Second)
		f.StopLoad()
		t := f.JobStats(0, 0, nil)
		Expect(t.SuccessRate()).To(BeNumerically(">", 0.99), "%s: %s", f.Description, t)
		sound(f, RuleAtMostOnce, RuleRouting)
	})

	story("given a machine gone, when another service's machine takes its address at once, then no service runs what is not its own", []uint64{1, 2}, func(f *Fleet) {
		raised(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		for i, m := range []*Machine{f.NodesOf("books")[0], f.NodesOf("loans")[1]} {
			f.Retire(m)
			next := f.AddNode([]string{"loans", "gates"}[i], m.IP)
			Expect(f.StartProcess(next)).To(Succeed())
			f.StartUpstream(next)
			f.Sleep(3 * time.Second)
		}
		f.StopLoad()
		t := f.JobStats(0, 0, nil)
		Expect(t.SuccessRate()).To(BeNumerically(">", 0.98), "%s: %s", f.Description, t)
		sound(f, RuleAtMostOnce, RuleRouting, RuleRequestIntegrity)
	})
})
