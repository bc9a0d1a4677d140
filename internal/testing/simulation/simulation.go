// Package simulation runs tests on a simulated network in simulated time, which advances only while every goroutine
// waits.
package simulation

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/random"
	"curlewreach/internal/storage"
	"curlewreach/internal/testing/simnet"
)

const (
	// DefaultDelay is the one-way delay between two machines unless a test sets another.
	DefaultDelay = time.Millisecond
	// journalEvents is the number of events that a scope's journal keeps.
	journalEvents = 400
	// finalWait is longer than any timer that a test leaves behind.
	finalWait = time.Minute
)

// Simulation is a simulated network with its own clock. It is safe for concurrent use.
type Simulation struct {
	World *simnet.Network
	Clock *simnet.Clock
	// Wrap, if set, wraps the network of each scope created later.
	Wrap func(base.Net) base.Net

	mu       sync.Mutex
	seed     uint64
	cleanups []func()
	tasks    base.Group
}

// Run runs test in a bubble of simulated time, on a network with the given one-way delay between machines. Afterwards
// it cancels all scopes, runs the cleanups, waits for all tasks and closes the network.
func Run(t *testing.T, delay time.Duration, test func(s *Simulation)) {
	synctest.Test(t, func(*testing.T) {
		defer ginkgo.GinkgoRecover()
		s := &Simulation{Clock: simnet.NewClock(time.Now())}
		s.World = simnet.NewNetwork(random.Seeded(1), func(_, _ string) time.Duration { return delay })
		defer s.end()
		test(s)
	})
}

func (s *Simulation) end() {
	s.mu.Lock()
	cleanups := s.cleanups
	s.mu.Unlock()
	for _, cleanup := range cleanups {
		cleanup()
	}
	s.tasks.Wait()
	s.World.Close()
	time.Sleep(finalWait)
}

// Go runs do in a goroutine; the simulation waits for it before it ends.
func (s *Simulation) Go(do func()) {
	s.tasks.Go(func() {
		defer ginkgo.GinkgoRecover()
		do()
	})
}

// Wait blocks until all goroutines started by Go have ended.
func (s *Simulation) Wait() { s.tasks.Wait() }

// Scope returns a new scope for a process on the machine at ip, with its own source of random numbers and no disk.
func (s *Simulation) Scope(ip string) base.Scope {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seed++
	ctx, cancel := context.WithCancel(context.Background())
	s.cleanups = append(s.cleanups, cancel)
	network := s.World.At(ip, ip)
	if s.Wrap != nil {
		network = s.Wrap(network)
	}
	return base.Scope{
		Context: ctx, Node: ip, Clock: s.Clock, Net: network, Disk: storage.None(),
		Rand: random.Seeded(s.seed), Log: hclog.NewNullLogger(), Journal: base.NewJournal(journalEvents),
	}
}

// Cleanup registers f to be called at the end of the simulation, in the order of registration.
func (s *Simulation) Cleanup(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cleanups = append(s.cleanups, f)
}

// Serve starts an HTTP server at an address, on the machine of that address, until the end of the simulation.
func (s *Simulation) Serve(address string, handler http.Handler) {
	server, err := httpserver.Serve(s.Scope(Host(address)), address, handler)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s.Cleanup(server.Close)
}

// Host returns the IP of an address "ip:port".
func Host(address string) string {
	ip, _, err := net.SplitHostPort(address)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return ip
}

// ManualClock is a clock whose time a test sets.
type ManualClock struct{ Now time.Duration }

// Wall returns the time set, counted from the Unix epoch.
func (c *ManualClock) Wall() time.Time { return time.Unix(0, 0).Add(c.Now) }

// Mono returns the time set.
func (c *ManualClock) Mono() time.Duration { return c.Now }

// EventCounter counts events by name. Its zero value is ready for use and safe for concurrent use.
type EventCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// Add adds times to the count of an event and returns the new count.
func (c *EventCounter) Add(event string, times int) (count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[event] += times
	return c.counts[event]
}
