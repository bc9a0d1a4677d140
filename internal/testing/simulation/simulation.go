// Package simulation gives tests a simulated network and steady clocks, in time that passes only when every goroutine waits.
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
	// DefaultDelay is the delay between two machines, one way, where a test says nothing else.
	DefaultDelay = time.Millisecond
	// journalEvents is how many events a scope's journal keeps.
	journalEvents = 400
	// lastTimers is longer than any timer that a test leaves behind.
	lastTimers = time.Minute
)

// Simulation is a network with a clock of its own. It is safe for concurrent use.
type Simulation struct {
	World *simnet.Network
	Clock *simnet.Clock
	// Wrap changes the network that later scopes are given; nil for no change.
	Wrap func(base.Net) base.Net

	mu       sync.Mutex
	seed     uint64
	cleanups []func()
	tasks    base.Group
}

// Run calls test in a bubble of simulated time, on a network whose machines are delay apart, one way. All that the test
// started through the simulation is ended afterwards.
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
	time.Sleep(lastTimers)
}

// Go runs do beside the test; the simulation waits for it at its end.
func (s *Simulation) Go(do func()) {
	s.tasks.Go(func() {
		defer ginkgo.GinkgoRecover()
		do()
	})
}

// Wait blocks until all that Go started has ended.
func (s *Simulation) Wait() { s.tasks.Wait() }

// Scope returns the surroundings of a process on the machine at ip, with randomness of its own.
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

// Cleanup calls f at the end of the simulation, in the order of the calls.
func (s *Simulation) Cleanup(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cleanups = append(s.cleanups, f)
}

// Serve opens an HTTP server at the address on the machine that the address names.
func (s *Simulation) Serve(address string, handler http.Handler) {
	door, err := httpserver.Serve(s.Scope(Host(address)), address, handler)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	s.Cleanup(door.Close)
}

// Host returns the machine's part of an address.
func Host(address string) string {
	ip, _, err := net.SplitHostPort(address)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return ip
}

// ManualClock is a clock that a test sets.
type ManualClock struct{ Now time.Duration }

// Wall returns the time set, as one after the epoch.
func (c *ManualClock) Wall() time.Time { return time.Unix(0, 0).Add(c.Now) }

// Mono returns the time set.
func (c *ManualClock) Mono() time.Duration { return c.Now }

// EventCounter counts events by name. Its zero value is ready for use, also by several goroutines.
type EventCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// Add counts an event so many times more and returns its count.
func (t *EventCounter) Add(event string, times int) (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	t.counts[event] += times
	return t.counts[event]
}
