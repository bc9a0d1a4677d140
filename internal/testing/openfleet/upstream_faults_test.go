package openfleet

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// setFaults sets the faults of all upstreams of the services.
func (f *Fleet) setFaults(services []string, faults ...FaultRate) {
	for _, service := range services {
		for _, m := range f.NodesOf(service) {
			m.Upstream.SetFaults(faults...)
		}
	}
}

// atMostOnce reports whether the route of a job forbids retries.
func atMostOnce(job *Job) bool {
	return job.Route == "return" || job.Route == "pass" || job.Route == "lend"
}

func retryable(job *Job) bool { return !atMostOnce(job) }

var _ = ginkgo.Describe("upstream faults", func() {
	for _, each := range []struct {
		fault Fault
		delay time.Duration
		// minOnce and minRetryable are lower bounds of the success rates of jobs whose routes forbid and allow retries.
		minOnce, minRetryable float64
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
		specWith(fmt.Sprintf("given upstreams with the fault %q in one response of ten, delay %s, when clients send requests, then no request runs twice and every success is complete and belongs to its request", each.fault, each.delay), 3, smallServices, []uint64{1, 2}, func(f *Fleet) {
			startAll(f)
			f.StartLoad(50)
			f.Sleep(200 * time.Millisecond)
			f.setFaults([]string{"books", "loans", "gates"}, FaultRate{each.fault, 0.1, each.delay})
			f.Sleep(3 * time.Second)
			f.StopLoad()
			checkHistory(f, RuleAtMostOnce, RuleResponseIntegrity, RuleRequestIntegrity, RuleRouting)
			stats, retryableStats := f.JobStats(0, 0, atMostOnce), f.JobStats(0, 0, retryable)
			Expect(stats.SuccessRate()).To(BeNumerically(">", each.minOnce), "%s: %s", f.Description, stats)
			Expect(retryableStats.SuccessRate()).To(BeNumerically(">", each.minRetryable), "%s: %s", f.Description, retryableStats)
		})
	}
})

var _ = ginkgo.Describe("large responses", func() {
	for _, chunks := range []bool{false, true} {
		specWith(fmt.Sprintf("given upstreams that truncate large responses, chunked: %v, when clients send requests, then no truncated response looks complete", chunks), 3, smallServices, []uint64{1, 2}, func(f *Fleet) {
			f.Behaviors = []Behavior{{Prefix: "/scans/", Base: 10 * time.Millisecond, Size: 2_600_000, Chunks: chunks}}
			f.Workload = []RequestClass{{Method: "GET", Host: "books.example", Path: "/scans/", Weight: 1}}
			startAll(f)
			f.setFaults([]string{"books"}, FaultRate{TruncatedBody, 0.3, 0})
			f.StartLoad(10)
			f.Sleep(3 * time.Second)
			f.StopLoad()
			f.expectSuccessRate(0.7, 0, 0, nil)
			checkHistory(f, RuleResponseIntegrity)
		})
	}
})

// replaceUpstreams replaces all upstreams of the services by new ones, each adjusted by change before it starts.
func (f *Fleet) replaceUpstreams(services []string, change func(u *Upstream)) {
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

var allServices = []string{"books", "loans", "gates"}

var _ = ginkgo.Describe("upstream connections and capacity", func() {
	for _, idleTimeout := range []time.Duration{60 * time.Millisecond, time.Second, 2 * time.Second} {
		specWith(fmt.Sprintf("given upstreams that close connections idle for %s, when clients send requests at a low rate, then no response is lost", idleTimeout), 3, smallServices, []uint64{1, 2}, func(f *Fleet) {
			startAll(f)
			f.replaceUpstreams(allServices, func(u *Upstream) { u.IdleTimeout, u.AnnounceIdleTimeout = idleTimeout, idleTimeout >= time.Second })
			f.StartLoad(25)
			f.Sleep(6 * time.Second)
			f.StopLoad()
			stats := f.JobStats(0, 0, nil)
			Expect(stats.SuccessRate()).To(BeNumerically(">", 0.995), "%s: %s", f.Description, stats)
			checkHistory(f, RuleAtMostOnce, RuleResponseIntegrity)
		})
	}

	specWith("given upstreams that accept few connections, when clients send requests, then most jobs succeed and no request runs twice", 3, smallServices, []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.replaceUpstreams(allServices, func(u *Upstream) { u.ConnLimit = 5 })
		f.StartLoad(90)
		f.Sleep(4 * time.Second)
		f.StopLoad()
		stats := f.JobStats(0, 0, nil)
		Expect(stats.SuccessRate()).To(BeNumerically(">", 0.95), "%s: %s", f.Description, stats)
		checkHistory(f, RuleAtMostOnce, RuleResponseIntegrity)
	})

	for _, reset := range []bool{false, true} {
		specWith(fmt.Sprintf("given upstreams that report more capacity than they have and are full, resetting: %v, when clients send requests, then none rejected as not run has run and retries stay within the budget", reset), 3, smallServices, []uint64{1, 2}, func(f *Fleet) {
			startAll(f)
			f.replaceUpstreams(allServices, func(u *Upstream) {
				u.Queue, u.ResetWhenFull = 0, reset
				u.ExtraReportedCapacity = 6
				u.Capacity = 2
			})
			f.StartLoad(120)
			f.Sleep(4 * time.Second)
			checkHistory(f, RuleAtMostOnce, RuleResponseIntegrity, RuleRetryBudget)
		})
	}

	spec("given one upstream of four that is ten times slower, when clients send requests, then few wait for it", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		slow := f.NodesOf("books")[1].Upstream
		slow.SetSlowdown(10)
		f.StartLoad(90)
		f.Sleep(6 * time.Second)
		f.StopLoad()
		stats := f.JobStats(2*time.Second, 0, nil)
		Expect(stats.SuccessRate()).To(BeNumerically(">", 0.999), "%s: %s", f.Description, stats)
		Expect(stats.OnTimeRate()).To(BeNumerically(">", 0.97), "%s: %s", f.Description, stats)
		checkHistory(f, RuleAtMostOnce)
	})
})

var _ = ginkgo.Describe("leaving and replaced upstreams", func() {
	spec("given load, when upstreams leave gracefully one by one, then none receives a request past the bound and no response is lost", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		for _, m := range []*Machine{f.NodesOf("books")[0], f.NodesOf("loans")[1], f.NodesOf("gates")[0]} {
			m.Upstream.Leave()
			f.Sleep(500 * time.Millisecond)
			f.StartUpstream(m)
			f.Sleep(time.Second)
		}
		f.StopLoad()
		stats := f.JobStats(0, 0, nil)
		Expect(stats.SuccessRate()).To(BeNumerically(">", 0.999), "%s: %s", f.Description, stats)
		checkHistory(f, RuleAtMostOnce, RuleDrain)
	})

	spec("given load, when upstreams are killed without leaving and restarted, then no request runs twice and most jobs succeed", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
		f.StartLoad(50)
		f.Sleep(time.Second)
		for _, m := range []*Machine{f.NodesOf("books")[0], f.NodesOf("loans")[1], f.NodesOf("gates")[0]} {
			m.Upstream.Kill()
			f.Sleep(1500 * time.Millisecond)
			f.StartUpstream(m)
			f.Sleep(time.Second)
		}
		f.StopLoad()
		stats := f.JobStats(0, 0, nil)
		Expect(stats.SuccessRate()).To(BeNumerically(">", 0.985), "%s: %s", f.Description, stats)
		checkHistory(f, RuleAtMostOnce)
	})

	spec("given a killed upstream, when an upstream of another service takes its address at once and sends no heartbeats, then it executes no request", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
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
		stats := f.JobStats(0, 0, nil)
		Expect(stats.SuccessRate()).To(BeNumerically(">", 0.99), "%s: %s", f.Description, stats)
		checkHistory(f, RuleAtMostOnce, RuleRouting)
	})

	spec("given a removed machine, when a machine of another service takes its address at once, then no service executes requests of another", []uint64{1, 2}, func(f *Fleet) {
		startAll(f)
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
		stats := f.JobStats(0, 0, nil)
		Expect(stats.SuccessRate()).To(BeNumerically(">", 0.98), "%s: %s", f.Description, stats)
		checkHistory(f, RuleAtMostOnce, RuleRouting, RuleRequestIntegrity)
	})
})
