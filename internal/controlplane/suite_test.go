package controlplane

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/random"
	"curlewreach/internal/storage"
	"curlewreach/internal/testing/simnet"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

var suite *testing.T

func TestControlPlane(t *testing.T) {
	suite = t
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "control plane")
}

// controller is a control machine of the simulated fleet; server is nil while it is down.
type controller struct {
	index       int
	disk        *simnet.Disk
	mount       *simnet.Mount
	clock       *simnet.Clock
	server      *Server
	incarnation string
	starts      int
	cancel      context.CancelFunc
}

// fleet is a simulated fleet of control machines on one network, in the time of a synctest bubble.
type fleet struct {
	mu           sync.Mutex
	seed         uint64
	startTime    time.Time
	network      *simnet.Network
	controllers  []*controller
	scope        base.Scope
	client       *http.Client
	adjustParams func(*wire.ControllerParams)
}

func hostAddress(i int) string { return fmt.Sprintf("10.9.0.%d", i+1) }

func peerAddress(i int) string { return hostAddress(i) + ":7001" }

// newFleet starts count control machines with empty disks, which found the fleet. The same seed gives the same random
// choices.
func newFleet(seed uint64, count int) *fleet {
	f := &fleet{seed: seed, startTime: time.Now()}
	f.network = simnet.NewNetwork(random.Seeded(seed), func(_, _ string) time.Duration { return time.Millisecond })
	f.scope = f.newScope("10.9.9.9", "test", simnet.NewDisk(random.Seeded(seed)), simnet.NewClock(f.startTime))
	f.client = httpserver.NewClient(f.scope)
	for i := range count {
		f.controllers = append(f.controllers, &controller{index: i, disk: simnet.NewDisk(random.Seeded(seed*31 + uint64(i))), clock: simnet.NewClock(f.startTime)})
	}
	for i := range f.controllers {
		f.start(i, true)
	}
	return f
}

func (f *fleet) newScope(ip, incarnation string, disk storage.Disk, clock base.Clock) base.Scope {
	f.seed++
	return base.Scope{
		Context: context.Background(), Node: ip, Clock: clock, Net: f.network.At(ip, incarnation), Disk: disk,
		Rand: random.Seeded(f.seed * 7919), Log: hclog.NewNullLogger(), Journal: base.NewJournal(2000),
	}
}

// start starts a control machine on its disk.
func (f *fleet) start(i int, founding bool) {
	c := f.controllers[i]
	c.starts++
	c.incarnation = fmt.Sprintf("control machine %d start %d", i, c.starts)
	c.mount = simnet.NewMount(c.disk)
	s := f.newScope(hostAddress(i), c.incarnation, c.mount, c.clock)
	s, c.cancel = s.WithCancel()
	p := &wire.ControllerParams{Name: fmt.Sprint("core-", i+1), Zone: "z", Peers: peerAddress(i), Operators: hostAddress(i) + ":7005", Founding: founding, Folder: "data"}
	for j := range f.controllers {
		p.Seeds = append(p.Seeds, hostAddress(j)+":7005")
	}
	if f.adjustParams != nil {
		f.adjustParams(p)
	}
	server, err := Start(s, p, func(*Server) http.Handler { return http.NotFoundHandler() })
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	f.mu.Lock()
	c.server = server
	f.mu.Unlock()
}

// kill ends the process of a control machine; its disk keeps what was written.
func (f *fleet) kill(i int) { f.crash(i, false) }

// crash ends a control machine; silent leaves its connections open instead of resetting them.
func (f *fleet) crash(i int, silent bool) {
	c := f.controllers[i]
	if c.server == nil {
		return
	}
	server := c.server
	f.mu.Lock()
	c.server = nil
	f.mu.Unlock()
	c.cancel()
	c.mount.Unmount()
	f.network.Crash(hostAddress(i), c.incarnation, silent)
	server.Kill()
}

// powerLoss crashes a control machine silently; its disk loses what was not synced.
func (f *fleet) powerLoss(i int) {
	f.crash(i, true)
	f.controllers[i].disk.PowerLoss()
}

// end ends stalls, kills all control machines, closes the network and lets the remaining timers expire.
func (f *fleet) end() {
	for i := range f.controllers {
		f.controllers[i].disk.EndStall()
		f.kill(i)
	}
	f.client.CloseIdleConnections()
	f.network.Close()
	time.Sleep(time.Minute)
}

// eventually is eventuallyWithin with a limit of 20 s.
func (f *fleet) eventually(condition func() bool) bool {
	return f.eventuallyWithin(20*time.Second, condition)
}

// eventuallyWithin checks the condition every 5 ms until it is true, for limit at most, and reports whether it became
// true.
func (f *fleet) eventuallyWithin(limit time.Duration, condition func() bool) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// ready reports whether every running control machine is ready.
func (f *fleet) ready() bool {
	for _, c := range f.controllers {
		if c.server != nil && !c.server.Ready() {
			return false
		}
	}
	return true
}

// cut holds back all traffic between two control machines, in both directions, until the network heals.
func (f *fleet) cut(a, b int) {
	f.network.Cut(hostAddress(a), hostAddress(b))
	f.network.Cut(hostAddress(b), hostAddress(a))
}

// propose proposes once at one control machine.
func (f *fleet) propose(i int, p *wire.ConfigurationProposal) (*wire.ConfigurationOutcome, error) {
	server := f.controller(i)
	if server == nil {
		return nil, base.NewFault(base.Unreachable, "", "down")
	}
	return server.Propose(f.scope, p)
}

// commits proposes at one control machine and reports whether the proposal was acknowledged as committed.
func (f *fleet) commits(i int, p *wire.ConfigurationProposal) bool {
	outcome, err := f.propose(i, p)
	return err == nil && outcome.Kind == ""
}

// proposeUntilAnswered sends a proposal to one control machine after the other until one returns a final outcome.
func (f *fleet) proposeUntilAnswered(from int, p *wire.ConfigurationProposal) (outcome *wire.ConfigurationOutcome) {
	next := from
	gomega.Expect(f.eventually(func() bool {
		answered, err := f.propose(next%len(f.controllers), p)
		next++
		outcome = answered
		return err == nil
	})).To(gomega.BeTrue(), "no final outcome")
	return outcome
}

// newestSerial returns the serial of the configuration that a control machine reads from a majority, or 0.
func (f *fleet) newestSerial(i int) uint64 {
	server := f.controllers[i].server
	if server == nil {
		return 0
	}
	configuration, err := server.Configuration(f.scope)
	if err != nil {
		return 0
	}
	return configuration.GetSerial()
}

// poll sends one poll to a control machine, as a node does, with a timeout of 3 s.
func (f *fleet) poll(i int, req *wire.PollRequest) (*wire.PollReply, error) {
	s, cancel := f.scope.WithTimeout(3 * time.Second)
	defer cancel()
	reply, err := wireconnect.NewMoorClient(f.client, "http://"+peerAddress(i)).Hail(s, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}

// serviceName returns a pointer to the name, for a route's optional service.
func serviceName(name string) *string { return &name }

// fullProposal proposes a whole configuration with a route for / and one for each prefix.
func fullProposal(serial, baseSerial uint64, prefixes ...string) *wire.ConfigurationProposal {
	c := &wire.Configuration{
		Serial: serial, Base: baseSerial, Services: []*wire.ConfigurationService{{Name: "loans", Probe: "/health", ConnLimit: 9, Protocol: "h1"}},
		Limits: &wire.ConfigurationLimits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderMs: 3000, IdleMs: 9000},
	}
	for i, prefix := range append([]string{"/"}, prefixes...) {
		c.Routes = append(c.Routes, &wire.ConfigurationRoute{Name: fmt.Sprint("r-", i), Host: "a.example", Prefix: prefix, CutoffMs: 2000, AimMs: 500, Tries: 2, Service: serviceName("loans")})
	}
	return &wire.ConfigurationProposal{Configuration: c}
}

// nodeStatus returns a status of a node without an instance; number orders the statuses of one incarnation.
func nodeStatus(node string, number uint64) *wire.NodeStatus {
	return &wire.NodeStatus{Node: node, Incarnation: "one", Number: number, Inward: "10.9.1.1:7002", Zone: "z", Service: "loans"}
}

// scenario declares a spec on three control machines, once for each of three seeds.
func scenario(text string, run func(f *fleet)) { scenarioWithMachines(3, text, run) }

// scenarioWithMachines declares a spec on count control machines, once for each of three seeds.
func scenarioWithMachines(count int, text string, run func(f *fleet)) {
	for seed := range uint64(3) {
		ginkgo.It(fmt.Sprintf("%s (seed %d)", text, seed+1), func() {
			synctest.Test(suite, func(*testing.T) {
				defer ginkgo.GinkgoRecover()
				f := newFleet(100*seed+1, count)
				defer f.end()
				gomega.Expect(f.eventually(f.ready)).To(gomega.BeTrue(), "machines with empty disks didn't found a fleet")
				run(f)
			})
		})
	}
}
