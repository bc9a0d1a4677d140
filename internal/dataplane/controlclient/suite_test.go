package controlclient

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/testing/simulation"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

func TestControlClient(t *testing.T) {
	simulation.RunSpecs(t, "control client")
}

// Bounds of the nodes that a testbed starts.
const (
	inForce = 2 * time.Second
	contact = 3 * time.Second
)

const books = "books"

// absentController is the address of a controller that is not started.
var absentController = []string{"10.9.0.1:7005"}

// testbed is a simulation with nodes and controllers.
type testbed struct{ *simulation.Simulation }

// spec adds a spec that runs on a testbed.
func spec(text string, test func(s *testbed)) {
	simulation.It(text, func(s *simulation.Simulation) { test(&testbed{s}) })
}

// testNode is the part of a node that communicates with controllers.
type testNode struct {
	*Client
	sink *tracing.Exporter
	// departed are the instances that the node has learned of as departed, departuresKnown whether they are all.
	departed        base.Table[bool]
	departuresKnown atomic.Bool
}

// Ready reports whether a configuration is in force.
func (n *testNode) Ready() bool { return n.Table() != nil }

// startNode starts a node that stops at the end of the spec.
func (s *testbed) startNode(i int, seeds []string) *testNode {
	name, ip := fmt.Sprint("app-", i), fmt.Sprintf("10.9.1.%d", i)
	scope, cancel := s.Scope(ip).WithCancel()
	status := func() *wire.NodeStatus {
		return &wire.NodeStatus{Node: name, Incarnation: "one", Number: 1, Inward: ip + ":7002", Zone: "a", Service: books}
	}
	httpClient := httpserver.NewClientWithDialTimeout(scope, DialTimeout(contact))
	n := &testNode{}
	n.Client = New(scope, Settings{InForce: inForce, Contact: contact, Seeds: seeds}, httpClient, Hooks{
		Status: status, ApplyObservations: func(string, bool, []*wire.Observation) {}, RemoveController: func(string) {}, Sampling: tracing.NewSampler(scope.Rand),
		ApplyDepartures: func(instances []string, confirmed bool) {
			for _, each := range instances {
				n.departed.Put(each, true)
			}
			n.departuresKnown.Store(n.departuresKnown.Load() || confirmed)
		},
	})
	n.sink = tracing.NewExporter(scope, httpClient, n.Responsive, 512)
	var tasks base.Group
	tasks.Go(func() { n.Run(scope) })
	tasks.Go(func() { n.sink.Run(scope, time.Second) })
	s.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return n
}

func testConfiguration(serial uint64) *wire.Configuration {
	return simulation.Configuration(serial, books)
}
