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
	ginkgo.RunSpecs(t, "moor")
}

type controller struct {
	at     int
	disk   *simnet.Disk
	mount  *simnet.Mount
	clock  *simnet.Clock
	server *Server
	life   string
	lives  int
	cancel context.CancelFunc
}

type fleet struct {
	mu          sync.Mutex
	seed        uint64
	born        time.Time
	world       *simnet.Network
	controllers []*controller
	scope       base.Scope
	web         *http.Client
	tuning      func(*wire.ControllerParams)
}

func ip(i int) string { return fmt.Sprintf("10.9.0.%d", i+1) }

func at(i int) string { return ip(i) + ":7001" }

func newFleet(seed uint64, count int) *fleet {
	f := &fleet{seed: seed, born: time.Now()}
	f.world = simnet.NewNetwork(random.Seeded(seed), func(_, _ string) time.Duration { return time.Millisecond })
	f.scope = f.scoped("10.9.9.9", "story", simnet.NewDisk(random.Seeded(seed)), simnet.NewClock(f.born))
	f.web = httpserver.NewClient(f.scope)
	for i := range count {
		f.controllers = append(f.controllers, &controller{at: i, disk: simnet.NewDisk(random.Seeded(seed*31 + uint64(i))), clock: simnet.NewClock(f.born)})
	}
	for i := range f.controllers {
		f.raise(i, true)
	}
	return f
}

func (f *fleet) scoped(ip, life string, disk storage.Disk, clock base.Clock) base.Scope {
	f.seed++
	return base.Scope{
		Context: context.Background(), Node: ip, Clock: clock, Net: f.world.At(ip, life), Disk: disk,
		Rand: random.Seeded(f.seed * 7919), Log: hclog.NewNullLogger(), Journal: base.NewJournal(2000),
	}
}

func (f *fleet) raise(i int, founding bool) {
	k := f.controllers[i]
	k.lives++
	k.life = fmt.Sprintf("control machine %d life %d", i, k.lives)
	k.mount = simnet.NewMount(k.disk)
	s := f.scoped(ip(i), k.life, k.mount, k.clock)
	s, k.cancel = s.WithCancel()
	p := &wire.ControllerParams{Name: fmt.Sprint("core-", i+1), Zone: "z", Peers: at(i), Operators: ip(i) + ":7005", Founding: founding, Folder: "data"}
	for j := range f.controllers {
		p.Seeds = append(p.Seeds, ip(j)+":7005")
	}
	if f.tuning != nil {
		f.tuning(p)
	}
	m, err := Start(s, p, func(*Server) http.Handler { return http.NotFoundHandler() })
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	f.mu.Lock()
	k.server = m
	f.mu.Unlock()
}

func (f *fleet) kill(i int) { f.fell(i, false) }

func (f *fleet) fell(i int, silent bool) {
	k := f.controllers[i]
	if k.server == nil {
		return
	}
	m := k.server
	f.mu.Lock()
	k.server = nil
	f.mu.Unlock()
	k.cancel()
	k.mount.Unmount()
	f.world.Crash(ip(i), k.life, silent)
	m.Kill()
}

func (f *fleet) powerLoss(i int) {
	f.fell(i, true)
	f.controllers[i].disk.PowerLoss()
}

func (f *fleet) end() {
	for i := range f.controllers {
		f.controllers[i].disk.EndStall()
		f.kill(i)
	}
	f.web.CloseIdleConnections()
	f.world.Close()
	time.Sleep(time.Minute)
}

func (f *fleet) until(reached func() bool) bool { return f.within(20*time.Second, reached) }

func (f *fleet) within(longest time.Duration, reached func() bool) bool {
	for begun := time.Now(); time.Since(begun) < longest; time.Sleep(5 * time.Millisecond) {
		if reached() {
			return true
		}
	}
	return reached()
}

func (f *fleet) ready() bool {
	for _, k := range f.controllers {
		if k.server != nil && !k.server.Ready() {
			return false
		}
	}
	return true
}

func (f *fleet) cut(a, b int) {
	f.world.Cut(ip(a), ip(b))
	f.world.Cut(ip(b), ip(a))
}

func (f *fleet) propose(i int, p *wire.ConfigurationProposal) (*wire.ConfigurationOutcome, error) {
	m := f.controller(i)
	if m == nil {
		return nil, base.NewFault(base.Unreachable, "", "down")
	}
	return m.Propose(f.scope, p)
}

func (f *fleet) taken(i int, p *wire.ConfigurationProposal) bool {
	outcome, err := f.propose(i, p)
	return err == nil && outcome.Kind == ""
}

// insist goes from control machine to control machine until one gives a clear answer.
func (f *fleet) insist(from int, p *wire.ConfigurationProposal) (outcome *wire.ConfigurationOutcome) {
	turn := from
	gomega.Expect(f.until(func() bool {
		said, err := f.propose(turn%len(f.controllers), p)
		turn++
		outcome = said
		return err == nil
	})).To(gomega.BeTrue(), "no clear answer")
	return outcome
}

func (f *fleet) newest(i int) uint64 {
	m := f.controllers[i].server
	if m == nil {
		return 0
	}
	configuration, err := m.Configuration(f.scope)
	if err != nil {
		return 0
	}
	return configuration.GetSerial()
}

func (f *fleet) poll(i int, ask *wire.PollRequest) (*wire.PollReply, error) {
	s, cancel := f.scope.WithTimeout(3 * time.Second)
	defer cancel()
	reply, err := wireconnect.NewMoorClient(f.web, "http://"+at(i)).Hail(s, connect.NewRequest(ask))
	if err != nil {
		return nil, err
	}
	return reply.Msg, nil
}

func service(name string) *string { return &name }

func whole(serial, on uint64, prefixes ...string) *wire.ConfigurationProposal {
	c := &wire.Configuration{
		Serial: serial, Base: on, Services: []*wire.ConfigurationService{{Name: "loans", Probe: "/health", ConnLimit: 9, Protocol: "h1"}},
		Limits: &wire.ConfigurationLimits{HeaderBytes: 1 << 14, BodyBytes: 1 << 20, HeaderMs: 3000, IdleMs: 9000},
	}
	for i, prefix := range append([]string{"/"}, prefixes...) {
		c.Routes = append(c.Routes, &wire.ConfigurationRoute{Name: fmt.Sprint("r-", i), Host: "a.example", Prefix: prefix, CutoffMs: 2000, AimMs: 500, Tries: 2, Service: service("loans")})
	}
	return &wire.ConfigurationProposal{Configuration: c}
}

func nodeStatus(node string, number uint64) *wire.NodeStatus {
	return &wire.NodeStatus{Node: node, Incarnation: "one", Number: number, Inward: "10.9.1.1:7002", Zone: "z", Service: "loans"}
}

func story(text string, tell func(f *fleet)) { storyOf(3, text, tell) }

func storyOf(count int, text string, tell func(f *fleet)) {
	for seed := range uint64(3) {
		ginkgo.It(fmt.Sprintf("%s (seed %d)", text, seed+1), func() {
			synctest.Test(suite, func(*testing.T) {
				defer ginkgo.GinkgoRecover()
				f := newFleet(100*seed+1, count)
				defer f.end()
				gomega.Expect(f.until(f.ready)).To(gomega.BeTrue(), "blank disks make a new fleet")
				tell(f)
			})
		})
	}
}
