// Package openfleet runs an open fleet in memory: control machines, nodes with an upstream beside each, visitors and an operator.
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
	nearby        = 20 * time.Microsecond
	sameZone      = 200 * time.Microsecond
	crossZone     = 1 * time.Millisecond
	outwardPort   = 7001
	inwardPort    = 7002
	readyPort     = 7003
	controlPort   = 7004
	operatorsPort = 7005
	upstreamPort  = 8080
	journalBound  = 400
	beatEvery     = 500 * time.Millisecond
	leavingBound  = 2 * time.Second
	inForceBound  = 2 * time.Second
	graceBound    = 6 * time.Second
	contact       = 4 * time.Second
	revertSlack   = 250 * time.Millisecond
	lossSlack     = 500 * time.Millisecond
	repeatRatio   = 0.2
	repeatWindow  = 10 * time.Second
	repeatSlack   = 20
	corePrefix    = "core"  // of the names of control machines, and the core as a whole
	allLinks      = "links" // in a history, the links of all machines
)

// Machine is a simulated machine. Its process is either a replica of the control plane (Core) or a data
// plane node with an Upstream beside it; Control machine and Node are nil while no process runs.
type Machine struct {
	Name         string
	Zone         string
	IP           string
	Service      string
	IsController bool
	Disk         *simnet.Disk
	Clock        *simnet.Clock
	Journal      *base.Journal
	Node         *dataplane.Node
	Controller   *controlplane.Server
	Upstream     *Upstream
	mount        *simnet.Mount
	visitors     *client
	lives        atomic.Int64
	in           atomic.Bool
	retired      atomic.Bool
	misses       int
	back         func()
	cancel       context.CancelFunc
}

// Address returns the machine's address for a port, as "ip:port".
func (m *Machine) Address(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

func (m *Machine) owner() string { return fmt.Sprintf("%s life %d", m.Name, m.lives.Load()) }

// Fleet is a simulated mesh: control plane replicas, data plane nodes with their upstreams, clients and
// operators, on one simulated network. Plan is the client workload, Habits are given to new upstreams, Size
// returns their capacity and queue length in requests, and Tune, if set, adjusts the settings of each node
// before it starts. The same Seed gives the same random choices.
type Fleet struct {
	Scope                base.Scope
	Seed                 uint64
	World                *simnet.Network
	Controllers          []*Machine
	Nodes                []*Machine
	gone                 []*Machine
	enrolled             int
	History              *History
	Workload             []RequestClass
	Behaviors            []Behavior
	CapacityOf           func(service string) (capacity, queue int)
	AdjustParams         func(*wire.NodeParams)
	InitialConfiguration *wire.Configuration
	Description          string
	zones                base.Table[string]
	apart                time.Duration // delay between zones, one way
	seeds                []string
	born                 time.Time
	configuration        *wire.Configuration
	visiting             context.CancelFunc
	crew                 base.Group
	living               sync.Mutex
	uppers               atomic.Int64
	count                atomic.Int64
}

// New builds a fleet of so many control plane replicas and, for each service, so many nodes, spread over
// three zones. No process runs until Raise.
func New(seed uint64, controllers int, services map[string]int) *Fleet {
	f := &Fleet{Seed: seed, born: time.Now(), apart: crossZone}
	f.World = simnet.NewNetwork(f.rand("world"), func(from, to string) time.Duration {
		switch {
		case from == to:
			return nearby
		case f.zone(from) == f.zone(to):
			return sameZone
		}
		return f.apart
	})
	f.Scope = f.scope("story", "10.9.9.9", simnet.NewDisk(f.rand("story disk")), simnet.NewClock(f.born), base.NewJournal(journalBound))
	f.History = NewHistory(f.Scope.Clock)
	f.CapacityOf = func(string) (int, int) { return 8, 16 }
	for i := range controllers {
		m := f.machine(fmt.Sprintf("%s-%d", corePrefix, i+1), fmt.Sprintf("10.9.0.%d", i+1), i)
		m.IsController = true
		f.Controllers = append(f.Controllers, m)
		f.seeds = append(f.seeds, m.Address(inwardPort))
	}
	for _, service := range sorted(services) {
		for range services[service] {
			f.AddNode(service, "")
		}
	}
	return f
}

// AddNode adds a machine for a service, at an address of its own or at one that another had.
func (f *Fleet) AddNode(service, ip string) *Machine {
	i := f.enrolled
	f.enrolled++
	if ip == "" {
		ip = fmt.Sprintf("10.9.1.%d", i+1)
	}
	m := f.machine(fmt.Sprintf("app-%d", i+1), ip, i)
	m.Service = service
	m.visitors = &client{scope: f.scope("visitors "+m.Name, m.IP, m.Disk, m.Clock, m.Journal), history: f.History, to: m.Address(outwardPort), name: "visitors " + m.Name}
	f.living.Lock()
	defer f.living.Unlock()
	f.Nodes = append(f.Nodes, m)
	return m
}

func (f *Fleet) machine(name, ip string, i int) *Machine {
	if f.zone(ip) == "" {
		f.zones.Put(ip, string(rune('a'+i%3)))
	}
	zone := f.zone(ip)
	return &Machine{Name: name, Zone: zone, IP: ip, Disk: simnet.NewDisk(f.rand("disk " + name)), Clock: simnet.NewClock(f.born), Journal: base.NewJournal(journalBound)}
}

func (f *Fleet) zone(ip string) string {
	zone, _ := f.zones.Get(ip)
	return zone
}

func (f *Fleet) rand(name string) *random.Source { return simnet.NamedRand(f.Seed, name) }

func (f *Fleet) scope(name, ip string, disk storage.Disk, clock base.Clock, journal *base.Journal) base.Scope {
	return f.World.NewScope(f.Seed, name, ip, disk, clock, journal)
}

// StartProcess starts the machine's process on the disk that earlier runs left, and ends a disturbance that Kill
// or PowerLoss recorded. It returns the error of the start.
func (f *Fleet) StartProcess(m *Machine) error {
	m.lives.Add(1)
	m.mount = simnet.NewMount(m.Disk)
	s := f.scope(m.owner(), m.IP, m.mount, m.Clock, m.Journal)
	s, m.cancel = s.WithCancel()
	if m.back != nil {
		m.back()
		m.back = nil
	}
	if m.IsController {
		controller, err := controlplane.Start(s, &wire.ControllerParams{
			Name: m.Name, Zone: m.Zone, Peers: m.Address(inwardPort), Operators: m.Address(operatorsPort), Seeds: f.seeds, Founding: m.lives.Load() == 1, Folder: "data",
			Ack: durationpb.New(4 * time.Second), InForce: durationpb.New(inForceBound), Grace: durationpb.New(graceBound),
		}, desk)
		f.living.Lock()
		defer f.living.Unlock()
		m.Controller = controller
		return err
	}
	node, err := dataplane.Start(s, f.params(m), forwarding.DefaultHeaderNames, control)
	f.living.Lock()
	defer f.living.Unlock()
	m.Node = node
	return err
}

// params returns the settings that a node starts with.
func (f *Fleet) params(m *Machine) *wire.NodeParams {
	params := &wire.NodeParams{
		Name: m.Name, Zone: m.Zone, Service: m.Service, Upstream: m.Address(upstreamPort), Outward: m.Address(outwardPort), Inward: m.Address(inwardPort),
		Ready: m.Address(readyPort), Control: m.Address(controlPort), Seeds: f.seeds, Cores: 1, MemoryMb: 64, Descriptors: 1024,
		Beat: durationpb.New(beatEvery), Leaving: durationpb.New(leavingBound), InForce: durationpb.New(inForceBound), Grace: durationpb.New(graceBound),
		RepeatRatio: repeatRatio, RepeatWindow: durationpb.New(repeatWindow), RepeatSlack: repeatSlack,
	}
	if f.AdjustParams != nil {
		f.AdjustParams(params)
	}
	return params
}

// StartUpstream starts an upstream beside a node.
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
	id := fmt.Sprintf("i-%s-%d", service, f.uppers.Add(1))
	return &Upstream{
		ID: id, Service: service, Address: m.Address(port), Zone: m.Zone, Capacity: capacity, Queue: queue, Behaviors: f.Behaviors,
		speed: 1, machine: m, fleet: f, scope: f.scope(id, m.IP, m.Disk, m.Clock, m.Journal),
	}
}

func (f *Fleet) down(m *Machine, cause string) {
	if m.cancel != nil && m.back == nil {
		m.back = f.History.StartDisturbance(m.Name, cause, false)
	}
}

// Kill ends the machine's process at once, without a graceful stop, and records an unplanned disturbance
// until Raise. The upstream keeps running.
func (f *Fleet) Kill(m *Machine) {
	f.down(m, "killed")
	f.kill(m, false)
}

// PowerLoss takes a whole machine, its upstream too, without a word to anybody.
func (f *Fleet) PowerLoss(m *Machine) {
	f.down(m, "power lost")
	f.dark(m, true)
	f.World.Crash(m.IP, "", true)
	f.kill(m, true)
	if m.Upstream != nil {
		m.Upstream.end(true)
	}
	m.Disk.PowerLoss()
}

func (f *Fleet) dark(m *Machine, cut bool) {
	for _, other := range append(append([]*Machine{}, f.Controllers...), f.Nodes...) {
		switch {
		case other == m:
		case cut:
			f.Partition(m, other)
		default:
			f.World.Heal(m.IP, other.IP)
			f.World.Heal(other.IP, m.IP)
		}
	}
}

// RestorePower lets a machine that lost it be raised again.
func (f *Fleet) RestorePower(m *Machine) { f.dark(m, false) }

// Stop ends the machine's process gracefully and waits for it, as a planned disturbance that lasts until 1
// s after the end.
func (f *Fleet) Stop(m *Machine) {
	end := f.History.StartDisturbance(m.Name, "stop", true)
	if m.Node != nil {
		m.Node.Stop()
	} else if m.Controller != nil {
		m.Controller.Stop()
	}
	f.kill(m, false)
	time.AfterFunc(time.Second, end)
}

func (f *Fleet) kill(m *Machine, silent bool) {
	if m.cancel == nil {
		return
	}
	m.cancel()
	m.mount.Unmount()
	f.World.Crash(m.IP, m.owner(), silent)
	if m.Controller != nil {
		m.Controller.Kill()
	}
	if m.Node != nil {
		m.Node.Kill()
	}
	f.living.Lock()
	defer f.living.Unlock()
	m.Controller, m.Node, m.cancel = nil, nil, nil
}

// Close stops the clients, kills every process and upstream, and closes the network. The fleet can't be used
// afterwards.
func (f *Fleet) Close() {
	f.StopLoad()
	for _, m := range append(f.Nodes, f.gone...) {
		if m.Upstream != nil {
			m.Upstream.Kill()
		}
		f.kill(m, false)
		m.visitors.close()
	}
	for _, m := range f.Controllers {
		f.kill(m, false)
	}
	f.World.Close()
	time.Sleep(time.Minute)
}

// Sleep waits for d on the fleet's clock.
func (f *Fleet) Sleep(d time.Duration) { base.Await(f.Scope, d) }

// WaitUntil checks reached every 5 ms, for at most longest, and reports whether it became true.
func (f *Fleet) WaitUntil(longest time.Duration, reached func() bool) bool {
	for begun := time.Now(); time.Since(begun) < longest; f.Sleep(5 * time.Millisecond) {
		if reached() {
			return true
		}
	}
	return reached()
}

// NodesOf returns the machines that carry a service, in the order of their enrolment.
func (f *Fleet) NodesOf(service string) (found []*Machine) {
	for _, m := range f.Nodes {
		if m.Service == service {
			found = append(found, m)
		}
	}
	return found
}

// Ready reports whether all processes on the machines are ready. A machine without a running process counts
// as ready.
func (f *Fleet) Ready(machines []*Machine) bool {
	for _, m := range machines {
		if m.Controller != nil && !m.Controller.Ready() || m.Node != nil && !m.Node.Ready() {
			return false
		}
	}
	return true
}

// NextConfiguration copies the newest acked configuration, to be changed and pushed on top of it.
func (f *Fleet) NextConfiguration() *wire.Configuration {
	f.living.Lock()
	defer f.living.Unlock()
	next := proto.Clone(f.configuration).(*wire.Configuration)
	next.Base, next.Serial = next.Serial, next.Serial+2
	return next
}

func get(s base.Scope, web *http.Client, url string) (int, error) {
	request, err := http.NewRequestWithContext(s, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	response, err := web.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// StartDisturbance records an unplanned disturbance of the named machine from now until end is called.
func (f *Fleet) StartDisturbance(name, cause string) (end func()) {
	return f.History.StartDisturbance(name, cause, false)
}

// Partition drops all traffic between two machines, in both directions.
func (f *Fleet) Partition(a, b *Machine) {
	f.World.Cut(a.IP, b.IP)
	f.World.Cut(b.IP, a.IP)
}

// Retire takes a machine for good: its node and upstream die, and nobody asks there any more.
func (f *Fleet) Retire(m *Machine) {
	f.living.Lock()
	f.Nodes = slices.DeleteFunc(f.Nodes, func(each *Machine) bool { return each == m })
	f.gone = append(f.gone, m)
	f.living.Unlock()
	m.retired.Store(true)
	f.Kill(m)
	m.Upstream.Kill()
}

// Freeze suspends the machine's process (its clock, network and disk) until thaw is called, and records an
// unplanned disturbance for that time.
func (f *Fleet) Freeze(m *Machine) (thaw func()) {
	end := f.StartDisturbance(m.Name, "frozen")
	life := m.owner()
	m.Clock.Freeze(true)
	f.World.Freeze(life)
	release := m.Disk.Stall()
	return func() {
		m.Clock.Freeze(false)
		f.World.Thaw(life)
		release()
		end()
	}
}
