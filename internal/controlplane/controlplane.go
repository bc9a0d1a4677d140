// Package controlplane is the replicated control plane of a fleet whose members no configuration lists.
// Operators propose configurations unsigned; one is in force once a majority of the core replicas has it on
// disk.
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
	"curlewreach/internal/httpserver"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

const (
	// ConfigurationKey names the replicated register that holds the current configuration.
	ConfigurationKey = "chart"
	// LearningKey names the replicated register that holds the sampling odds and findings of tracing.
	LearningKey = "learning"

	roundRatio     = 0.1   // of the ack bound: one round of disks
	callRatio      = 0.23  // of the ack bound: one call of an operator
	forwardRatio   = 0.063 // of the ack bound: another control machine's answer
	watchRatio     = 0.125 // of the in-force bound
	recentRatio    = 0.75  // of the in-force bound
	stepRatio      = 0.05  // of the in-force bound
	handOverRatio  = 0.3   // of the grace
	stopRatio      = 0.8   // of the grace
	foundRatio     = 0.25  // of the ack bound
	absentTicks    = 8
	largestMessage = 32 << 20
)

// Server is one control machine of an open fleet.
type Server struct {
	scope       base.Scope
	params      atomic.Pointer[wire.ControllerParams]
	address     string
	incarnation string
	client      *http.Client
	cancel      context.CancelFunc
	servers     []*httpserver.Server
	tasks       base.Group
	core        atomic.Pointer[core]
	registry    *registry
	changed     base.Broadcast
	view        atomic.Pointer[view]
	learning    atomic.Pointer[learning]
	stopping    atomic.Bool
	started     time.Duration
	recent      recentConfigurations
	reads       *configurationReads
}

// Start opens the servers of a control machine; it joins its peers in the background.
func Start(s base.Scope, p *wire.ControllerParams, desk func(*Server) http.Handler) (*Server, error) {
	SetDefaults(p)
	if err := Check(p); err != nil {
		return nil, err
	}
	s, cancel := s.WithCancel()
	m := &Server{scope: s, address: p.Peers, incarnation: s.Rand.Hex(8), client: httpserver.NewClient(s), cancel: cancel, registry: newRegistry(s.Clock), reads: newConfigurationReads()}
	m.started = s.Clock.Mono()
	m.params.Store(p)
	m.view.Store(newView(nil, nil))
	m.learning.Store(&learning{})
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewMoorHandler(rpcService{m}, connect.WithCompressMinBytes(largestMessage), connect.WithReadMaxBytes(largestMessage)))
	m.registerViews(mux)
	mux.HandleFunc("/"+wireconnect.ReplicasName+"/", m.requireCore(func(c *core) http.Handler { return c.votes }))
	mux.HandleFunc("/"+wireconnect.LensName+"/", m.requireCore(func(c *core) http.Handler { return c.spans }))
	for _, each := range []struct {
		address string
		handler http.Handler
	}{{p.Peers, mux}, {p.Operators, desk(m)}} {
		door, err := httpserver.Serve(s, each.address, each.handler)
		if err != nil {
			m.Kill()
			return nil, err
		}
		m.servers = append(m.servers, door)
	}
	m.tasks.Go(func() { m.run(s) })
	s.Log.Info("started", "name", p.Name, "zone", p.Zone, "founding", p.Founding)
	return m, nil
}

// requireCore serves by the core once this machine has joined its peers, and answers 503 before.
func (m *Server) requireCore(pick func(*core) http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if c := m.core.Load(); c != nil {
			pick(c).ServeHTTP(w, r)
			return
		}
		http.Error(w, "not joined yet", http.StatusServiceUnavailable)
	}
}

// run joins the peers and then does the work of a control machine until the scope ends.
func (m *Server) run(s base.Scope) {
	var crew base.Group
	crew.Go(func() { m.expireNodes(s) })
	if c := m.join(s); c != nil {
		m.core.Store(c)
		crew.Go(func() { c.replica.Run(s) })
		crew.Go(func() { m.watchReplica(s, c) })
		crew.Go(func() { c.traces.Run(s, ratioOf(m.params.Load().InForce, 4*watchRatio)) })
		crew.Go(func() { newLearner(m, c).run(s) })
	}
	crew.Wait()
}

// expireNodes marks nodes absent that have been silent for the bound in the settings.
func (m *Server) expireNodes(s base.Scope) {
	base.Tick(s, ratioOf(m.params.Load().Absent, 1.0/absentTicks), func(s base.Scope) {
		for _, node := range m.registry.expire(m.params.Load().Absent.AsDuration()) {
			s.Log.Warn("node absent", "of", node)
			s.Record("absent", node, "")
		}
	})
}

// watchReplica takes what is newly chosen into view and logs what changes among the members.
func (m *Server) watchReplica(s base.Scope, c *core) {
	var told memberLog
	for s.Err() == nil {
		heard := c.replica.Changed()
		m.refreshView(c)
		told.log(s, c)
		base.Await(s, ratioOf(m.params.Load().InForce, 1), heard)
	}
}

// refreshView takes newly chosen versions into view and wakes the polls that wait for them.
func (m *Server) refreshView(c *core) {
	before := m.view.Load()
	if seen := before.decode(m.scope, c.replica.Chosen(ConfigurationKey)); seen != before {
		m.view.Store(seen)
		m.recent.add(seen)
		m.changed.Notify()
	}
	was := m.learning.Load()
	if learned := was.next(m.scope, c.replica.Chosen(LearningKey)); learned != was {
		m.learning.Store(learned)
		if learned.said.GetOdds().GetSerial() != was.said.GetOdds().GetSerial() {
			m.changed.Notify()
		}
	}
}

// memberLog remembers what was last logged of the members.
type memberLog struct {
	owns       bool
	votes      bool
	generation uint64
}

// log tells what has changed since it was last called.
func (l *memberLog) log(s base.Scope, c *core) {
	if owns := c.replica.Owns(ConfigurationKey); owns != l.owns {
		l.owns = owns
		s.Log.Info("ownership of the configuration", "mine", owns)
	}
	view := c.replica.View()
	votes := view.Generation > 0
	if generation := view.Membership.GetGeneration(); generation != l.generation || votes != l.votes {
		l.generation, l.votes = generation, votes
		s.Log.Info("members", "generation", generation, "voters", c.replica.Voters(), "votes", votes, "spare", view.TolerableLosses)
	}
}

// Ready says whether this control machine votes.
func (m *Server) Ready() bool {
	c := m.core.Load()
	return c != nil && c.replica.IsVoter()
}

// Settled says whether this control machine votes and lately agreed with a majority on the newest configuration.
func (m *Server) Settled() bool {
	c := m.core.Load()
	if c == nil || !c.replica.IsVoter() {
		return false
	}
	began, ok := c.replica.ReplicatedAsOf(ConfigurationKey)
	return ok && m.isWithin(began, recentRatio)
}

// heardMajorityLately says whether a majority has answered within the in-force bound. It only saves callers a wait: what is
// decided is decided by a majority's answers since the question came.
func (m *Server) heardMajorityLately(c *core) bool {
	began, _ := c.replica.LastMajority()
	return m.isWithin(max(began, m.started), 1)
}

// isWithin tells whether a moment lies back no further than a ratio of the in-force bound.
func (m *Server) isWithin(since time.Duration, ratio float64) bool {
	return m.scope.Clock.Mono()-since <= ratioOf(m.params.Load().InForce, ratio)
}

// Stop hands over what this control machine owns, answers what it holds and quits within the grace.
func (m *Server) Stop() {
	grace := m.params.Load().Grace
	s, cancel := m.scope.WithContext(context.WithoutCancel(m.scope)).WithTimeout(ratioOf(grace, stopRatio))
	defer cancel()
	if c := m.core.Load(); c != nil {
		hand, cancel := s.WithTimeout(ratioOf(grace, handOverRatio))
		m.handOver(hand, c)
		if err := c.replica.Leave(hand); err != nil {
			m.scope.Log.Warn("not replaced before the stop", "error", err)
		}
		c.replica.TransferOwnership(hand, ConfigurationKey, LearningKey)
		cancel()
	}
	m.stopping.Store(true)
	m.changed.Notify()
	m.cancel()
	base.Parallel(m.servers, func(door *httpserver.Server) { door.CloseWhenIdle(s) })
	m.Kill()
	m.scope.Log.Info("stopped")
}

// Kill ends at once.
func (m *Server) Kill() {
	m.cancel()
	for _, door := range m.servers {
		door.Close()
	}
	m.tasks.Wait()
	m.client.CloseIdleConnections()
}

// Reload takes changed settings; addresses, the name and the folder change only with a restart.
func (m *Server) Reload(p *wire.ControllerParams) error {
	SetDefaults(p)
	if err := Check(p); err != nil {
		return err
	}
	old := m.params.Load()
	if p.Name != old.Name || p.Peers != old.Peers || p.Operators != old.Operators || p.Folder != old.Folder {
		return errors.New("names, addresses and the folder change only with a restart")
	}
	m.params.Store(p)
	if c := m.core.Load(); c != nil {
		c.replica.SetSeeds(replicaSeeds(p))
	}
	m.scope.Log.SetLevel(hclog.LevelFromString(p.Log))
	return nil
}
