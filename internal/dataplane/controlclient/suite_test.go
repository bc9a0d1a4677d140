package controlclient

import (
	"fmt"
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

// Bounds of the nodes that a stand starts.
const (
	inForce = 2 * time.Second
	contact = 3 * time.Second
)

const books = "books"

var noControllers = []string{"10.9.0.1:7005"}

// stand is a simulation on which nodes and control machines are set up.
type stand struct{ *simulation.Simulation }

func story(text string, tell func(s *stand)) {
	simulation.It(text, func(s *simulation.Simulation) { tell(&stand{s}) })
}

// node is as much of a node as speaks to control machines.
type node struct {
	*Client
	sink *tracing.Exporter
}

// Ready tells whether a configuration is in force.
func (n *node) Ready() bool { return n.Table() != nil }

// node starts a node.
func (s *stand) node(i int, seeds []string) *node {
	name, ip := fmt.Sprint("app-", i), fmt.Sprintf("10.9.1.%d", i)
	scope, cancel := s.Scope(ip).WithCancel()
	status := func() *wire.NodeStatus {
		return &wire.NodeStatus{Node: name, Incarnation: "one", Number: 1, Inward: ip + ":7002", Zone: "a", Service: books}
	}
	web := httpserver.NewClientWithDialTimeout(scope, DialTimeout(contact))
	n := &node{Client: New(scope, Settings{InForce: inForce, Contact: contact, Seeds: seeds}, web, Hooks{
		Status: status, ApplyObservations: func(string, bool, []*wire.Observation) {}, RemoveController: func(string) {}, Sampling: tracing.NewSampler(scope.Rand),
	})}
	n.sink = tracing.NewExporter(scope, web, n.Responsive, 512)
	var tasks base.Group
	tasks.Go(func() { n.Run(scope) })
	tasks.Go(func() { n.sink.Run(scope, time.Second) })
	s.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	return n
}

func aConfiguration(serial uint64) *wire.Configuration {
	return simulation.Configuration(serial, books)
}
