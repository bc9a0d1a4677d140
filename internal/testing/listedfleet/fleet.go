// Package listedfleet runs a whole fleet of listed machines in memory: the real
// processes over a simulated network, disks and clocks (simnet) within a
// testing/synctest bubble, with stand-in upstreams and visitors, and a history
// that internal/testing/judge judges. Its tests are the stories of
// docs/proof.md.
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
	// nearby, sameZone and crossZone are the usual times of a packet within a
	// machine, within a zone and between zones.
	nearby        = 20 * time.Microsecond
	sameZone      = 200 * time.Microsecond
	crossZone     = 1 * time.Millisecond
	peersPort     = 7001
	visitorsPort  = 7002
	upstreamsPort = 7003
	opsPort       = 7004
	operatorsPort = 7005
	// journalBound is the number of events kept of each machine.
	journalBound = 5000
	// reportEvery is the interval of the upstreams' reports.
	reportEvery = 500 * time.Millisecond
)

// Machine is a machine and the process running on it, if any.
type Machine struct {
	*wire.Machine
	IP         string
	Disk       *simnet.Disk
	Clock      *simnet.Clock
	Journal    *base.Journal
	Node       *listednode.Process
	Controller *listedcore.Process
	mount      *simnet.Mount
	thaw       func()
	stopping   atomic.Bool
	up         atomic.Bool
	lives      int
	back       func()
	cancel     context.CancelFunc
}

// At returns the address of a port on the machine.
func (m *Machine) At(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

func (m *Machine) owner() string { return fmt.Sprintf("%s life %d", m.Name, m.lives) }

// Fleet is a fleet in memory and all that happened to it.
type Fleet struct {
	Scope   base.Scope
	Seed    uint64
	World   *simnet.Network
	Keels   []*Machine
	Vanes   []*Machine
	Seats   []*standin.Upstream
	History *judge.History
	// Story tells what was done, for failure messages.
	Story string
	// Diskless starts application machines without a data folder.
	Diskless bool
	Key      ed25519.PrivateKey
	Clerk    *listedcore.Client
	// Shape is the first bundle to sign.
	Shape  *wire.Bundle
	Habits []standin.Behavior
	Plan   []standin.PlannedRequest
	// Tune and TuneKeel, if set, change the params that processes start with.
	Tune           func(*wire.VaneParams)
	TuneController func(*wire.KeelParams)
	trusted        []string
	seeds          []string
	born           time.Time
	visiting       context.CancelFunc
	crew           base.Group
	living         sync.Mutex
	sampling       context.CancelFunc
}

// New returns a fleet of the shape's machines, none of them running. All that
// is random follows from the seed. It must be called within a bubble, and ended
// with End.
func New(seed uint64, shape *wire.Bundle) *Fleet {
	f := &Fleet{Seed: seed, Shape: proto.Clone(shape).(*wire.Bundle), born: time.Now()}
	zones := map[string]string{}
	f.World = simnet.NewNetwork(f.rand("world"), func(from, to string) time.Duration {
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
		each.Address = fmt.Sprintf("%s:%d", ip, peersPort)
		zones[ip] = each.Zone
		m := &Machine{Machine: each, IP: ip, Disk: simnet.NewDisk(f.rand("disk " + each.Name)), Clock: simnet.NewClock(f.born), Journal: base.NewJournal(journalBound)}
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
	f.Scope = f.scope("story", "10.9.9.9", simnet.NewDisk(f.rand("story disk")), simnet.NewClock(f.born), base.NewJournal(journalBound))
	f.History = judge.NewHistory(f.Scope.Clock)
	for _, m := range f.Every() {
		m.Journal.Subscribe(tap{f.History, m.Name})
	}
	f.Clerk = &listedcore.Client{HTTPClient: &http.Client{Transport: &http.Transport{DialContext: f.Scope.Net.Dial, DisableKeepAlives: true}, Timeout: 5 * time.Second}, Controllers: operators, OnSigned: f.History.RecordSigned}
	s, cancel := f.Scope.WithCancel()
	f.sampling = cancel
	go f.sample(s)
	return f
}

func (f *Fleet) rand(name string) *random.Source { return simnet.NamedRand(f.Seed, name) }

func (f *Fleet) scope(name, ip string, disk storage.Disk, clock base.Clock, journal *base.Journal) base.Scope {
	return f.World.NewScope(f.Seed, name, ip, disk, clock, journal)
}

// Raise starts a machine's process.
func (f *Fleet) Raise(m *Machine) error {
	m.lives++
	m.mount = simnet.NewMount(m.Disk)
	s := f.scope(m.owner(), m.IP, m.mount, m.Clock, m.Journal)
	s, m.cancel = s.WithCancel()
	if m.back != nil {
		m.back()
		m.back = nil
	}
	if m.Core {
		params := &wire.KeelParams{Name: m.Name, Zone: m.Zone, Mates: m.Address, Operators: m.At(operatorsPort), Seeds: f.seeds, Folder: "data", Trusted: f.trusted}
		if f.TuneController != nil {
			f.TuneController(params)
		}
		controller, err := listedcore.Start(s, params)
		f.living.Lock()
		defer f.living.Unlock()
		m.Controller = controller
		m.up.Store(err == nil)
		return err
	}
	folder := "data"
	if f.Diskless {
		s.Disk, folder = storage.None(), ""
	}
	params := &wire.VaneParams{
		Name: m.Name, Zone: m.Zone, Mates: m.Address, Visitors: m.At(visitorsPort), Upstreams: m.At(upstreamsPort), Ops: m.At(opsPort),
		Seeds: f.seeds, Folder: folder, Trusted: f.trusted,
	}
	if f.Tune != nil {
		f.Tune(params)
	}
	node, err := listednode.Start(s, params)
	f.living.Lock()
	defer f.living.Unlock()
	m.Node = node
	m.up.Store(err == nil)
	return err
}

// Kill ends a machine's process at once.
func (f *Fleet) Kill(m *Machine) {
	f.down(m, "killed")
	f.kill(m, false)
}

// PowerLoss ends a machine without a word to its peers; its disk loses what
// wasn't synced.
func (f *Fleet) PowerLoss(m *Machine) {
	f.down(m, "power lost")
	f.kill(m, true)
	m.Disk.PowerLoss()
}

func (f *Fleet) down(m *Machine, cause string) {
	if m.cancel != nil {
		m.back = f.History.RecordDisturbance(m.Name, cause, false)
	}
}

// Stop ends a machine's process as planned.
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
	f.kill(m, false)
	end()
}

// Freeze stops a machine's process where it is, with its network and disk,
// until thaw.
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

// Trouble notes in the history that a trouble begins; end notes its end.
func (f *Fleet) Trouble(name, cause string) (end func()) {
	return f.History.RecordDisturbance(name, cause, false)
}

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

// Seat starts an upstream beside a machine.
func (f *Fleet) Seat(m *Machine, service string, port, capacity int) (*standin.Upstream, error) {
	u := &standin.Upstream{
		Scope:   f.scope(fmt.Sprintf("%s %s %d %d", m.Name, service, port, len(f.Seats)), m.IP, m.Disk, m.Clock, m.Journal),
		Service: service, Address: m.At(port), Zone: m.Zone, Capacity: capacity, NodeAddress: m.At(upstreamsPort), Behaviors: f.Habits, History: f.History,
	}
	f.Seats = append(f.Seats, u)
	return u, u.Start(reportEvery)
}

// Visit lets visitors make so many requests a second over the whole fleet,
// until Leave.
func (f *Fleet) Visit(rate float64) {
	s, cancel := f.Scope.WithCancel()
	f.visiting = cancel
	for _, m := range f.Vanes {
		each := f.scope("visitors "+m.Name, m.IP, m.Disk, m.Clock, m.Journal)
		visitors := &standin.Clients{Scope: each, Name: m.Name, NodeAddress: m.At(visitorsPort), Rate: rate / float64(len(f.Vanes)), Plan: f.Plan, History: f.History}
		f.crew.Go(func() { visitors.Run(each.WithContext(s)) })
	}
}

// Leave ends the visitors and waits for their answers.
func (f *Fleet) Leave() {
	if f.visiting != nil {
		f.visiting()
		f.crew.Wait()
		f.visiting = nil
	}
}

// End ends everything, so that no goroutine is left in the bubble.
func (f *Fleet) End() {
	f.Leave()
	f.sampling()
	for _, u := range f.Seats {
		u.Kill()
	}
	for _, m := range f.Every() {
		f.kill(m, false)
	}
	f.Clerk.HTTPClient.CloseIdleConnections()
	f.World.Close()
	time.Sleep(time.Minute)
}

// Pass lets the time pass.
func (f *Fleet) Pass(d time.Duration) { base.Await(f.Scope, d) }

// Until lets the time pass until reached returns true, and reports whether it
// did within the longest time.
func (f *Fleet) Until(longest time.Duration, reached func() bool) bool {
	for begun := time.Now(); time.Since(begun) < longest; f.Pass(5 * time.Millisecond) {
		if reached() {
			return true
		}
	}
	return reached()
}

// Ready reports whether all of the machines that run are ready.
func (f *Fleet) Ready(machines []*Machine) bool {
	for _, m := range machines {
		if m.Controller != nil && !m.Controller.ControlPlane.Ready() || m.Node != nil && !m.Node.Node.Ready() {
			return false
		}
	}
	return true
}

// AllOn reports whether all application machines that run hold the bundle of
// the serial or a newer one.
func (f *Fleet) AllOn(serial uint64) bool {
	for _, m := range f.Vanes {
		if m.Node != nil && (m.Node.Node.Bundle() == nil || m.Node.Node.Bundle().Serial < serial) {
			return false
		}
	}
	return true
}

// Apply drafts, signs and hands in a change as an operator does.
func (f *Fleet) Apply(submission string, request *wire.DraftRequest) (*wire.Outcome, error) {
	outcome, err := f.Clerk.Apply(f.Scope, submission, request, f.Key)
	if err == nil {
		f.History.RecordOutcome(outcome)
	}
	return outcome, err
}

// Cut cuts two machines off from each other, both ways.
func (f *Fleet) Cut(a, b *Machine) {
	f.World.Cut(a.IP, b.IP)
	f.World.Cut(b.IP, a.IP)
}

// Bounds returns the bounds to judge by.
func (f *Fleet) Bounds() judge.Bounds { return judge.DefaultBounds() }

// Every returns all machines.
func (f *Fleet) Every() []*Machine { return append(append([]*Machine{}, f.Vanes...), f.Keels...) }

// Isolate cuts a machine off from all others.
func (f *Fleet) Isolate(m *Machine) {
	for _, other := range f.Every() {
		if other != m {
			f.Cut(m, other)
		}
	}
}
