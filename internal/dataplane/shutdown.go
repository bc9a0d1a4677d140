package dataplane

import (
	"sync/atomic"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/admission"
)

// Phases of a graceful stop. The ratios are of the grace period (params.Grace) and count from the start of the stop,
// unless stated otherwise.
const (
	// clientDrainRatio is how long new client connections are accepted after the node reports not ready.
	// peerDrainRatio is how long after that requests of peers, and of clients on open connections, are still
	// accepted.
	clientDrainRatio = 0.4
	peerDrainRatio   = 0.1
	// answerRatio is when requests that still wait for an upstream are answered by the node itself.
	answerRatio = 0.85
	// withdrawalRatio is how long before that the last attempt may start. It is the time to find out which attempts
	// have begun.
	withdrawalRatio = 0.15
	// stopDeadlineRatio is when the node closes its connections, with answers still being written or not.
	stopDeadlineRatio = 0.88
	// requiredIdleChecks consecutive checks, idleCheckInterval apart, that find no request in flight, nor one that has
	// begun to arrive, end the stop early.
	requiredIdleChecks = 3
	idleCheckInterval  = 20 * time.Millisecond
)

// shutdown tells the phase of a graceful stop. It is safe for concurrent use.
type shutdown struct {
	clock base.Clock
	grace time.Duration
	// begun is closed when the stop begins; startedAt is set before that.
	begun     chan struct{}
	startedAt time.Duration
	rejecting atomic.Bool
}

func newShutdown(clock base.Clock, grace time.Duration) *shutdown {
	return &shutdown{clock: clock, grace: grace, begun: make(chan struct{})}
}

// begin starts the stop. It must be called once.
func (s *shutdown) begin() {
	s.startedAt = s.clock.Mono()
	close(s.begun)
}

// hasBegun reports whether the node is stopping.
func (s *shutdown) hasBegun() bool {
	select {
	case <-s.begun:
		return true
	default:
		return false
	}
}

// reject begins the phase in which requests that arrive are rejected.
func (s *shutdown) reject() { s.rejecting.Store(true) }

// isRejecting reports whether requests that arrive are rejected.
func (s *shutdown) isRejecting() bool { return s.rejecting.Load() }

// at returns the time of a ratio of the grace period. The stop must have begun.
func (s *shutdown) at(ratio float64) time.Duration {
	return s.startedAt + base.ScaleDuration(s.grace, ratio)
}

// latestStart returns the latest time at which an attempt may start whose upstream is expected to take the given time,
// so that it can be answered in this stop. The stop must have begun.
func (s *shutdown) latestStart(expected time.Duration) time.Duration {
	return s.at(answerRatio) - max(base.ScaleDuration(s.grace, withdrawalRatio), expected)
}

// leavesTimeFor reports whether an attempt that takes the expected time may start now. It may always, unless the node
// is stopping.
func (s *shutdown) leavesTimeFor(expected time.Duration) bool {
	return !s.hasBegun() || s.clock.Mono() < s.latestStart(expected)
}

// Stop shuts the node down gracefully: it reports not ready, tells the peers, serves clients for a while, then rejects
// what arrives and waits until requests in flight have been answered or the stop deadline is reached. Each request that
// the node has read gets its upstream's answer, status 503 if it has not begun and never will, or 502 if neither is known
// in time. Idle connections stay open until the end, because closing one would race with a request that is just being
// read from it.
func (n *Node) Stop() {
	grace := n.params.Grace.AsDuration()
	n.scope.Log.Info("stopping")
	n.shutdown.begin()
	n.statusRevision.Add(1)
	n.controlClient.StatusChanged()
	clientServer := n.servers[len(n.servers)-1]
	base.Await(n.scope, base.ScaleDuration(grace, clientDrainRatio))
	clientServer.CloseListener()
	base.Await(n.scope, base.ScaleDuration(grace, peerDrainRatio))
	n.shutdown.reject()
	n.instance.CloseQueue(n.stoppingFault())
	for idle := 0; idle < requiredIdleChecks && n.scope.Clock.Mono() < n.shutdown.at(stopDeadlineRatio); idle++ {
		base.Await(n.scope, idleCheckInterval)
		if n.inFlight.Load() > 0 || !n.clientConnections.Quiescent() {
			idle = -1
		}
	}
	n.scope.Log.Info("stopped", "inside", n.inFlight.Load())
	n.Kill()
}

// stoppingFault says that a request is rejected because this node is stopping.
func (n *Node) stoppingFault() *base.Fault {
	return base.NewFault(base.Stopping, "", "this node is stopping").WithRetryAfter(n.unavailableRetryAfter())
}

// unavailableRetryAfter returns how long a client of a node that is not ready should wait: in a stop until the process
// ends at the latest, otherwise for a heartbeat, after which a node in contact knows the upstreams.
func (n *Node) unavailableRetryAfter() time.Duration {
	if n.shutdown.hasBegun() {
		return max(n.shutdown.at(stopDeadlineRatio)-n.scope.Clock.Mono(), admission.MinRetryAfter)
	}
	return n.params.Beat.AsDuration()
}
