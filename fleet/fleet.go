package fleet

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/fleet/rig"
	"curlewreach/flow"
	"curlewreach/helm"
	"curlewreach/internal/testing/judge"
	"curlewreach/internal/testing/standin"
	"curlewreach/proto/wire"
)

const (
	nearby        = 20 * time.Microsecond
	sameZone      = 200 * time.Microsecond
	crossZone     = 1 * time.Millisecond
	matesPort     = 7001
	visitorsPort  = 7002
	upstreamsPort = 7003
	opsPort       = 7004
	operatorsPort = 7005
	journalBound  = 5000
	reportEvery   = 500 * time.Millisecond
)

type Machine struct {
	*wire.Machine
	IP       string
	Disk     *rig.Disk
	Clock    *rig.Clock
	Journal  *base.Journal
	Vane     *flow.Vane
	Keel     *helm.Keel
	mount    *rig.Mount
	thaw     func()
	stopping atomic.Bool
	up       atomic.Bool
	lives    int
	back     func()
	cancel   context.CancelFunc
}

func (m *Machine) At(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

func (m *Machine) owner() string { return fmt.Sprintf("%s life %d", m.Name, m.lives) }

type Fleet struct {
	Scope    base.Scope
	Seed     uint64
	World    *rig.World
	Keels    []*Machine
	Vanes    []*Machine
	Seats    []*standin.Upstream
	History  *judge.History
	Story    string
	Diskless bool
	Key      ed25519.PrivateKey
	Clerk    *helm.Clerk
	Shape    *wire.Bundle
	Habits   []standin.Habit
	Plan     []standin.Habitual
	Tune     func(*wire.VaneParams)
	TuneKeel func(*wire.KeelParams)
	trusted  []string
	seeds    []string
	born     time.Time
	visiting context.CancelFunc
	crew     base.Crew
	living   sync.Mutex
	sampling context.CancelFunc
}

func New(seed uint64, shape *wire.Bundle) *Fleet {
	f := &Fleet{Seed: seed, Shape: proto.Clone(shape).(*wire.Bundle), born: time.Now()}
	zones := map[string]string{}
	f.World = rig.NewWorld(f.rand("world"), func(from, to string) time.Duration {
		switch {
		case from == to:
			return nearby
		case zones[from] == zones[to]:
			return sameZone
		}
		return crossZone
	})
	var operators []string
	for i, each := range f.Shape.Common.Machines {
		ip := fmt.Sprintf("10.9.0.%d", i+1)
		each.Address = fmt.Sprintf("%s:%d", ip, matesPort)
		zones[ip] = each.Zone
		m := &Machine{Machine: each, IP: ip, Disk: rig.NewDisk(f.rand("disk " + each.Name)), Clock: rig.NewClock(f.born), Journal: base.NewJournal(journalBound)}
		if each.Core {
			f.Keels = append(f.Keels, m)
			f.seeds = append(f.seeds, each.Address)
			operators = append(operators, m.At(operatorsPort))
		} else {
			f.Vanes = append(f.Vanes, m)
		}
	}
	seedBytes := make([]byte, ed25519.SeedSize)
	seedBytes[0] = byte(seed)
	f.Key = ed25519.NewKeyFromSeed(seedBytes)
	f.trusted = []string{base64.StdEncoding.EncodeToString(f.Key.Public().(ed25519.PublicKey))}
	f.Scope = f.scope("story", "10.9.9.9", rig.NewDisk(f.rand("story disk")), rig.NewClock(f.born), base.NewJournal(journalBound))
	f.History = judge.NewHistory(f.Scope.Clock)
	for _, m := range f.Every() {
		m.Journal.Attach(tap{f.History, m.Name})
	}
	f.Clerk = &helm.Clerk{Web: &http.Client{Transport: &http.Transport{DialContext: f.Scope.Net.Dial, DisableKeepAlives: true}, Timeout: 5 * time.Second}, Keels: operators, Signed: f.History.Signed}
	s, cancel := f.Scope.Child()
	f.sampling = cancel
	go f.sample(s)
	return f
}

func (f *Fleet) rand(name string) *base.Rand {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%d %s", f.Seed, name)
	return base.SeededRand(hash.Sum64())
}

func (f *Fleet) scope(name, ip string, disk base.Disk, clock base.Clock, journal *base.Journal) base.Scope {
	return base.Scope{
		Context: context.Background(), Node: name, Clock: clock, Net: f.World.At(ip, name), Disk: disk,
		Rand: f.rand(name), Log: hclog.NewNullLogger(), Journal: journal,
	}
}

func (f *Fleet) Raise(m *Machine) error {
	m.lives++
	m.mount = rig.NewMount(m.Disk)
	s := f.scope(m.owner(), m.IP, m.mount, m.Clock, m.Journal)
	s, m.cancel = s.Child()
	if m.back != nil {
		m.back()
		m.back = nil
	}
	if m.Core {
		params := &wire.KeelParams{Name: m.Name, Zone: m.Zone, Mates: m.Address, Operators: m.At(operatorsPort), Seeds: f.seeds, Folder: "data", Trusted: f.trusted}
		if f.TuneKeel != nil {
			f.TuneKeel(params)
		}
		keel, err := helm.Start(s, params)
		f.living.Lock()
		defer f.living.Unlock()
		m.Keel = keel
		m.up.Store(err == nil)
		return err
	}
	folder := "data"
	if f.Diskless {
		s.Disk, folder = base.NoDisk(), ""
	}
	params := &wire.VaneParams{
		Name: m.Name, Zone: m.Zone, Mates: m.Address, Visitors: m.At(visitorsPort), Upstreams: m.At(upstreamsPort), Ops: m.At(opsPort),
		Seeds: f.seeds, Folder: folder, Trusted: f.trusted,
	}
	if f.Tune != nil {
		f.Tune(params)
	}
	vane, err := flow.Start(s, params)
	f.living.Lock()
	defer f.living.Unlock()
	m.Vane = vane
	m.up.Store(err == nil)
	return err
}

func (f *Fleet) Kill(m *Machine) {
	f.down(m, "killed")
	f.kill(m, false)
}

func (f *Fleet) PowerLoss(m *Machine) {
	f.down(m, "power lost")
	f.kill(m, true)
	m.Disk.PowerLoss()
}

func (f *Fleet) down(m *Machine, cause string) {
	if m.cancel != nil {
		m.back = f.History.Spell(m.Name, cause, false)
	}
}

func (f *Fleet) Stop(m *Machine) {
	end := f.History.Spell(m.Name, "stop", true)
	m.stopping.Store(true)
	defer m.stopping.Store(false)
	switch {
	case m.Vane != nil:
		m.Vane.Stop()
	case m.Keel != nil:
		m.Keel.Stop()
	}
	f.kill(m, false)
	end()
}

func (f *Fleet) Freeze(m *Machine) (thaw func()) {
	end := f.Trouble(m.Name, "frozen")
	life := m.owner()
	m.Clock.Freeze(true)
	f.World.Freeze(life)
	release := m.Disk.Stall()
	var once sync.Once
	m.thaw = func() {
		once.Do(func() {
			m.Clock.Freeze(false)
			f.World.Thaw(life)
			release()
			end()
		})
	}
	return m.thaw
}

func (f *Fleet) Trouble(name, cause string) (end func()) { return f.History.Spell(name, cause, false) }

func (f *Fleet) kill(m *Machine, silent bool) {
	if m.cancel == nil {
		return
	}
	m.up.Store(false)
	m.cancel()
	m.mount.Unmount()
	f.World.Crash(m.IP, m.owner(), silent)
	if m.thaw != nil {
		m.thaw()
	}
	if m.Keel != nil {
		m.Keel.Kill()
	}
	if m.Vane != nil {
		m.Vane.Kill()
	}
	f.living.Lock()
	defer f.living.Unlock()
	m.Keel, m.Vane, m.cancel = nil, nil, nil
}

func (f *Fleet) Seat(m *Machine, service string, port, capacity int) (*standin.Upstream, error) {
	u := &standin.Upstream{
		Scope:   f.scope(fmt.Sprintf("%s %s %d %d", m.Name, service, port, len(f.Seats)), m.IP, m.Disk, m.Clock, m.Journal),
		Service: service, Address: m.At(port), Zone: m.Zone, Capacity: capacity, Reports: m.At(upstreamsPort), Habits: f.Habits, History: f.History,
	}
	f.Seats = append(f.Seats, u)
	return u, u.Start(reportEvery)
}

func (f *Fleet) Visit(rate float64) {
	s, cancel := f.Scope.Child()
	f.visiting = cancel
	for _, m := range f.Vanes {
		each := f.scope("visitors "+m.Name, m.IP, m.Disk, m.Clock, m.Journal)
		visitors := &standin.Visitors{Scope: each, Name: m.Name, To: m.At(visitorsPort), Rate: rate / float64(len(f.Vanes)), Habits: f.Plan, History: f.History}
		f.crew.Go(func() { visitors.Run(each.Under(s)) })
	}
}

func (f *Fleet) Leave() {
	if f.visiting != nil {
		f.visiting()
		f.crew.Wait()
		f.visiting = nil
	}
}

func (f *Fleet) End() {
	f.Leave()
	f.sampling()
	for _, u := range f.Seats {
		u.Kill()
	}
	for _, m := range f.Every() {
		f.kill(m, false)
	}
	f.Clerk.Web.CloseIdleConnections()
	f.World.Close()
	time.Sleep(time.Minute)
}

func (f *Fleet) Pass(d time.Duration) { base.Await(f.Scope, d) }

func (f *Fleet) Until(longest time.Duration, reached func() bool) bool {
	for begun := time.Now(); time.Since(begun) < longest; f.Pass(5 * time.Millisecond) {
		if reached() {
			return true
		}
	}
	return reached()
}

func (f *Fleet) Ready(machines []*Machine) bool {
	for _, m := range machines {
		if m.Keel != nil && !m.Keel.Helm.Ready() || m.Vane != nil && !m.Vane.Node.Ready() {
			return false
		}
	}
	return true
}

func (f *Fleet) AllOn(serial uint64) bool {
	for _, m := range f.Vanes {
		if m.Vane != nil && (m.Vane.Node.Bundle() == nil || m.Vane.Node.Bundle().Serial < serial) {
			return false
		}
	}
	return true
}

func (f *Fleet) Apply(submission string, request *wire.DraftRequest) (*wire.Outcome, error) {
	outcome, err := f.Clerk.Apply(f.Scope, submission, request, f.Key)
	if err == nil {
		f.History.Acked(outcome)
	}
	return outcome, err
}

func (f *Fleet) Cut(a, b *Machine) {
	f.World.Cut(a.IP, b.IP)
	f.World.Cut(b.IP, a.IP)
}

func (f *Fleet) Bounds() judge.Bounds { return judge.Brief() }

func (f *Fleet) Every() []*Machine { return append(append([]*Machine{}, f.Vanes...), f.Keels...) }

func (f *Fleet) Isolate(m *Machine) {
	for _, other := range f.Every() {
		if other != m {
			f.Cut(m, other)
		}
	}
}
