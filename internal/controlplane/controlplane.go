// Package controlplane implements the replicated control plane of an open fleet: one whose members aren't listed in the
// configuration. Operators propose unsigned configurations to any control machine. A configuration is committed once a
// majority of the voting replicas has it on disk; nodes then receive it by polling a control machine.
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
	// LearningKey names the replicated register that holds the sampling odds of tracing and what they were learned
	// from.
	LearningKey = "learning"
	// DeparturesKey names the replicated register that holds the newest acknowledged departures of instances.
	DeparturesKey = "departures"

	// Ratios of the bounds in the settings. Ack bounds the time until a proposal is acknowledged, InForce the time
	// until a committed configuration is in force at the nodes, and Grace the time that a stop may take.

	roundTimeoutRatio    = 0.1   // of Ack: timeout of one request to another replica, its disk write included
	operatorTimeoutRatio = 0.23  // of Ack: timeout of one operator call, a proposal or a read of the configuration
	forwardTimeoutRatio  = 0.063 // of Ack: timeout of a proposal forwarded to the register's owner; also the wait before hedging
	statusIntervalRatio  = 0.125 // of InForce: interval between two status rounds of the replica
	recentlyHeardRatio   = 0.75  // of InForce: how long after its last answer a voter counts as reachable
	retryIntervalRatio   = 0.05  // of InForce: pause before an attempt is repeated
	handOverTimeoutRatio = 0.3   // of Grace: timeout of handing over the sampling duty, the vote and the registers
	stopTimeoutRatio     = 0.8   // of Grace: timeout of the orderly part of a stop

	// expiryChecks is how often per Absent bound the registry is searched for silent nodes.
	expiryChecks = 8
	// maxMessageBytes bounds a request in bytes. Replies below it aren't compressed by the transport; configurations are
	// packed separately (see attachConfiguration).
	maxMessageBytes = 32 << 20
)

// Server is the process of one control machine of an open fleet.
type Server struct {
	scope         base.Scope
	params        atomic.Pointer[wire.ControllerParams]
	address       string // where peers and nodes reach this machine
	incarnation   string
	client        *http.Client
	cancel        context.CancelFunc
	servers       []*httpserver.Server
	tasks         base.Group
	core          atomic.Pointer[core]
	registry      *registry
	changed       base.Broadcast // a new configuration or new sampling odds, or a stop
	configuration atomic.Pointer[configurationVersion]
	learning      atomic.Pointer[learningVersion]
	stopping      atomic.Bool
	startedAt     time.Duration
	recent        recentConfigurations // to compute changes for nodes from
	reads         *sharedReads[readResult]
	departures    *sharedReads[departuresRead]
}

// Start opens the servers for peers and for operators and returns; the data folder is opened and the peers are
// joined in the background. operatorHandler builds the handler of the operators' server. Start fails if the
// settings are invalid or an address can't be bound.
func Start(s base.Scope, p *wire.ControllerParams, operatorHandler func(*Server) http.Handler) (*Server, error) {
	SetDefaults(p)
	if err := Check(p); err != nil {
		return nil, err
	}
	s, cancel := s.WithCancel()
	m := &Server{scope: s, address: p.Peers, incarnation: s.Rand.Hex(8), client: httpserver.NewClient(s), cancel: cancel, registry: newRegistry(s.Clock), reads: newSharedReads[readResult](), departures: newSharedReads[departuresRead]()}
	m.startedAt = s.Clock.Mono()
	m.params.Store(p)
	m.configuration.Store(newConfigurationVersion(nil, nil))
	m.learning.Store(&learningVersion{})
	mux := http.NewServeMux()
	mux.Handle(wireconnect.NewMoorHandler(rpcService{m}, connect.WithCompressMinBytes(maxMessageBytes), connect.WithReadMaxBytes(maxMessageBytes)))
	m.registerViews(mux)
	mux.HandleFunc("/"+wireconnect.ReplicasName+"/", m.requireCore(func(c *core) http.Handler { return c.replicaHandler }))
	mux.HandleFunc("/"+wireconnect.LensName+"/", m.requireCore(func(c *core) http.Handler { return c.traceHandler }))
	for _, each := range []struct {
		address string
		handler http.Handler
	}{{p.Peers, mux}, {p.Operators, operatorHandler(m)}} {
		server, err := httpserver.Serve(s, each.address, each.handler)
		if err != nil {
			m.Kill()
			return nil, err
		}
		m.servers = append(m.servers, server)
	}
	m.tasks.Go(func() { m.run(s) })
	s.Log.Info("started", "name", p.Name, "zone", p.Zone, "founding", p.Founding)
	return m, nil
}

// requireCore delegates to a handler of the core, and answers 503 until the core is open.
func (m *Server) requireCore(pick func(*core) http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if c := m.core.Load(); c != nil {
			pick(c).ServeHTTP(w, r)
			return
		}
		http.Error(w, "not joined yet", http.StatusServiceUnavailable)
	}
}

// run opens the core and then runs the tasks of a control machine until the scope ends.
func (m *Server) run(s base.Scope) {
	var group base.Group
	group.Go(func() { m.expireNodes(s) })
	if c := m.join(s); c != nil {
		m.core.Store(c)
		group.Go(func() { c.replica.Run(s) })
		group.Go(func() { m.watchReplica(s, c) })
		group.Go(func() { c.traces.Run(s, ratioOf(m.params.Load().InForce, 4*statusIntervalRatio)) })
		group.Go(func() { newSamplingLearner(m, c).run(s) })
	}
	group.Wait()
}

// expireNodes marks nodes absent that have been silent for longer than the Absent bound.
func (m *Server) expireNodes(s base.Scope) {
	base.Tick(s, ratioOf(m.params.Load().Absent, 1.0/expiryChecks), func(s base.Scope) {
		for _, node := range m.registry.expire(m.params.Load().Absent.AsDuration()) {
			s.Log.Warn("node absent", "of", node)
			s.Record("absent", node, "")
		}
	})
}

// watchReplica decodes newly chosen versions and logs changes of ownership and membership until the scope ends.
func (m *Server) watchReplica(s base.Scope, c *core) {
	var logged membershipLog
	for s.Err() == nil {
		changed := c.replica.Changed()
		m.refreshVersions(c)
		logged.logChanges(s, c)
		base.Await(s, ratioOf(m.params.Load().InForce, 1), changed)
	}
}

// refreshVersions decodes newly chosen versions of both registers and wakes the polls that wait for them.
func (m *Server) refreshVersions(c *core) {
	previous := m.configuration.Load()
	if newest := previous.decode(m.scope, c.replica.Chosen(ConfigurationKey)); newest != previous {
		m.configuration.Store(newest)
		m.recent.add(newest)
		m.changed.Notify()
	}
	previousLearning := m.learning.Load()
	if newestLearning := previousLearning.decode(m.scope, c.replica.Chosen(LearningKey)); newestLearning != previousLearning {
		m.learning.Store(newestLearning)
		if newestLearning.state.GetOdds().GetSerial() != previousLearning.state.GetOdds().GetSerial() {
			m.changed.Notify()
		}
	}
}

// membershipLog remembers what was last logged of ownership and membership.
type membershipLog struct {
	owns       bool
	votes      bool
	generation uint64
}

// logChanges logs what has changed since the last call.
func (l *membershipLog) logChanges(s base.Scope, c *core) {
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

// Ready reports whether this control machine has joined its peers and has a vote.
func (m *Server) Ready() bool {
	c := m.core.Load()
	return c != nil && c.replica.IsVoter()
}

// Settled reports whether this control machine has a vote and a recent status round found the newest configuration
// on a majority of disks.
func (m *Server) Settled() bool {
	c := m.core.Load()
	if c == nil || !c.replica.IsVoter() {
		return false
	}
	began, ok := c.replica.ReplicatedAsOf(ConfigurationKey)
	return ok && m.isRecent(began, recentlyHeardRatio)
}

// heardMajorityRecently reports whether a majority has answered within the InForce bound, or whether this process
// is younger than that. Callers use it only to fail early instead of waiting for a timeout. It is never evidence
// for a decision, which always needs answers of a majority to requests sent after the call.
func (m *Server) heardMajorityRecently(c *core) bool {
	began, _ := c.replica.LastMajority()
	return m.isRecent(max(began, m.startedAt), 1)
}

// isRecent reports whether a moment of the monotonic clock is no further back than a ratio of the InForce bound.
func (m *Server) isRecent(moment time.Duration, ratio float64) bool {
	return m.scope.Clock.Mono()-moment <= ratioOf(m.params.Load().InForce, ratio)
}

// Stop shuts down in order within the Grace bound: it hands over the duty of the sampling learner, the vote and
// the registers that this control machine owns, answers the polls that it holds and closes its servers once they
// are idle.
func (m *Server) Stop() {
	grace := m.params.Load().Grace
	s, cancel := m.scope.WithContext(context.WithoutCancel(m.scope)).WithTimeout(ratioOf(grace, stopTimeoutRatio))
	defer cancel()
	if c := m.core.Load(); c != nil {
		handOverScope, cancel := s.WithTimeout(ratioOf(grace, handOverTimeoutRatio))
		m.handOverLearning(handOverScope, c)
		if err := c.replica.Leave(handOverScope); err != nil {
			m.scope.Log.Warn("not replaced before the stop", "error", err)
		}
		c.replica.TransferOwnership(handOverScope, ConfigurationKey, LearningKey, DeparturesKey)
		cancel()
	}
	m.stopping.Store(true)
	m.changed.Notify()
	m.cancel()
	base.Parallel(m.servers, func(server *httpserver.Server) { server.CloseWhenIdle(s) })
	m.Kill()
	m.scope.Log.Info("stopped")
}

// Kill shuts down at once, without handing anything over.
func (m *Server) Kill() {
	m.cancel()
	for _, server := range m.servers {
		server.Close()
	}
	m.tasks.Wait()
	m.client.CloseIdleConnections()
}

// Reload applies changed settings. It fails if the name, an address or the data folder differs: those need a
// restart.
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
