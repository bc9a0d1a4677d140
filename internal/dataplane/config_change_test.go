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

// changeRoute puts a new configuration in force at a node in which one route is changed, or dropped if change is
// nil.
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

// primeLatencies records enough short latencies for a route that the node hedges slower requests.
func primeLatencies(n *Node, route string) {
	for range retry.MinSamples {
		n.latencies.Record(route, 10*time.Millisecond)
	}
}

var _ = ginkgo.Describe("a configuration change while a request runs", func() {
	var f *requestFixture
	ginkgo.BeforeEach(func() { f = newRequestFixture(false) })
	ginkgo.AfterEach(func() { f.close() })

	loseAnswerDuring := func(route string, change func(*wire.ConfigurationRoute)) clientResponse {
		f.first.setBehavior("case", func(t *transaction) bool {
			t.execute()
			changeRoute(f.clientNode, route, change)
			return t.reset()
		})
		return f.connect().roundTrip("case", route, nil)
	}
	ginkgo.It("given a route that stays repeatable, when the answer is lost, then a second upstream runs the request", func() {
		Expect(loseAnswerDuring(repeatable, keepUnchanged).status).To(Equal(http.StatusOK))
		Expect(f.second.executionsOf("case")).To(Equal(1))
	})
	for name, change := range map[string]func(*wire.ConfigurationRoute){"may run once": makeOnce, "allows one attempt": allowOneTry, "is gone": nil} {
		ginkgo.It("given a route that now "+name+", when the answer is lost, then no second upstream runs the request", func() {
			Expect(loseAnswerDuring(repeatable, change).status).To(Equal(http.StatusBadGateway))
			Expect(f.second.executionsOf("case")).To(BeZero())
		})
	}
	ginkgo.It("given a route that becomes repeatable, when the answer is lost, then no second upstream runs the request", func() {
		Expect(loseAnswerDuring(once, makeRepeatable).status).To(Equal(http.StatusBadGateway))
		Expect(f.second.executionsOf("case")).To(BeZero())
	})
	ginkgo.It("given a route that now allows more attempts, when two failed, then there is no third", func() {
		ledger := &retry.Ledger{Repeatable: true, MaxTries: 2, Deadline: time.Hour, Attempts: []*retry.Attempt{{State: forwarding.Indeterminate, ReachedUpstream: true}, {State: forwarding.Indeterminate, ReachedUpstream: true}}}
		ledger.Narrow(true, 3)
		Expect(ledger.Next(0)).To(Equal(retry.GiveUp))
	})

	hangDuring := func(change func(*wire.ConfigurationRoute)) clientResponse {
		primeLatencies(f.clientNode, repeatable)
		f.first.setBehavior("case", func(t *transaction) bool {
			t.execute()
			changeRoute(f.clientNode, repeatable, change)
			return t.hang()
		})
		return f.connect().roundTrip("case", repeatable, nil)
	}
	ginkgo.It("given a route that stays repeatable, when its upstream is slow, then a second one is asked", func() {
		Expect(hangDuring(keepUnchanged).status).To(Equal(http.StatusOK))
		Expect(f.second.executionsOf("case")).To(Equal(1))
	})
	for name, change := range map[string]func(*wire.ConfigurationRoute){"may run once": makeOnce, "allows one attempt": allowOneTry, "is gone": nil} {
		ginkgo.It("given a route that now "+name+", when its upstream is slow, then no second one is asked", func() {
			Expect(hangDuring(change).status).To(Equal(http.StatusGatewayTimeout))
			Expect(f.second.executionsOf("case")).To(BeZero())
		})
	}

	ginkgo.It("given a node that knows the newer configuration, when a peer that doesn't know it sends a retry, then it isn't run", func() {
		changeRoute(f.peerNode, repeatable, makeOnce)
		repeat := func(serial uint64) clientResponse {
			metadata := forwarding.Metadata{Service: books, Route: repeatable, Serial: serial, Retry: true, WantedStartIn: time.Second, LatestStartIn: time.Second}
			return f.sendAsPeer("case", repeatable, metadata)
		}
		Expect(repeat(1).status).To(Equal(http.StatusServiceUnavailable))
		Expect(f.second.executionsOf("case")).To(BeZero())
		changeRoute(f.peerNode, repeatable, keepUnchanged)
		Expect(repeat(1).status).To(Equal(http.StatusOK))
		Expect(f.second.executionsOf("case")).To(Equal(1))
	})

	ginkgo.It("given a route that allows one attempt, when the upstream is slow or its answer is lost, then no second one is asked", func() {
		changeRoute(f.clientNode, repeatable, allowOneTry)
		primeLatencies(f.clientNode, repeatable)
		f.first.setBehavior("silent", func(t *transaction) bool { t.execute(); return t.hang() })
		Expect(f.connect().roundTrip("silent", repeatable, nil).status).To(Equal(http.StatusGatewayTimeout))
		f.first.setBehavior("lost", func(t *transaction) bool { t.execute(); return t.reset() })
		Expect(f.connect().roundTrip("lost", repeatable, nil).status).To(Equal(http.StatusBadGateway))
		Expect(f.second.executionsOf("silent") + f.second.executionsOf("lost")).To(BeZero())
	})
})
