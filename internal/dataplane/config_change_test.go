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
	configuration := routeClassConfiguration(n.controlClient.Serial() + 1)
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
	n.controlClient.Adopt(configuration, true)
}

func makeOnce(r *wire.ConfigurationRoute)       { r.Repeat = wire.Repeat_ONCE }
func allowOneTry(r *wire.ConfigurationRoute)    { r.Tries = 1 }
func keepUnchanged(*wire.ConfigurationRoute)    {}
func makeRepeatable(r *wire.ConfigurationRoute) { r.Repeat = wire.Repeat_REPEATABLE }

// primeLatencies lets a node know how long requests of a route take, so that it hedges one that takes longer.
func primeLatencies(n *Node, route string) {
	for range retry.FewestSeen {
		n.latencies.Took(route, 10*time.Millisecond)
	}
}

var _ = ginkgo.Describe("a configuration that comes while a request runs", func() {
	var p *requestFixture
	ginkgo.BeforeEach(func() { p = newRequestFixture(false) })
	ginkgo.AfterEach(func() { p.close() })

	lostUnder := func(route string, change func(*wire.ConfigurationRoute)) clientResponse {
		p.first.setBehavior("row", func(t *transaction) bool {
			t.execute()
			changeRoute(p.clientNode, route, change)
			return t.reset()
		})
		return p.connect().roundTrip("row", route, nil)
	}
	ginkgo.It("given a route that stays repeatable, when the answer is lost, then a second upstream runs the request", func() {
		Expect(lostUnder(repeatable, keepUnchanged).status).To(Equal(http.StatusOK))
		Expect(p.second.executionsOf("row")).To(Equal(1))
	})
	for name, change := range map[string]func(*wire.ConfigurationRoute){"may run once": makeOnce, "allows one upstream": allowOneTry, "is gone": nil} {
		ginkgo.It("given a route that now "+name+", when the answer is lost, then no second upstream runs the request", func() {
			Expect(lostUnder(repeatable, change).status).To(Equal(http.StatusBadGateway))
			Expect(p.second.executionsOf("row")).To(BeZero())
		})
	}
	ginkgo.It("given a route that is repeatable only now, when the answer is lost, then no second upstream runs the request", func() {
		Expect(lostUnder(once, makeRepeatable).status).To(Equal(http.StatusBadGateway))
		Expect(p.second.executionsOf("row")).To(BeZero())
	})
	ginkgo.It("given a route that now allows more upstreams, when two failed, then no third is asked", func() {
		ledger := &retry.Ledger{Repeatable: true, Tries: 2, Until: time.Hour, Attempts: []*retry.Attempt{{State: forwarding.Doubtful, Arrived: true}, {State: forwarding.Doubtful, Arrived: true}}}
		ledger.Narrow(true, 3)
		Expect(ledger.Next(0)).To(Equal(retry.GiveUp))
	})

	silentUnder := func(change func(*wire.ConfigurationRoute)) clientResponse {
		primeLatencies(p.clientNode, repeatable)
		p.first.setBehavior("row", func(t *transaction) bool {
			t.execute()
			changeRoute(p.clientNode, repeatable, change)
			return t.hang()
		})
		return p.connect().roundTrip("row", repeatable, nil)
	}
	ginkgo.It("given a route that stays repeatable, when its upstream is silent for long, then a second is asked", func() {
		Expect(silentUnder(keepUnchanged).status).To(Equal(http.StatusOK))
		Expect(p.second.executionsOf("row")).To(Equal(1))
	})
	for name, change := range map[string]func(*wire.ConfigurationRoute){"may run once": makeOnce, "allows one upstream": allowOneTry, "is gone": nil} {
		ginkgo.It("given a route that now "+name+", when its upstream is silent for long, then no second is asked", func() {
			Expect(silentUnder(change).status).To(Equal(http.StatusGatewayTimeout))
			Expect(p.second.executionsOf("row")).To(BeZero())
		})
	}

	ginkgo.It("given a node that knows the newer configuration, when a peer that doesn't sends it a repeat, then it isn't run", func() {
		changeRoute(p.peerNode, repeatable, makeOnce)
		repeat := func(serial uint64) clientResponse {
			way := forwarding.Metadata{Service: books, Route: repeatable, Serial: serial, Repeat: true, Aim: time.Second, Stay: time.Second}
			return p.sendAsPeer("row", repeatable, way)
		}
		Expect(repeat(1).status).To(Equal(http.StatusServiceUnavailable))
		Expect(p.second.executionsOf("row")).To(BeZero())
		changeRoute(p.peerNode, repeatable, keepUnchanged)
		Expect(repeat(1).status).To(Equal(http.StatusOK))
		Expect(p.second.executionsOf("row")).To(Equal(1))
	})

	ginkgo.It("given a route that allows one upstream, when that is silent or its answer is lost, then no second is asked", func() {
		changeRoute(p.clientNode, repeatable, allowOneTry)
		primeLatencies(p.clientNode, repeatable)
		p.first.setBehavior("silent", func(t *transaction) bool { t.execute(); return t.hang() })
		Expect(p.connect().roundTrip("silent", repeatable, nil).status).To(Equal(http.StatusGatewayTimeout))
		p.first.setBehavior("lost", func(t *transaction) bool { t.execute(); return t.reset() })
		Expect(p.connect().roundTrip("lost", repeatable, nil).status).To(Equal(http.StatusBadGateway))
		Expect(p.second.executionsOf("silent") + p.second.executionsOf("lost")).To(BeZero())
	})
})
