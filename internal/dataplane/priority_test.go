package dataplane

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/dataplane/connection"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/random"
	"curlewreach/internal/testing/simulation"
	"curlewreach/proto/wire"
)

// priorityTolerance is how much smaller the served share of a more urgent class may be than that of a less urgent
// one.
const priorityTolerance = 0.05

// trafficClass is a route and the load on it.
type trafficClass struct {
	name          string
	rank          uint32
	target        time.Duration
	timeout       time.Duration
	workTime      time.Duration
	ratePerSecond float64
}

// overload sends the classes' requests to a single upstream for the given duration and returns the share of each
// class that was served.
func (s *testbed) overload(capacity uint32, duration time.Duration, classes []trafficClass) map[string]float64 {
	seeds, _, _ := s.startControllers(1, 0)
	n := s.startNode(1, seeds)
	configuration := &wire.Configuration{Serial: 1, Services: []*wire.ConfigurationService{{Name: books, Probe: "/health", ConnLimit: 130, Protocol: "h1"}}}
	workTimes := map[string]time.Duration{}
	for _, each := range classes {
		configuration.Routes = append(configuration.Routes, &wire.ConfigurationRoute{
			Name: each.name, Host: "books.example", Prefix: "/" + each.name + "/", Repeat: wire.Repeat_REPEATABLE, CutoffMs: float64(each.timeout.Milliseconds()),
			AimMs: float64(each.target.Milliseconds()), Rank: each.rank, Tries: 2, Service: proto.String(books),
		})
		workTimes["/"+each.name+"/x"] = each.workTime
	}
	n.controlClient.Adopt(configuration, true)
	s.addUpstream(n, capacity, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(workTimes[r.URL.Path])
		w.WriteHeader(http.StatusOK)
	})
	var mu sync.Mutex
	served, sent := map[string]int{}, map[string]int{}
	rand := random.Seeded(5)
	for _, each := range classes {
		s.Go(func() {
			for i := 0; s.Clock.Mono() < duration; i++ {
				s.Go(func() {
					ok := s.getWithRetries(n.params.Outward, each, fmt.Sprint(each.name, i))
					mu.Lock()
					defer mu.Unlock()
					sent[each.name]++
					if ok {
						served[each.name]++
					}
				})
				time.Sleep(time.Duration(2 * rand.Float64() / each.ratePerSecond * float64(time.Second)))
			}
		})
	}
	time.Sleep(duration + 10*time.Second)
	shares := map[string]float64{}
	mu.Lock()
	defer mu.Unlock()
	for name, count := range sent {
		shares[name] = float64(served[name]) / float64(count)
	}
	return shares
}

// getWithRetries sends a request as clients do, at most three times within its deadline. After a rejection it waits
// for the given retry time, but no longer than a third of the time left.
func (s *testbed) getWithRetries(to string, class trafficClass, id string) bool {
	until := s.Clock.Mono() + class.timeout
	for try := range 3 {
		left := until - s.Clock.Mono()
		if left <= 0 {
			return false
		}
		reply := s.get(to, "/"+class.name+"/x", requestHeader(fmt.Sprint(id, "-", try), left))
		if reply.status != http.StatusServiceUnavailable {
			return reply.status == http.StatusOK
		}
		time.Sleep(min(reply.retryAfter, left/3))
	}
	return false
}

var _ = ginkgo.Describe("priorities under overload", func() {
	expectInOrder := func(shares map[string]float64, classes []trafficClass) {
		ginkgo.AddReportEntry("served", shares)
		for _, urgent := range classes {
			for _, lessUrgent := range classes {
				if urgent.rank < lessUrgent.rank {
					Expect(shares[urgent.name]).To(BeNumerically(">=", shares[lessUrgent.name]-priorityTolerance), "%s compared with %s, of %v", urgent.name, lessUrgent.name, shares)
				}
			}
		}
	}
	for name, classes := range map[string][]trafficClass{
		"urgent requests have short latency targets": {
			{"shelf", 1, 200 * time.Millisecond, 1200 * time.Millisecond, 60 * time.Millisecond, 25},
			{"report", 2, 1200 * time.Millisecond, 8 * time.Second, 400 * time.Millisecond, 12},
		},
		"urgent requests have short latency targets, in three ranks": {
			{"shelf", 1, 200 * time.Millisecond, 1200 * time.Millisecond, 60 * time.Millisecond, 25},
			{"search", 2, 300 * time.Millisecond, 1500 * time.Millisecond, 160 * time.Millisecond, 10},
			{"report", 3, 1200 * time.Millisecond, 8 * time.Second, 400 * time.Millisecond, 10},
		},
		"urgent requests have long latency targets": {
			{"loan", 1, 1200 * time.Millisecond, 4 * time.Second, 210 * time.Millisecond, 16},
			{"search", 2, 300 * time.Millisecond, 1500 * time.Millisecond, 100 * time.Millisecond, 30},
		},
		"the most urgent class alone exceeds the capacity": {
			{"loan", 1, 600 * time.Millisecond, 4 * time.Second, 210 * time.Millisecond, 26},
			{"search", 2, 500 * time.Millisecond, 3 * time.Second, 160 * time.Millisecond, 10},
		},
	} {
		itSimulated("given more load than an upstream can take, when "+name+", then no class is served less often than a less urgent one", func(s *testbed) {
			expectInOrder(s.overload(4, 30*time.Second, classes), classes)
		})
	}
})

var _ = ginkgo.Describe("a node without controllers", func() {
	itSimulated("given a leaving upstream, when the node has no configuration and reaches no controller, then the heartbeat is not acknowledged, in time for another call, and no request is delivered", func(s *testbed) {
		n := s.startNode(1, unreachableControllers)
		leaving := &wire.Instance{Id: "u", Service: books, Address: simulation.Host(n.params.Inward) + ":8080", Zone: "a", Capacity: 4, Leaving: true, Sequence: 1}
		deliver := func() forwarding.Outcome {
			return n.deliver(s.Scope(clientIP), forwarding.Metadata{Service: books}, &connection.Request{Header: http.Header{}}, "one", s.Clock.Mono()+time.Second)
		}
		began := s.Clock.Mono()
		for _, announce := range []func() *base.Fault{func() *base.Fault { return n.Heartbeat(leaving) }, func() *base.Fault { return n.Leave("u") }} {
			fault := make(chan *base.Fault, 1)
			go func() { fault <- announce() }()
			time.Sleep(time.Millisecond)
			o := deliver()
			Expect(o.Kind).To(Equal(base.NoInstance))
			Expect(o.State).To(Equal(forwarding.NotRun))
			Expect((<-fault).Kind).To(Equal(base.Unreachable))
			Expect(s.Clock.Mono() - began).To(BeNumerically("<", time.Second))
			began = s.Clock.Mono()
		}
	})
	itSimulated("given a node with a configuration, when no controller answers for minutes, then it stays ready", func(s *testbed) {
		n := s.startNode(1, unreachableControllers)
		n.controlClient.Adopt(testConfiguration(1), true)
		time.Sleep(5 * time.Minute)
		Expect(n.Ready()).To(BeTrue())
	})
})
