package dataplane

import (
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/dataplane/retry"
	"curlewreach/proto/wire"
)

// changeRoute puts a configuration in force at a node in which one route is other than before; nil drops it.
func changeRoute(n *Node, name string, change func(r *wire.ConfigurationRoute)) {
	configuration := requestConfiguration(n.control.Serial() + 1)
	var routes []*wire.ConfigurationRoute
	for _, each := range configuration.Routes {
		if each.Name == name {
			if change == nil {
				continue
			}
			change(each)
		}
		routes = append(routes, each)
	}
	configuration.Routes = routes
	n.control.Adopt(configuration, true)
}

func runsOnce(r *wire.ConfigurationRoute)   { r.Repeat = wire.Repeat_ONCE }
func triesOnce(r *wire.ConfigurationRoute)  { r.Tries = 1 }
func staysSame(*wire.ConfigurationRoute)    {}
func repeatsNow(r *wire.ConfigurationRoute) { r.Repeat = wire.Repeat_REPEATABLE }

// expectHedges lets a node know how long requests of a route take, so that it hedges one that takes longer.
func expectHedges(n *Node, route string) {
	for range retry.MinSamples {
		n.latencies.Record(route, 10*time.Millisecond)
	}
}

var _ = ginkgo.Describe("a configuration that comes while a request runs", func() {
	var p *pair
	ginkgo.BeforeEach(func() { p = newPair(false) })
	ginkgo.AfterEach(func() { p.close() })

	lostUnder := func(route string, change func(*wire.ConfigurationRoute)) got {
		p.first.on("row", func(t *turn) bool {
			t.run()
			changeRoute(p.near, route, change)
			return t.reset()
		})
		return p.client().ask("row", route, nil)
	}
	ginkgo.It("given a route that stays repeatable, when the answer is lost, then a second upstream runs the request", func() {
		Expect(lostUnder(repeatable, staysSame).status).To(Equal(http.StatusOK))
		Expect(p.second.count("row")).To(Equal(1))
	})
	for name, change := range map[string]func(*wire.ConfigurationRoute){"may run once": runsOnce, "allows one upstream": triesOnce, "is gone": nil} {
		ginkgo.It("given a route that now "+name+", when the answer is lost, then no second upstream runs the request", func() {
			Expect(lostUnder(repeatable, change).status).To(Equal(http.StatusBadGateway))
			Expect(p.second.count("row")).To(BeZero())
		})
	}
	ginkgo.It("given a route that is repeatable only now, when the answer is lost, then no second upstream runs the request", func() {
		Expect(lostUnder(once, repeatsNow).status).To(Equal(http.StatusBadGateway))
		Expect(p.second.count("row")).To(BeZero())
	})
	ginkgo.It("given a route that now allows more upstreams, when two failed, then no third is asked", func() {
		ledger := &retry.Ledger{Repeatable: true, MaxTries: 2, Deadline: time.Hour, Attempts: []*retry.Attempt{{State: forwarding.Indeterminate, ReachedUpstream: true}, {State: forwarding.Indeterminate, ReachedUpstream: true}}}
		ledger.Narrow(true, 3)
		Expect(ledger.Next(0)).To(Equal(retry.GiveUp))
	})

	silentUnder := func(change func(*wire.ConfigurationRoute)) got {
		expectHedges(p.near, repeatable)
		p.first.on("row", func(t *turn) bool {
			t.run()
			changeRoute(p.near, repeatable, change)
			return t.wait()
		})
		return p.client().ask("row", repeatable, nil)
	}
	ginkgo.It("given a route that stays repeatable, when its upstream is silent for long, then a second is asked", func() {
		Expect(silentUnder(staysSame).status).To(Equal(http.StatusOK))
		Expect(p.second.count("row")).To(Equal(1))
	})
	for name, change := range map[string]func(*wire.ConfigurationRoute){"may run once": runsOnce, "allows one upstream": triesOnce, "is gone": nil} {
		ginkgo.It("given a route that now "+name+", when its upstream is silent for long, then no second is asked", func() {
			Expect(silentUnder(change).status).To(Equal(http.StatusGatewayTimeout))
			Expect(p.second.count("row")).To(BeZero())
		})
	}

	ginkgo.It("given a node that knows the newer configuration, when a peer that doesn't sends it a repeat, then it isn't run", func() {
		changeRoute(p.far, repeatable, runsOnce)
		repeat := func(serial uint64) got {
			way := forwarding.Metadata{Service: books, Route: repeatable, Serial: serial, Retry: true, SoftDeadlineIn: time.Second, HardDeadlineIn: time.Second}
			return p.peerAsks("row", repeatable, way)
		}
		Expect(repeat(1).status).To(Equal(http.StatusServiceUnavailable))
		Expect(p.second.count("row")).To(BeZero())
		changeRoute(p.far, repeatable, staysSame)
		Expect(repeat(1).status).To(Equal(http.StatusOK))
		Expect(p.second.count("row")).To(Equal(1))
	})

	ginkgo.It("given a route that allows one upstream, when that is silent or its answer is lost, then no second is asked", func() {
		changeRoute(p.near, repeatable, triesOnce)
		expectHedges(p.near, repeatable)
		p.first.on("silent", func(t *turn) bool { t.run(); return t.wait() })
		Expect(p.client().ask("silent", repeatable, nil).status).To(Equal(http.StatusGatewayTimeout))
		p.first.on("lost", func(t *turn) bool { t.run(); return t.reset() })
		Expect(p.client().ask("lost", repeatable, nil).status).To(Equal(http.StatusBadGateway))
		Expect(p.second.count("silent") + p.second.count("lost")).To(BeZero())
	})
})
