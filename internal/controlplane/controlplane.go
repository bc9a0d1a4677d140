// Package moor is the control plane of an open fleet: members aren't listed, operators sign nothing,
// and a chart is in force once a majority of core disks has it.
package controlplane

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/internal/quorum"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	// ChartKey and LearningKey name the registers kept on the core disks.
	ChartKey    = "chart"
	LearningKey = "learning"

	roundRatio   = 0.1   // of the ack bound: one round of disks
	callRatio    = 0.23  // of the ack bound: one call of an operator
	relayRatio   = 0.063 // of the ack bound: another keel's answer
	watchRatio   = 0.125 // of the in-force bound
	latelyRatio  = 0.75  // of the in-force bound
	stepRatio    = 0.05  // of the in-force bound
	handRatio    = 0.3   // of the grace
	stopRatio    = 0.8   // of the grace
	foundRatio   = 0.25  // of the ack bound
	absentTicks  = 8
	largestSpeak = 32 << 20
)

// Moor is one keel of an open fleet.
type Moor struct {
	scope       base.Scope
	params      atomic.Pointer[wire.MoorParams]
	self        string
	incarnation string
	web         *http.Client
	cancel      context.CancelFunc
	doors       []*base.Door
	crew        base.Crew
	core        atomic.Pointer[core]
	roster      *roster
	news        base.Bell
	view        atomic.Pointer[view]
	learning    atomic.Pointer[learning]
	agreed      atomic.Int64
	reached     atomic.Int64
	stopping    atomic.Bool
	joiners     base.Table[bool]
	founding    atomic.Bool
}

// Start opens the doors of a keel; it joins its mates in the background.
func Start(s base.Scope, p *wire.MoorParams, desk func(*Moor) http.Handler) (*Moor, error) {
	Usual(p)
	if err := Check(p); err != nil {
		return nil, err
	}
	s, cancel := s.Child()
	m := &Moor{scope: s, self: p.Mates, incarnation: s.Rand.Name(8), web: base.Wire(s), cancel: cancel, roster: newRoster(s.Clock)}
	m.params.Store(p)
	m.view.Store(&view{})
	m.learning.Store(&learning{})
	m.agreed.Store(int64(-time.Hour))
	m.reached.Store(int64(s.Clock.Mono()))
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewMoorHandler(server{m}, connect.WithCompressMinBytes(largestSpeak), connect.WithReadMaxBytes(largestSpeak)))
	m.show(mux)
	mux.HandleFunc("/"+wireconnect.TroveName+"/", m.joined(func(c *core) http.Handler { return c.votes }))
	mux.HandleFunc("/"+wireconnect.LensName+"/", m.joined(func(c *core) http.Handler { return c.spans }))
	for _, each := range []struct {
		address string
		handler http.Handler
	}{{p.Mates, mux}, {p.Operators, desk(m)}} {
		door, err := base.Open(s, each.address, each.handler)
		if err != nil {
			m.Kill()
			return nil, err
		}
		m.doors = append(m.doors, door)
	}
	m.crew.Go(func() { m.run(s) })
	s.Log.Info("started", "name", p.Name, "zone", p.Zone, "founding", p.Founding)
	return m, nil
}

func (m *Moor) joined(pick func(*core) http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if c := m.core.Load(); c != nil {
			pick(c).ServeHTTP(w, r)
			return
		}
		http.Error(w, "not joined yet", http.StatusServiceUnavailable)
	}
}

func (m *Moor) run(s base.Scope) {
	var crew base.Crew
	crew.Go(func() { m.sweep(s) })
	if c := m.join(s); c != nil {
		m.core.Store(c)
		force := m.params.Load().InForce
		crew.Go(func() { m.recover(s, c) })
		crew.Go(func() { m.watch(s, c, ChartKey, part(force, watchRatio)) })
		crew.Go(func() { m.watch(s, c, LearningKey, part(force, 4*watchRatio)) })
		crew.Go(func() { m.follow(s, c) })
		crew.Go(func() { c.traces.Run(s, part(force, 4*watchRatio)) })
		crew.Go(func() { newLearner(m, c).run(s) })
	}
	crew.Wait()
}

func (m *Moor) sweep(s base.Scope) {
	base.Tick(s, part(m.params.Load().Absent, 1.0/absentTicks), func(s base.Scope) {
		for _, node := range m.roster.sweep(m.params.Load().Absent.AsDuration()) {
			s.Log.Warn("node absent", "of", node)
			s.Note("absent", node, "")
		}
	})
}

func (m *Moor) watch(s base.Scope, c *core, key string, every time.Duration) {
	force := m.params.Load().InForce
	since, patience := s.Clock.Mono(), force.AsDuration()
	for s.Err() == nil {
		asked := s.Clock.Mono()
		settled, agreed := c.trove.Survey(s, key)
		if agreed && key == ChartKey {
			m.reached.Store(int64(asked))
			if settled {
				m.agreed.Store(int64(asked))
			}
		}
		switch ready := c.trove.Ready(); {
		case settled || !ready:
			since, patience = s.Clock.Mono(), part(force, 0.15+0.3*s.Rand.Float64())
		case s.Clock.Mono()-since >= patience:
			s.Note("unsettled", key, "its newest change is on too few disks; reading it under a new epoch")
			bounded, cancel := s.Within(force.AsDuration())
			_, _ = c.trove.Read(bounded, key)
			cancel()
			since = s.Clock.Mono()
		}
		if agreed {
			base.Await(s, every)
		} else {
			base.Await(s, part(force, stepRatio))
		}
	}
}

func (m *Moor) follow(s base.Scope, c *core) {
	mine := false
	for s.Err() == nil {
		heard := c.trove.News()
		m.look(c)
		if owns := c.trove.Mine(ChartKey); owns != mine {
			mine = owns
			s.Log.Info("ownership of the chart", "mine", mine)
		}
		base.Await(s, part(m.params.Load().InForce, 1), heard)
	}
}

func (m *Moor) look(c *core) {
	entry, _ := c.trove.Settled(ChartKey)
	before := m.view.Load()
	if seen := before.next(m.scope, entry); seen != before {
		m.view.Store(seen)
		m.news.Ring()
	}
	entry, _ = c.trove.Settled(LearningKey)
	was := m.learning.Load()
	if learned := was.next(m.scope, entry); learned != was {
		m.learning.Store(learned)
		if learned.said.GetOdds().GetSerial() != was.said.GetOdds().GetSerial() {
			m.news.Ring()
		}
	}
}

// Ready says whether this keel votes.
func (m *Moor) Ready() bool {
	c := m.core.Load()
	return c != nil && c.trove.Ready()
}

// Settled says whether this keel votes and lately agreed with a majority on the newest chart.
func (m *Moor) Settled() bool {
	return m.Ready() && m.within(&m.agreed, latelyRatio)
}

func (m *Moor) within(since *atomic.Int64, ratio float64) bool {
	return m.scope.Clock.Mono()-time.Duration(since.Load()) <= part(m.params.Load().InForce, ratio)
}

// Stop hands over what this keel owns, answers what it holds and quits within the grace.
func (m *Moor) Stop() {
	grace := m.params.Load().Grace
	s, cancel := m.scope.Under(context.WithoutCancel(m.scope)).Within(part(grace, stopRatio))
	defer cancel()
	if c := m.core.Load(); c != nil {
		hand, cancel := s.Within(part(grace, handRatio))
		m.handOver(hand, c)
		c.trove.HandOver(hand)
		cancel()
	}
	m.stopping.Store(true)
	m.news.Ring()
	m.cancel()
	base.All(m.doors, func(door *base.Door) { door.Drain(s) })
	m.Kill()
	m.scope.Log.Info("stopped")
}

// Kill ends at once.
func (m *Moor) Kill() {
	m.cancel()
	for _, door := range m.doors {
		door.Slam()
	}
	m.crew.Wait()
	m.web.CloseIdleConnections()
}

// Reload takes changed params; addresses, the name and the folder change only with a restart.
func (m *Moor) Reload(p *wire.MoorParams) error {
	Usual(p)
	if err := Check(p); err != nil {
		return err
	}
	old := m.params.Load()
	if p.Name != old.Name || p.Mates != old.Mates || p.Operators != old.Operators || p.Folder != old.Folder {
		return errors.New("names, addresses and the folder change only with a restart")
	}
	m.params.Store(p)
	m.scope.Log.SetLevel(hclog.LevelFromString(p.Log))
	return nil
}

type core struct {
	mates  []string
	trove  *quorum.Trove
	traces *tracing.Store
	moors  map[string]wireconnect.MoorClient
	lenses map[string]wireconnect.LensClient
	votes  http.Handler
	spans  http.Handler
	saved  bool
}

func (c *core) hears(address string, lately time.Duration) bool {
	return c.trove.Hears(quorum.Mate{Name: address, Address: address}, lately)
}
