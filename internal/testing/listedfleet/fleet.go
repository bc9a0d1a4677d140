// Package listedfleet runs a whole fleet of listed machines in memory: the real controller and node processes over a
// simulated network, simulated disks and clocks (simnet), within a testing/synctest bubble, with test upstreams and
// clients. Tests inject faults, and internal/testing/judge checks the recorded history. docs/proof.md describes the tests.
package listedfleet

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/listedcore"
	"curlewreach/internal/listednode"
	"curlewreach/internal/random"
	"curlewreach/internal/storage"
	"curlewreach/internal/testing/judge"
	"curlewreach/internal/testing/simnet"
	"curlewreach/internal/testing/standin"
	"curlewreach/proto/wire"
)

const (
	// sameMachineDelay, sameZoneDelay and crossZoneDelay are the usual one-way delays of a packet within a machine,
	// within a zone and between zones.
	sameMachineDelay = 20 * time.Microsecond
	sameZoneDelay    = 200 * time.Microsecond
	crossZoneDelay   = 1 * time.Millisecond
	peersPort        = 7001
	clientsPort      = 7002
	upstreamsPort    = 7003
	opsPort          = 7004
	operatorsPort    = 7005
	// journalLimit is the number of events that each machine's journal keeps.
	journalLimit = 5000
	// reportInterval is the interval of an upstream's reports to its node.
	reportInterval = 500 * time.Millisecond
)

// Machine is a simulated machine. Its process is a controller if Core is set, otherwise a node; Controller and Node are
// nil while no process runs. Disk, Clock and Journal outlive a process.
type Machine struct {
	*wire.Machine
	IP             string
	Disk           *simnet.Disk
	Clock          *simnet.Clock
	Journal        *base.Journal
	Node           *listednode.Process
	Controller     *listedcore.Process
	mount          *simnet.Mount
	thaw           func()
	stopping       atomic.Bool
	running        atomic.Bool
	starts         int
	endDisturbance func()
	cancel         context.CancelFunc
}

// PortAddress returns the machine's address for a port, as "ip:port".
func (m *Machine) PortAddress(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// processName identifies one run of the machine's process on the network. The random choices of the process depend on
// it.
func (m *Machine) processName() string { return fmt.Sprintf("%s life %d", m.Name, m.starts) }

// Fleet is a simulated fleet: controllers, nodes, upstreams, clients and an operator on one simulated network, with the
// recorded history. The same Seed gives the same random choices.
type Fleet struct {
	Scope       base.Scope
	Seed        uint64
	World       *simnet.Network
	Controllers []*Machine
	Nodes       []*Machine
	Upstreams   []*standin.Upstream
	History     *judge.History
	// Description names the run and its faults in failure messages.
	Description string
	// Diskless starts nodes without a data folder.
	Diskless       bool
	OperatorKey    ed25519.PrivateKey
	OperatorClient *listedcore.Client
	// InitialBundle lists the machines and is the first bundle that an operator applies.
	InitialBundle *wire.Bundle
	// Behaviors are those of new upstreams, and Plan is what the clients of StartLoad request.
	Behaviors []standin.Behavior
	Plan      []standin.PlannedRequest
	// AdjustNodeParams and AdjustControllerParams, if set, change the params of each process before it starts.
	AdjustNodeParams       func(*wire.VaneParams)
	AdjustControllerParams func(*wire.KeelParams)
	trustedKeys            []string
	seeds                  []string
	startTime              time.Time
	cancelLoad             context.CancelFunc
	loadTasks              base.Group
	// mu guards Controller and Node of each machine, which sampleNodes reads.
	mu             sync.Mutex
	cancelSampling context.CancelFunc
}

// New returns a fleet of the machines in the bundle, none of them running, and assigns their addresses. All random
// choices follow from the seed. It must be called within a synctest bubble, and the fleet must be closed with Close.
func New(seed uint64, initialBundle *wire.Bundle) *Fleet {
	f := &Fleet{Seed: seed, InitialBundle: proto.Clone(initialBundle).(*wire.Bundle), startTime: time.Now()}
	zones := map[string]string{}
	f.World = simnet.NewNetwork(f.rand("world"), func(from, to string) time.Duration {
		switch {
		case from == to:
			return sameMachineDelay
		case zones[from] == zones[to]:
			return sameZoneDelay
		}
		return crossZoneDelay
	})
	var operators []string
	for i, each := range f.InitialBundle.Common.Machines {
		ip := fmt.Sprintf("10.9.0.%d", i+1)
		each.Address = fmt.Sprintf("%s:%d", ip, peersPort)
		zones[ip] = each.Zone
		m := &Machine{Machine: each, IP: ip, Disk: simnet.NewDisk(f.rand("disk " + each.Name)), Clock: simnet.NewClock(f.startTime), Journal: base.NewJournal(journalLimit)}
		if each.Core {
			f.Controllers = append(f.Controllers, m)
			f.seeds = append(f.seeds, each.Address)
			operators = append(operators, m.PortAddress(operatorsPort))
		} else {
			f.Nodes = append(f.Nodes, m)
		}
	}
	seedBytes := make([]byte, ed25519.SeedSize)
	seedBytes[0] = byte(seed)
	f.OperatorKey = ed25519.NewKeyFromSeed(seedBytes)
	f.trustedKeys = []string{base64.StdEncoding.EncodeToString(f.OperatorKey.Public().(ed25519.PublicKey))}
	f.Scope = f.newScope("story", "10.9.9.9", simnet.NewDisk(f.rand("story disk")), simnet.NewClock(f.startTime), base.NewJournal(journalLimit))
	f.History = judge.NewHistory(f.Scope.Clock)
	for _, m := range f.Machines() {
		m.Journal.Subscribe(journalRecorder{f.History, m.Name})
	}
	f.OperatorClient = &listedcore.Client{HTTPClient: &http.Client{Transport: &http.Transport{DialContext: f.Scope.Net.Dial, DisableKeepAlives: true}, Timeout: 5 * time.Second}, Controllers: operators, OnSigned: f.History.RecordSigned}
	s, cancel := f.Scope.WithCancel()
	f.cancelSampling = cancel
	go f.sampleNodes(s)
	return f
}

// rand returns a source of random numbers that depends on the fleet's seed and the name only.
func (f *Fleet) rand(name string) *random.Source { return simnet.NamedRand(f.Seed, name) }

func (f *Fleet) newScope(name, ip string, disk storage.Disk, clock base.Clock, journal *base.Journal) base.Scope {
	return f.World.NewScope(f.Seed, name, ip, disk, clock, journal)
}

// StartProcess starts the machine's process on the disk that earlier runs left, and ends a disturbance that Kill or
// PowerLoss recorded. It returns the error of the start.
func (f *Fleet) StartProcess(m *Machine) error {
	m.starts++
	m.mount = simnet.NewMount(m.Disk)
	s := f.newScope(m.processName(), m.IP, m.mount, m.Clock, m.Journal)
	s, m.cancel = s.WithCancel()
	if m.endDisturbance != nil {
		m.endDisturbance()
		m.endDisturbance = nil
	}
	if m.Core {
		params := &wire.KeelParams{Name: m.Name, Zone: m.Zone, Mates: m.Address, Operators: m.PortAddress(operatorsPort), Seeds: f.seeds, Folder: "data", Trusted: f.trustedKeys}
		if f.AdjustControllerParams != nil {
			f.AdjustControllerParams(params)
		}
		controller, err := listedcore.Start(s, params)
		f.mu.Lock()
		defer f.mu.Unlock()
		m.Controller = controller
		m.running.Store(err == nil)
		return err
	}
	folder := "data"
	if f.Diskless {
		s.Disk, folder = storage.None(), ""
	}
	params := &wire.VaneParams{
		Name: m.Name, Zone: m.Zone, Mates: m.Address, Visitors: m.PortAddress(clientsPort), Upstreams: m.PortAddress(upstreamsPort), Ops: m.PortAddress(opsPort),
		Seeds: f.seeds, Folder: folder, Trusted: f.trustedKeys,
	}
	if f.AdjustNodeParams != nil {
		f.AdjustNodeParams(params)
	}
	node, err := listednode.Start(s, params)
	f.mu.Lock()
	defer f.mu.Unlock()
	m.Node = node
	m.running.Store(err == nil)
	return err
}

// Kill ends the machine's process at once, without a graceful stop. If one ran, it records an unplanned disturbance until
// StartProcess.
func (f *Fleet) Kill(m *Machine) {
	f.beginOutage(m, "killed")
	f.terminate(m, false)
}

// PowerLoss ends the machine's process at once and drops what its disk hasn't synced. Peers see no connection close. If
// the process ran, it records an unplanned disturbance until StartProcess.
func (f *Fleet) PowerLoss(m *Machine) {
	f.beginOutage(m, "power lost")
	f.terminate(m, true)
	m.Disk.PowerLoss()
}

// beginOutage records an unplanned disturbance of a machine that runs, until its next start.
func (f *Fleet) beginOutage(m *Machine, cause string) {
	if m.cancel != nil {
		m.endDisturbance = f.History.RecordDisturbance(m.Name, cause, false)
	}
}

// Stop stops the machine's process gracefully, and waits for it. It records a planned disturbance for that time.
func (f *Fleet) Stop(m *Machine) {
	end := f.History.RecordDisturbance(m.Name, "stop", true)
	m.stopping.Store(true)
	defer m.stopping.Store(false)
	switch {
	case m.Node != nil:
		m.Node.Stop()
	case m.Controller != nil:
		m.Controller.Stop()
	}
	f.terminate(m, false)
	end()
}

// Freeze suspends the machine's process, that is, its clock, network and disk, until thaw is called or the process ends.
// It records an unplanned disturbance for that time. thaw may be called repeatedly.
func (f *Fleet) Freeze(m *Machine) (thaw func()) {
	end := f.StartDisturbance(m.Name, "frozen")
	process := m.processName()
	m.Clock.Freeze(true)
	f.World.Freeze(process)
	release := m.Disk.Stall()
	var once sync.Once
	m.thaw = func() {
		once.Do(func() {
			m.Clock.Freeze(false)
			f.World.Thaw(process)
			release()
			end()
		})
	}
	return m.thaw
}

// StartDisturbance records an unplanned disturbance of the named machine from now until end is called.
func (f *Fleet) StartDisturbance(name, cause string) (end func()) {
	return f.History.RecordDisturbance(name, cause, false)
}

// terminate ends the machine's process at once, if it runs, and resumes it first if it is frozen. If silent, its peers
// see no connection close.
func (f *Fleet) terminate(m *Machine, silent bool) {
	if m.cancel == nil {
		return
	}
	m.running.Store(false)
	m.cancel()
	m.mount.Unmount()
	f.World.Crash(m.IP, m.processName(), silent)
	if m.thaw != nil {
		m.thaw()
	}
	if m.Controller != nil {
		m.Controller.Kill()
	}
	if m.Node != nil {
		m.Node.Kill()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	m.Controller, m.Node, m.cancel = nil, nil, nil
}

// StartUpstream starts an upstream of a service beside the machine's node. The capacity is in concurrent requests.
func (f *Fleet) StartUpstream(m *Machine, service string, port, capacity int) (*standin.Upstream, error) {
	u := &standin.Upstream{
		Scope:   f.newScope(fmt.Sprintf("%s %s %d %d", m.Name, service, port, len(f.Upstreams)), m.IP, m.Disk, m.Clock, m.Journal),
		Service: service, Address: m.PortAddress(port), Zone: m.Zone, Capacity: capacity, NodeAddress: m.PortAddress(upstreamsPort), Behaviors: f.Behaviors, History: f.History,
	}
	f.Upstreams = append(f.Upstreams, u)
	return u, u.Start(reportInterval)
}

// StartLoad starts clients at every node, which make requests at the given total rate per second until StopLoad.
func (f *Fleet) StartLoad(rate float64) {
	s, cancel := f.Scope.WithCancel()
	f.cancelLoad = cancel
	for _, m := range f.Nodes {
		clientScope := f.newScope("visitors "+m.Name, m.IP, m.Disk, m.Clock, m.Journal)
		clients := &standin.Clients{Scope: clientScope, Name: m.Name, NodeAddress: m.PortAddress(clientsPort), Rate: rate / float64(len(f.Nodes)), Plan: f.Plan, History: f.History}
		f.loadTasks.Go(func() { clients.Run(clientScope.WithContext(s)) })
	}
}

// StopLoad stops the clients of StartLoad and waits for the answers to their requests.
func (f *Fleet) StopLoad() {
	if f.cancelLoad != nil {
		f.cancelLoad()
		f.loadTasks.Wait()
		f.cancelLoad = nil
	}
}

// Close stops the clients, kills all upstreams and processes, closes the network, and waits until no goroutine is left in
// the bubble.
func (f *Fleet) Close() {
	f.StopLoad()
	f.cancelSampling()
	for _, u := range f.Upstreams {
		u.Kill()
	}
	for _, m := range f.Machines() {
		f.terminate(m, false)
	}
	f.OperatorClient.HTTPClient.CloseIdleConnections()
	f.World.Close()
	time.Sleep(time.Minute)
}

// Sleep waits for d on the fleet's clock.
func (f *Fleet) Sleep(d time.Duration) { base.Await(f.Scope, d) }

// WaitUntil checks the condition every 5 ms, for at most timeout, and reports whether it became true.
func (f *Fleet) WaitUntil(timeout time.Duration, condition func() bool) bool {
	for start := time.Now(); time.Since(start) < timeout; f.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Ready reports whether all processes on the machines are ready. A machine without a running process counts as ready.
func (f *Fleet) Ready(machines []*Machine) bool {
	for _, m := range machines {
		if m.Controller != nil && !m.Controller.ControlPlane.Ready() || m.Node != nil && !m.Node.Node.Ready() {
			return false
		}
	}
	return true
}

// AllNodesHaveSerial reports whether all running nodes hold the bundle with the serial or a newer one.
func (f *Fleet) AllNodesHaveSerial(serial uint64) bool {
	for _, m := range f.Nodes {
		if m.Node != nil && (m.Node.Node.Bundle() == nil || m.Node.Node.Bundle().Serial < serial) {
			return false
		}
	}
	return true
}

// Apply drafts, signs and submits a change as an operator does, and records the outcome in the history.
func (f *Fleet) Apply(submission string, request *wire.DraftRequest) (*wire.Outcome, error) {
	outcome, err := f.OperatorClient.Apply(f.Scope, submission, request, f.OperatorKey)
	if err == nil {
		f.History.RecordOutcome(outcome)
	}
	return outcome, err
}

// Partition cuts the links between two machines, in both directions.
func (f *Fleet) Partition(a, b *Machine) {
	f.World.Cut(a.IP, b.IP)
	f.World.Cut(b.IP, a.IP)
}

// Bounds returns the bounds that the judge checks the history against.
func (f *Fleet) Bounds() judge.Bounds { return judge.DefaultBounds() }

// Machines returns all machines, the nodes first.
func (f *Fleet) Machines() []*Machine {
	return append(append([]*Machine{}, f.Nodes...), f.Controllers...)
}

// Isolate cuts the links between a machine and all others, in both directions.
func (f *Fleet) Isolate(m *Machine) {
	for _, other := range f.Machines() {
		if other != m {
			f.Partition(m, other)
		}
	}
}
