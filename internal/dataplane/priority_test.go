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

// priorityTolerance is how much less often a more urgent kind may be served than a less urgent one of its service.
const priorityTolerance = 0.05

// trafficClass is a route with the requests that come on it.
type trafficClass struct {
	name          string
	rank          uint32
	target        time.Duration
	timeout       time.Duration
	workTime      time.Duration
	ratePerSecond float64
}

// overload plays kinds of requests against one upstream and gives the share served of each.
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

// getWithRetries asks as clients do: again after a rejection, once the wait that it was told is over, a few times within its deadline.
func (s *testbed) getWithRetries(to string, class trafficClass, id string) bool {
	until := s.Clock.Mono() + class.timeout
	for try := range 3 {
		left := until - s.Clock.Mono()
		if left <= 0 {
			return false
		}
		t := s.get(to, "/"+class.name+"/x", requestHeader(fmt.Sprint(id, "-", try), left))
		if t.status != http.StatusServiceUnavailable {
			return t.status == http.StatusOK
		}
		time.Sleep(min(t.retryAfter, left/3))
	}
	return false
}

var _ = ginkgo.Describe("kinds of requests in order of urgency", func() {
	inOrder := func(shares map[string]float64, kinds []trafficClass) {
		ginkgo.AddReportEntry("served", shares)
		for _, more := range kinds {
			for _, less := range kinds {
				if more.rank < less.rank {
					Expect(shares[more.name]).To(BeNumerically(">=", shares[less.name]-priorityTolerance), "%s beside %s, of %v", more.name, less.name, shares)
				}
			}
		}
	}
	for name, kinds := range map[string][]trafficClass{
		"short aims are urgent": {
			{"shelf", 1, 200 * time.Millisecond, 1200 * time.Millisecond, 60 * time.Millisecond, 25},
			{"report", 2, 1200 * time.Millisecond, 8 * time.Second, 400 * time.Millisecond, 12},
		},
		"short aims are urgent, three ranks": {
			{"shelf", 1, 200 * time.Millisecond, 1200 * time.Millisecond, 60 * time.Millisecond, 25},
			{"search", 2, 300 * time.Millisecond, 1500 * time.Millisecond, 160 * time.Millisecond, 10},
			{"report", 3, 1200 * time.Millisecond, 8 * time.Second, 400 * time.Millisecond, 10},
		},
		"long aims are urgent": {
			{"loan", 1, 1200 * time.Millisecond, 4 * time.Second, 210 * time.Millisecond, 16},
			{"search", 2, 300 * time.Millisecond, 1500 * time.Millisecond, 100 * time.Millisecond, 30},
		},
		"the most urgent alone is too much": {
			{"loan", 1, 600 * time.Millisecond, 4 * time.Second, 210 * time.Millisecond, 26},
			{"search", 2, 500 * time.Millisecond, 3 * time.Second, 160 * time.Millisecond, 10},
		},
	} {
		itSimulated("given more than an upstream can take, when "+name+", then none is served less often than a less urgent one", func(s *testbed) {
			inOrder(s.overload(4, 30*time.Second, kinds), kinds)
		})
	}
})

var _ = ginkgo.Describe("duties of a node", func() {
	itSimulated("given an upstream that says it leaves, when the node has no configuration and reaches no control machine, then it is acknowledged at once and nothing more is handed over", func(s *testbed) {
		n := s.startNode(1, unreachableControllers)
		leaving := &wire.Instance{Id: "u", Service: books, Address: simulation.Host(n.params.Inward) + ":8080", Zone: "a", Capacity: 4, Leaving: true, Sequence: 1}
		began := s.Clock.Mono()
		Expect(n.Heartbeat(leaving)).To(BeNil())
		Expect(s.Clock.Mono()).To(Equal(began))
		o := n.deliver(s.Scope(clientIP), forwarding.Metadata{Service: books}, &connection.Request{Header: http.Header{}}, "one", s.Clock.Mono()+time.Second)
		Expect(o.Kind).To(Equal(base.NoInstance))
		Expect(o.State).To(Equal(forwarding.NotRun))
	})
	itSimulated("given a node with a configuration, when no control machine answers for minutes, then it stays ready", func(s *testbed) {
		n := s.startNode(1, unreachableControllers)
		n.controlClient.Adopt(testConfiguration(1), true)
		time.Sleep(5 * time.Minute)
		Expect(n.Ready()).To(BeTrue())
	})
})
