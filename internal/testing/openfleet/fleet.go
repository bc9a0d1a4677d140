// Package openfleet runs a fleet without a fixed list of nodes in memory: control plane replicas, data plane nodes with
// an upstream beside each, clients and operators. Tests inject faults and check the recorded History against rules.
package openfleet

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
	"curlewreach/internal/controlplane"
	"curlewreach/internal/dataplane"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/random"
	"curlewreach/internal/storage"
	"curlewreach/internal/testing/simnet"
	"curlewreach/proto/wire"
)

const (
	sameMachineDelay  = 20 * time.Microsecond
	sameZoneDelay     = 200 * time.Microsecond
	crossZoneDelay    = 1 * time.Millisecond
	outboundPort      = 7001
	inboundPort       = 7002
	readyPort         = 7003
	controlPort       = 7004
	operatorPort      = 7005
	upstreamPort      = 8080
	journalLimit      = 400
	heartbeatInterval = 500 * time.Millisecond
	drainBound        = 2 * time.Second        // an instance gets no request later than this after its departure is acknowledged
	inForceBound      = 2 * time.Second        // an acknowledged configuration is in force at every node in contact within this time
	stopGrace         = 6 * time.Second        // grace period of a graceful stop
	contactBound      = 4 * time.Second        // a disturbance may have effects for this long after its end
	rollbackSlack     = 250 * time.Millisecond // an older configuration may be seen for this long after a newer one
	stopSlack         = 500 * time.Millisecond // tolerance of RuleGracefulStop
	retryRatio        = 0.2
	retryWindow       = 10 * time.Second
	retrySlack        = 20
	controllerPrefix  = "core"  // prefix of the names of control plane replicas; in a History, the control plane as a whole
	allLinks          = "links" // in a History, the links of all machines
)

// Machine is a simulated machine. Its process is either a replica of the control plane (IsController) or a data plane
// node with an Upstream beside it; Controller and Node are nil while no process runs.
type Machine struct {
	Name           string
	Zone           string
	IP             string
	Service        string
	IsController   bool
	Disk           *simnet.Disk
	Clock          *simnet.Clock
	Journal        *base.Journal
	Node           *dataplane.Node
	Controller     *controlplane.Server
	Upstream       *Upstream
	mount          *simnet.Mount
	client         *client
	starts         atomic.Int64
	inRotation     atomic.Bool
	retired        atomic.Bool
	failedProbes   int
	endDisturbance func()
	cancel         context.CancelFunc
}

// Address returns the machine's address for a port, as "ip:port".
func (m *Machine) Address(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// processName identifies one run of the machine's process on the network. Random choices depend on it.
func (m *Machine) processName() string { return fmt.Sprintf("%s life %d", m.Name, m.starts.Load()) }

// Fleet is a simulated mesh: control plane replicas, data plane nodes with their upstreams, clients and operators, on
// one simulated network. Workload is what clients request, Behaviors are given to new upstreams, CapacityOf returns
// their capacity and queue length in requests, and AdjustParams, if set, adjusts the settings of each node before it
// starts. InitialConfiguration is pushed first, and Description names the fleet in failure messages. The same Seed
// gives the same random choices.
type Fleet struct {
	Scope                base.Scope
	Seed                 uint64
	World                *simnet.Network
	Controllers          []*Machine
	Nodes                []*Machine
	retiredNodes         []*Machine
	nodeCount            int
	History              *History
	Workload             []RequestClass
	Behaviors            []Behavior
	CapacityOf           func(service string) (capacity, queue int)
	AdjustParams         func(*wire.NodeParams)
	InitialConfiguration *wire.Configuration
	Description          string
	zones                base.Table[string]
	zoneDelay            time.Duration // one way, between machines of different zones
	seeds                []string
	startTime            time.Time
	configuration        *wire.Configuration
	cancelLoad           context.CancelFunc
	loadTasks            base.Group
	mu                   sync.Mutex
	upstreamCount        atomic.Int64
	nextID               atomic.Int64
}

// New builds a fleet with the given number of control plane replicas and of nodes by service, spread over three zones.
// No process runs until StartProcess.
func New(seed uint64, controllers int, services map[string]int) *Fleet {
	f := &Fleet{Seed: seed, startTime: time.Now(), zoneDelay: crossZoneDelay}
	f.World = simnet.NewNetwork(f.rand("world"), func(from, to string) time.Duration {
		switch {
		case from == to:
			return sameMachineDelay
		case f.zone(from) == f.zone(to):
			return sameZoneDelay
		}
		return f.zoneDelay
	})
	f.Scope = f.newScope("story", "10.9.9.9", simnet.NewDisk(f.rand("story disk")), simnet.NewClock(f.startTime), base.NewJournal(journalLimit))
	f.History = NewHistory(f.Scope.Clock)
	f.CapacityOf = func(string) (int, int) { return 8, 16 }
	for i := range controllers {
		m := f.newMachine(fmt.Sprintf("%s-%d", controllerPrefix, i+1), fmt.Sprintf("10.9.0.%d", i+1), i)
		m.IsController = true
		f.Controllers = append(f.Controllers, m)
		f.seeds = append(f.seeds, m.Address(inboundPort))
	}
	for _, service := range sortedKeys(services) {
		for range services[service] {
			f.AddNode(service, "")
		}
	}
	return f
}

// AddNode adds a machine for a service. An empty ip gives it an address of its own; it may also take over the address
// of a retired machine.
func (f *Fleet) AddNode(service, ip string) *Machine {
	i := f.nodeCount
	f.nodeCount++
	if ip == "" {
		ip = fmt.Sprintf("10.9.1.%d", i+1)
	}
	m := f.newMachine(fmt.Sprintf("app-%d", i+1), ip, i)
	m.Service = service
	m.client = &client{scope: f.newScope("visitors "+m.Name, m.IP, m.Disk, m.Clock, m.Journal), history: f.History, address: m.Address(outboundPort), name: "visitors " + m.Name}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Nodes = append(f.Nodes, m)
	return m
}

// newMachine returns a machine in the zone of its address. The first machine at an address decides its zone, by i.
func (f *Fleet) newMachine(name, ip string, i int) *Machine {
	if f.zone(ip) == "" {
		f.zones.Put(ip, string(rune('a'+i%3)))
	}
	zone := f.zone(ip)
	return &Machine{Name: name, Zone: zone, IP: ip, Disk: simnet.NewDisk(f.rand("disk " + name)), Clock: simnet.NewClock(f.startTime), Journal: base.NewJournal(journalLimit)}
}

func (f *Fleet) zone(ip string) string {
	zone, _ := f.zones.Get(ip)
	return zone
}

// rand returns a source of random numbers that depends on the fleet's seed and the name only.
func (f *Fleet) rand(name string) *random.Source { return simnet.NamedRand(f.Seed, name) }

func (f *Fleet) newScope(name, ip string, disk storage.Disk, clock base.Clock, journal *base.Journal) base.Scope {
	return f.World.NewScope(f.Seed, name, ip, disk, clock, journal)
}

// StartProcess starts the machine's process on the disk that earlier runs left, and ends a disturbance that Kill or
// PowerLoss recorded. It returns the error of the start.
func (f *Fleet) StartProcess(m *Machine) error {
	m.starts.Add(1)
	m.mount = simnet.NewMount(m.Disk)
	s := f.newScope(m.processName(), m.IP, m.mount, m.Clock, m.Journal)
	s, m.cancel = s.WithCancel()
	if m.endDisturbance != nil {
		m.endDisturbance()
		m.endDisturbance = nil
	}
	if m.IsController {
		controller, err := controlplane.Start(s, &wire.ControllerParams{
			Name: m.Name, Zone: m.Zone, Peers: m.Address(inboundPort), Operators: m.Address(operatorPort), Seeds: f.seeds, Founding: m.starts.Load() == 1, Folder: "data",
			Ack: durationpb.New(4 * time.Second), InForce: durationpb.New(inForceBound), Grace: durationpb.New(stopGrace),
		}, operatorHandler)
		f.mu.Lock()
		defer f.mu.Unlock()
		m.Controller = controller
		return err
	}
	node, err := dataplane.Start(s, f.nodeParams(m), forwarding.DefaultHeaderNames, nodeControlHandler)
	f.mu.Lock()
	defer f.mu.Unlock()
	m.Node = node
	return err
}

// nodeParams returns the settings with which a node starts.
func (f *Fleet) nodeParams(m *Machine) *wire.NodeParams {
	params := &wire.NodeParams{
		Name: m.Name, Zone: m.Zone, Service: m.Service, Upstream: m.Address(upstreamPort), Outward: m.Address(outboundPort), Inward: m.Address(inboundPort),
		Ready: m.Address(readyPort), Control: m.Address(controlPort), Seeds: f.seeds, Cores: 1, MemoryMb: 64, Descriptors: 1024,
		Beat: durationpb.New(heartbeatInterval), Leaving: durationpb.New(drainBound), InForce: durationpb.New(inForceBound), Grace: durationpb.New(stopGrace),
		RepeatRatio: retryRatio, RepeatWindow: durationpb.New(retryWindow), RepeatSlack: retrySlack,
	}
	if f.AdjustParams != nil {
		f.AdjustParams(params)
	}
	return params
}

// StartUpstream starts a new upstream of the machine's service beside its node. It panics if the upstream can't listen.
func (f *Fleet) StartUpstream(m *Machine) *Upstream {
	u := f.NewUpstream(m, m.Service, upstreamPort)
	m.Upstream = u
	if err := u.Start(); err != nil {
		panic(err)
	}
	return u
}

// NewUpstream returns a new instance of a service on a machine and port, without starting it.
func (f *Fleet) NewUpstream(m *Machine, service string, port int) *Upstream {
	capacity, queue := f.CapacityOf(service)
	id := fmt.Sprintf("i-%s-%d", service, f.upstreamCount.Add(1))
	return &Upstream{
		ID: id, Service: service, Address: m.Address(port), Zone: m.Zone, Capacity: capacity, Queue: queue, Behaviors: f.Behaviors,
		slowdown: 1, machine: m, fleet: f, scope: f.newScope(id, m.IP, m.Disk, m.Clock, m.Journal),
	}
}

// beginOutage records an unplanned disturbance of a machine that runs, until its next start.
func (f *Fleet) beginOutage(m *Machine, cause string) {
	if m.cancel != nil && m.endDisturbance == nil {
		m.endDisturbance = f.History.StartDisturbance(m.Name, cause, false)
	}
}

// Kill ends the machine's process at once, without a graceful stop, and records an unplanned disturbance until
// StartProcess. The upstream keeps running.
func (f *Fleet) Kill(m *Machine) {
	f.beginOutage(m, "killed")
	f.terminate(m, false)
}

// PowerLoss ends the machine's process and upstream at once, drops what its disk hasn't synced and cuts all its links,
// so that its peers see no connection close. It records an unplanned disturbance until StartProcess.
func (f *Fleet) PowerLoss(m *Machine) {
	f.beginOutage(m, "power lost")
	f.setIsolated(m, true)
	f.World.Crash(m.IP, "", true)
	f.terminate(m, true)
	if m.Upstream != nil {
		m.Upstream.shutDown(true)
	}
	m.Disk.PowerLoss()
}

// setIsolated cuts or heals the links between a machine and all others.
func (f *Fleet) setIsolated(m *Machine, isolated bool) {
	for _, other := range append(append([]*Machine{}, f.Controllers...), f.Nodes...) {
		switch {
		case other == m:
		case isolated:
			f.Partition(m, other)
		default:
			f.World.Heal(m.IP, other.IP)
			f.World.Heal(other.IP, m.IP)
		}
	}
}

// RestorePower heals the links of a machine after PowerLoss; StartProcess starts it again.
func (f *Fleet) RestorePower(m *Machine) { f.setIsolated(m, false) }

// Stop ends the machine's process gracefully and waits for it. It records a planned disturbance that lasts until 1 s
// after the end.
func (f *Fleet) Stop(m *Machine) {
	end := f.History.StartDisturbance(m.Name, "stop", true)
	if m.Node != nil {
		m.Node.Stop()
	} else if m.Controller != nil {
		m.Controller.Stop()
	}
	f.terminate(m, false)
	time.AfterFunc(time.Second, end)
}

// terminate ends the machine's process at once, if it runs. If silent, its peers see no connection close.
func (f *Fleet) terminate(m *Machine, silent bool) {
	if m.cancel == nil {
		return
	}
	m.cancel()
	m.mount.Unmount()
	f.World.Crash(m.IP, m.processName(), silent)
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

// Close stops the clients, kills every process and upstream, and closes the network. The fleet can't be used
// afterwards.
func (f *Fleet) Close() {
	f.StopLoad()
	for _, m := range append(f.Nodes, f.retiredNodes...) {
		if m.Upstream != nil {
			m.Upstream.Kill()
		}
		f.terminate(m, false)
		m.client.close()
	}
	for _, m := range f.Controllers {
		f.terminate(m, false)
	}
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

// NodesOf returns the machines of a service, in the order in which they were added.
func (f *Fleet) NodesOf(service string) (found []*Machine) {
	for _, m := range f.Nodes {
		if m.Service == service {
			found = append(found, m)
		}
	}
	return found
}

// Ready reports whether all processes on the machines are ready. A machine without a running process counts as ready.
func (f *Fleet) Ready(machines []*Machine) bool {
	for _, m := range machines {
		if m.Controller != nil && !m.Controller.Ready() || m.Node != nil && !m.Node.Ready() {
			return false
		}
	}
	return true
}

// NextConfiguration returns a copy of the newest acknowledged configuration with that as its base and a higher serial,
// to be changed and proposed.
func (f *Fleet) NextConfiguration() *wire.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := proto.Clone(f.configuration).(*wire.Configuration)
	next.Base, next.Serial = next.Serial, next.Serial+2
	return next
}

func httpGetStatus(s base.Scope, httpClient *http.Client, url string) (int, error) {
	request, err := http.NewRequestWithContext(s, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// StartDisturbance records an unplanned disturbance of the named machine from now until end is called.
func (f *Fleet) StartDisturbance(name, cause string) (end func()) {
	return f.History.StartDisturbance(name, cause, false)
}

// Partition holds back all traffic between two machines, in both directions, until World.Heal or World.HealAll.
func (f *Fleet) Partition(a, b *Machine) {
	f.World.Cut(a.IP, b.IP)
	f.World.Cut(b.IP, a.IP)
}

// Retire removes a machine for good: its node and upstream are killed and clients no longer send requests to it.
func (f *Fleet) Retire(m *Machine) {
	f.mu.Lock()
	f.Nodes = slices.DeleteFunc(f.Nodes, func(node *Machine) bool { return node == m })
	f.retiredNodes = append(f.retiredNodes, m)
	f.mu.Unlock()
	m.retired.Store(true)
	f.Kill(m)
	m.Upstream.Kill()
}

// Freeze blocks the network operations and disk writes of the machine's process until thaw is called, as if the process
// was suspended; its clock and timers run on. It records an unplanned disturbance for that time.
func (f *Fleet) Freeze(m *Machine) (thaw func()) {
	end := f.StartDisturbance(m.Name, "frozen")
	process := m.processName()
	m.Clock.Freeze(true)
	f.World.Freeze(process)
	release := m.Disk.Stall()
	return func() {
		m.Clock.Freeze(false)
		f.World.Thaw(process)
		release()
		end()
	}
}
