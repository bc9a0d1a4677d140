package openfleet

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

// The stories here play what callers see while all slots of a service are taken (docs/waiting.md). Each service has
// waitingUpstreams upstreams of waitingSlots slots, whose usual work takes usualWork.
const (
	waitingUpstreams = 2
	waitingSlots     = 6
	usualWork        = 100 * time.Millisecond
	waitingHost      = "books.example"
	// atOnce is the time within which a caller that isn't held is refused: what asking each upstream's node takes.
	atOnce = 20 * time.Millisecond
)

// waitingRoute describes a route of a story.
type waitingRoute struct {
	name    string
	service string
	target  time.Duration
	rank    uint32
	calls   []string
}

// waitingFleet starts a fleet with the routes, and with the route "hold" whose work takes hold.
func waitingFleet(f *Fleet, hold time.Duration, routes ...waitingRoute) {
	f.CapacityOf = func(string) (int, int) { return waitingSlots, 4 * waitingSlots }
	behaviors := []Behavior{{Prefix: "/hold/", Base: hold}}
	configuration := &wire.Configuration{Serial: 3}
	for _, service := range []string{"books", "loans", "gates"} {
		configuration.Services = append(configuration.Services, &wire.ConfigurationService{Name: service, Probe: "/health", ConnLimit: 130, Protocol: "h1"})
	}
	for _, route := range append(routes, waitingRoute{"hold", "books", time.Second, 2, nil}) {
		behaviors = append(behaviors, Behavior{Prefix: "/" + route.name + "/", Base: usualWork, Calls: route.calls})
		configuration.Routes = append(configuration.Routes, &wire.ConfigurationRoute{
			Name: route.name, Host: waitingHost, Prefix: "/" + route.name + "/", Repeat: wire.Repeat_REPEATABLE, CutoffMs: 8000,
			AimMs: float64(route.target.Milliseconds()), Rank: route.rank, Tries: 2, Service: stringPtr(route.service),
		})
	}
	f.Behaviors, f.InitialConfiguration = behaviors, configuration
	startAll(f)
}

// ask sends one request of a caller with the given time left through a node.
func (f *Fleet) ask(m *Machine, route string, timeLeft time.Duration) (outcome *Outcome, took time.Duration) {
	id := fmt.Sprintf("ask-%d", f.nextID.Add(1))
	attempt := f.newAttempt(m, fmt.Sprintf("GET %s /%s/%s", waitingHost, route, id), id)
	attempt.Deadline = attempt.SentAt + timeLeft
	outcome = m.client.do(attempt, nil, false, true)
	return outcome, outcome.EndedAt - attempt.SentAt
}

// warmUp lets the nodes measure the work of a route, with callers that have the given time left.
func (f *Fleet) warmUp(route string, nodes []*Machine, timeLeft time.Duration) {
	for range 3 {
		for _, m := range nodes {
			f.ask(m, route, timeLeft)
		}
	}
}

// takeAllSlots takes each slot of books with a request of the route "hold" and returns once all are taken.
func (f *Fleet) takeAllSlots(held *base.Group) {
	nodes := f.NodesOf("books")
	for i := range waitingUpstreams * waitingSlots {
		held.Go(func() { f.ask(nodes[i%len(nodes)], "hold", 8*time.Second) })
	}
	f.Sleep(30 * time.Millisecond)
}

// crowd is what became of a number of requests.
type crowd struct {
	mu        sync.Mutex
	sent      int
	served    int
	latencies []time.Duration // of those that were served
	refusals  []time.Duration // how long those that were refused had been held
	untold    int             // refusals without a Retry-After
}

func (c *crowd) add(outcome *Outcome, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	switch outcome.Status {
	case http.StatusOK:
		c.served++
		c.latencies = append(c.latencies, took)
	case http.StatusServiceUnavailable:
		c.refusals = append(c.refusals, took)
		if outcome.RetryAfter <= 0 {
			c.untold++
		}
	}
}

// quantile returns a quantile, from 0 to 1, of times.
func quantile(times []time.Duration, q float64) time.Duration {
	slices.Sort(times)
	return times[min(int(q*float64(len(times))), len(times)-1)]
}

// crowdAt sends requests of a route at a rate per second through the nodes in turn.
func (f *Fleet) crowdAt(c *crowd, senders *base.Group, route string, nodes []*Machine, perSecond float64, length, timeLeft time.Duration) {
	rnd := f.rand("crowd " + route)
	senders.Go(func() {
		until := f.Scope.Clock.Mono() + length
		for i := 0; f.Scope.Clock.Mono() < until; i++ {
			senders.Go(func() { c.add(f.ask(nodes[i%len(nodes)], route, timeLeft)) })
			f.Sleep(time.Duration(2 * rnd.Float64() / perSecond * float64(time.Second)))
		}
	})
}

const serviceRate = waitingUpstreams * waitingSlots * float64(time.Second) / float64(usualWork)

var waitingServices = map[string]int{"books": waitingUpstreams, "loans": 2}

func waitingSpec(text string, run func(f *Fleet)) {
	specWith(text, 3, waitingServices, []uint64{1, 2}, run)
}

var _ = ginkgo.Describe("callers while every slot is taken", func() {
	for _, hold := range []time.Duration{800 * time.Millisecond, 2600 * time.Millisecond} {
		for _, target := range []time.Duration{120 * time.Millisecond, 2 * time.Second} {
			for _, rank := range []uint32{0, 1, 2, 3} {
				waitingSpec(fmt.Sprintf("given slots that come free in %s, when callers with 4 s left want an answer within %s at rank %d, then all are served", hold, target, rank), func(f *Fleet) {
					waitingFleet(f, hold, waitingRoute{"search", "books", target, rank, nil}, waitingRoute{"browse", "books", target, rank, nil})
					f.warmUp("search", f.Nodes, 4*time.Second)
					f.warmUp("browse", f.Nodes, 4*time.Second)
					served := &crowd{}
					var callers base.Group
					for range 3 {
						f.takeAllSlots(&callers)
						for i := range 4 {
							for _, route := range []string{"search", "browse"} {
								callers.Go(func() { served.add(f.ask(f.Nodes[i%len(f.Nodes)], route, 4*time.Second)) })
							}
						}
						callers.Wait()
					}
					Expect(served.served).To(Equal(served.sent), "%s: %v", f.Description, served.refusals)
				})
			}
		}
	}

	for _, before := range []string{"nothing", "a caller with 60 s left at each node"} {
		specWith("given "+before+" before, when callers with 2 s left come 20 at a time and the service can take them, then all are served", 3, map[string]int{"books": waitingUpstreams}, []uint64{1, 2}, func(f *Fleet) {
			waitingFleet(f, time.Second, waitingRoute{"search", "books", 120 * time.Millisecond, 2, nil})
			f.warmUp("search", f.Nodes, 2*time.Second)
			if before != "nothing" {
				for _, m := range f.Nodes {
					f.ask(m, "search", time.Minute)
				}
			}
			served := &crowd{}
			var callers base.Group
			for range 25 {
				for i := range 20 {
					callers.Go(func() { served.add(f.ask(f.Nodes[i%len(f.Nodes)], "search", 2*time.Second)) })
				}
				f.Sleep(400 * time.Millisecond)
			}
			callers.Wait()
			Expect(served.served).To(Equal(served.sent), f.Description)
		})
	}

	waitingSpec("given a route that all machines call and one that those of a single service call, when slots come free in 0.8 s, then callers of both are served alike", func(f *Fleet) {
		waitingFleet(f, 800*time.Millisecond, waitingRoute{"search", "books", 120 * time.Millisecond, 2, nil}, waitingRoute{"browse", "books", 120 * time.Millisecond, 2, nil})
		for range 15 {
			f.warmUp("search", f.Nodes, 4*time.Second)
			f.warmUp("browse", f.NodesOf("loans"), 4*time.Second)
		}
		served := map[string]*crowd{"search": {}, "browse": {}}
		var callers base.Group
		for range 4 {
			f.takeAllSlots(&callers)
			for i := range 4 {
				for route, each := range served {
					callers.Go(func() { each.add(f.ask(f.NodesOf("loans")[i%2], route, 4*time.Second)) })
				}
			}
			callers.Wait()
		}
		for route, each := range served {
			Expect(each.served).To(Equal(each.sent), "%s: %s", f.Description, route)
		}
	})
})

var _ = ginkgo.Describe("callers of a service with more load than it can take", func() {
	for _, sites := range []struct {
		what  string
		nodes func(f *Fleet) []*Machine
	}{
		{"all machines", func(f *Fleet) []*Machine { return f.Nodes }},
		{"the machines of another service", func(f *Fleet) []*Machine { return f.NodesOf("loans") }},
	} {
		waitingSpec("given callers at "+sites.what+", when two routes alike but for their target get twice what the service can take, then both are served alike", func(f *Fleet) {
			waitingFleet(f, time.Second, waitingRoute{"search", "books", 120 * time.Millisecond, 2, nil}, waitingRoute{"browse", "books", 2 * time.Second, 2, nil})
			search, browse := &crowd{}, &crowd{}
			var callers base.Group
			f.crowdAt(search, &callers, "search", sites.nodes(f), serviceRate, 8*time.Second, 2*time.Second)
			f.crowdAt(browse, &callers, "browse", sites.nodes(f), serviceRate, 8*time.Second, 2*time.Second)
			callers.Wait()
			shares := []float64{float64(search.served) / float64(search.sent), float64(browse.served) / float64(browse.sent)}
			Expect(shares[0]).To(BeNumerically("~", shares[1], 0.1), "%s: %v", f.Description, shares)
			Expect(shares[0]+shares[1]).To(BeNumerically(">", 0.9), "%s: %v", f.Description, shares)
		})
	}

	for _, target := range []time.Duration{120 * time.Millisecond, 2 * time.Second} {
		waitingSpec(fmt.Sprintf("given a target of %s, when three times what the service can take comes, then its capacity is used, nobody is served late and the rest is refused at once and told when to come", target), func(f *Fleet) {
			waitingFleet(f, time.Second, waitingRoute{"search", "books", target, 2, nil})
			f.warmUp("search", f.Nodes, 2*time.Second)
			served, length := &crowd{}, 8*time.Second
			var callers base.Group
			f.crowdAt(served, &callers, "search", f.Nodes, 3*serviceRate, length, 2*time.Second)
			callers.Wait()
			Expect(float64(served.served)).To(BeNumerically(">", 0.97*serviceRate*length.Seconds()), f.Description)
			Expect(quantile(served.latencies, 0.5)).To(BeNumerically("<=", 2*usualWork+atOnce), f.Description)
			Expect(quantile(served.latencies, 0.99)).To(BeNumerically("<=", 2*usualWork+2*atOnce), f.Description)
			Expect(served.served+len(served.refusals)).To(Equal(served.sent), f.Description)
			Expect(quantile(served.refusals, 0.99)).To(BeNumerically("<=", atOnce), f.Description)
			Expect(served.untold).To(BeZero(), f.Description)
		})
	}
})

var _ = ginkgo.Describe("a caller that is refused", func() {
	waitingSpec("given every slot and every place to wait taken, when a caller is refused, then there is a slot for it when it was told to come, and not long before", func(f *Fleet) {
		hold := 900 * time.Millisecond
		waitingFleet(f, hold, waitingRoute{"search", "books", 120 * time.Millisecond, 2, nil})
		f.warmUp("hold", f.NodesOf("books"), 4*time.Second)
		f.warmUp("search", f.Nodes, 4*time.Second)
		var callers base.Group
		f.takeAllSlots(&callers)
		for i := range waitingUpstreams * waitingSlots {
			callers.Go(func() { f.ask(f.Nodes[i%len(f.Nodes)], "search", 4*time.Second) })
		}
		f.Sleep(atOnce)
		outcome, took := f.ask(f.Nodes[0], "search", 4*time.Second)
		Expect(outcome.Status).To(Equal(http.StatusServiceUnavailable), f.Description)
		Expect(took).To(BeNumerically("<=", atOnce), f.Description)
		f.Sleep(outcome.RetryAfter)
		again, took := f.ask(f.Nodes[0], "search", 3*time.Second)
		Expect(again.Status).To(Equal(http.StatusOK), f.Description)
		Expect(took).To(BeNumerically("<=", 2*usualWork+atOnce), "%s: told %s", f.Description, outcome.RetryAfter)
		Expect(outcome.RetryAfter).To(BeNumerically("<=", 1300*time.Millisecond), f.Description)
		callers.Wait()
	})
})

// Guards against services that wait for each other: a call of an upstream holds its caller's slot while it waits.
var _ = ginkgo.Describe("calls of upstreams, two deep", func() {
	for _, target := range []time.Duration{120 * time.Millisecond, 2 * time.Second} {
		specWith(fmt.Sprintf("given a target of %s, when twice what the last service can take comes, then its capacity is used and nobody is held in vain", target), 3, map[string]int{"books": 2, "loans": 4, "gates": 6}, []uint64{1, 2}, func(f *Fleet) {
			call := func(path string) []string { return []string{"GET " + waitingHost + " " + path} }
			waitingFleet(f, time.Second, waitingRoute{"lend", "gates", target, 2, call("/browse/x")}, waitingRoute{"browse", "loans", target, 2, call("/search/x")}, waitingRoute{"search", "books", target, 2, nil})
			served, length := &crowd{}, 8*time.Second
			var callers base.Group
			f.crowdAt(served, &callers, "lend", f.Nodes, 2*serviceRate, length, 2*time.Second)
			callers.Wait()
			Expect(float64(served.served)).To(BeNumerically(">", 0.8*serviceRate*length.Seconds()), f.Description)
			// Each of three requests works and waits once for as long, and is tried twice at most.
			Expect(quantile(served.latencies, 0.99)).To(BeNumerically("<=", 3*2*2*usualWork), f.Description)
			if len(served.refusals) > 0 {
				Expect(quantile(served.refusals, 0.99)).To(BeNumerically("<=", atOnce), f.Description)
			}
		})
	}
})

var _ = ginkgo.Describe("callers with little time beside callers with much", func() {
	// A call of an upstream ends with its parent's deadline, and nobody repeats it.
	waitingSpec("given twice what a service can take from callers with 2.5 s left, when upstreams call it for callers with 0.5 s left, then these are served, and the others make up for it by coming back", func(f *Fleet) {
		waitingFleet(
			f, time.Second,
			waitingRoute{"lend", "loans", 150 * time.Millisecond, 2, []string{"GET " + waitingHost + " /browse/x"}},
			waitingRoute{"browse", "books", 150 * time.Millisecond, 2, nil}, waitingRoute{"search", "books", time.Second, 2, nil},
		)
		f.warmUp("lend", f.NodesOf("loans"), 2*time.Second)
		f.warmUp("search", f.Nodes, 2*time.Second)
		length, direct, called := 8*time.Second, &crowd{}, &crowd{}
		var callers base.Group
		f.crowdAt(direct, &callers, "search", f.NodesOf("books"), 2*serviceRate, length, 2500*time.Millisecond)
		f.Sleep(time.Second)
		f.crowdAt(called, &callers, "lend", f.NodesOf("loans"), 0.2*serviceRate, length-2*time.Second, 500*time.Millisecond)
		callers.Wait()
		Expect(float64(called.served)/float64(called.sent)).To(BeNumerically(">", 0.9), f.Description)
		Expect(float64(direct.served)).To(BeNumerically(">", 0.8*serviceRate*length.Seconds()), f.Description)
	})
})
