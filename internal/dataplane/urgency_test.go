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

// orderSlack is how much less often a more urgent kind may be served than a less urgent one of its service.
const orderSlack = 0.05

// kindOfLoad is a route with the requests that come on it.
type kindOfLoad struct {
	name   string
	rank   uint32
	aim    time.Duration
	left   time.Duration
	work   time.Duration
	perSec float64
}

// overload plays kinds of requests against one upstream and gives the share served of each.
func (s *stand) overload(capacity uint32, length time.Duration, kinds []kindOfLoad) map[string]float64 {
	seeds, _, _ := s.standControllers(1, 0)
	n := s.node(1, seeds)
	configuration := &wire.Configuration{Serial: 1, Services: []*wire.ConfigurationService{{Name: books, Probe: "/health", ConnLimit: 130, Protocol: "h1"}}}
	works := map[string]time.Duration{}
	for _, each := range kinds {
		configuration.Routes = append(configuration.Routes, &wire.ConfigurationRoute{
			Name: each.name, Host: "books.example", Prefix: "/" + each.name + "/", Repeat: wire.Repeat_REPEATABLE, CutoffMs: float64(each.left.Milliseconds()),
			AimMs: float64(each.aim.Milliseconds()), Rank: each.rank, Tries: 2, Service: proto.String(books),
		})
		works["/"+each.name+"/x"] = each.work
	}
	n.control.Adopt(configuration, true)
	s.seat(n, capacity, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(works[r.URL.Path])
		w.WriteHeader(http.StatusOK)
	})
	var mu sync.Mutex
	served, asked := map[string]int{}, map[string]int{}
	rand := random.Seeded(5)
	for _, each := range kinds {
		s.Go(func() {
			for i := 0; s.Clock.Mono() < length; i++ {
				s.Go(func() {
					t := s.persist(n.params.Outward, each, fmt.Sprint(each.name, i))
					mu.Lock()
					defer mu.Unlock()
					asked[each.name]++
					if t {
						served[each.name]++
					}
				})
				time.Sleep(time.Duration(2 * rand.Float64() / each.perSec * float64(time.Second)))
			}
		})
	}
	time.Sleep(length + 10*time.Second)
	shares := map[string]float64{}
	mu.Lock()
	defer mu.Unlock()
	for name, count := range asked {
		shares[name] = float64(served[name]) / float64(count)
	}
	return shares
}

// persist asks as clients do: again after a rejection, once the wait that it was told is over, a few times within its deadline.
func (s *stand) persist(to string, kind kindOfLoad, id string) bool {
	until := s.Clock.Mono() + kind.left
	for try := range 3 {
		left := until - s.Clock.Mono()
		if left <= 0 {
			return false
		}
		t := s.ask(to, "/"+kind.name+"/x", asking(fmt.Sprint(id, "-", try), left))
		if t.status != http.StatusServiceUnavailable {
			return t.status == http.StatusOK
		}
		time.Sleep(min(t.again, left/3))
	}
	return false
}

var _ = ginkgo.Describe("kinds of requests in order of urgency", func() {
	inOrder := func(shares map[string]float64, kinds []kindOfLoad) {
		ginkgo.AddReportEntry("served", shares)
		for _, more := range kinds {
			for _, less := range kinds {
				if more.rank < less.rank {
					Expect(shares[more.name]).To(BeNumerically(">=", shares[less.name]-orderSlack), "%s beside %s, of %v", more.name, less.name, shares)
				}
			}
		}
	}
	for name, kinds := range map[string][]kindOfLoad{
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
		story("given more than an upstream can take, when "+name+", then none is served less often than a less urgent one", func(s *stand) {
			inOrder(s.overload(4, 30*time.Second, kinds), kinds)
		})
	}
})

var _ = ginkgo.Describe("duties of a node", func() {
	story("given an upstream that says it leaves, when the node has no configuration and reaches no control machine, then it is acknowledged at once and nothing more is handed over", func(s *stand) {
		n := s.node(1, noControllers)
		leaving := &wire.Instance{Id: "u", Service: books, Address: simulation.Host(n.params.Inward) + ":8080", Zone: "a", Capacity: 4, Leaving: true, Sequence: 1}
		began := s.Clock.Mono()
		Expect(n.Heartbeat(leaving)).To(BeNil())
		Expect(s.Clock.Mono()).To(Equal(began))
		o := n.deliver(s.Scope(otherBox), forwarding.Metadata{Service: books}, &connection.Request{Header: http.Header{}}, "one", s.Clock.Mono()+time.Second)
		Expect(o.Kind).To(Equal(base.NoInstance))
		Expect(o.State).To(Equal(forwarding.NotRun))
	})
	story("given a node with a configuration, when no control machine answers for minutes, then it stays ready", func(s *stand) {
		n := s.node(1, noControllers)
		n.control.Adopt(aConfiguration(1), true)
		time.Sleep(5 * time.Minute)
		Expect(n.Ready()).To(BeTrue())
	})
})
