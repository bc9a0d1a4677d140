package controlplane

import (
	"time"

	"curlewreach/base"
)

const (
	// A failed change is retried after minBackoff plus a random part of backoffJitter.
	minBackoff    = 4 * time.Millisecond
	backoffJitter = 24 * time.Millisecond
	// faultBackoff is added after every fault but being superseded by a higher term: a missing majority or a failing disk
	// lasts longer than a race between two owners.
	faultBackoff = 40 * time.Millisecond
	// hedgeTimeoutFactor is the timeout of a hedge as a multiple of the wait before it.
	hedgeTimeoutFactor = 8
)

// ownerOperation is an operation on a replicated register that its owner should carry out, so that control machines
// don't compete for the register. It may be carried out more than once and at two control machines at a time.
type ownerOperation[Outcome any] struct {
	key string
	// local carries the operation out here. It returns nil if the outcome isn't known.
	local func() *Outcome
	// forward lets the control machine at an address carry it out. It returns nil if there was no outcome before the
	// scope ended.
	forward func(s base.Scope, peer string) *Outcome
}

// runAtOwner forwards an operation to the owner of its register if that was heard recently. Without an answer from
// there it carries the operation out here. It returns nil if the outcome isn't known.
func runAtOwner[Outcome any](s base.Scope, m *Server, c *core, operation ownerOperation[Outcome]) *Outcome {
	wait := ratioOf(m.params.Load().Ack, forwardTimeoutRatio)
	forwardedTo := ""
	if owner, _ := c.replica.Owner(operation.key); owner != "" && owner != m.address && c.heardWithin(owner, m.recentlyHeardWindow()) {
		forwardedTo = owner
		if outcome := operation.forwardWithin(s, owner, wait); outcome != nil {
			return outcome
		}
	}
	return runHedged(s, m, c, operation, forwardedTo, wait)
}

// forwardWithin forwards the operation with a timeout.
func (o ownerOperation[Outcome]) forwardWithin(s base.Scope, peer string, timeout time.Duration) *Outcome {
	callScope, cancel := s.WithTimeout(timeout)
	defer cancel()
	return o.forward(callScope, peer)
}

// runHedged carries an operation out here and, if that takes longer than wait or this replica has no vote, also
// forwards it to another control machine than except, since the local disk may have stalled. It returns the first
// outcome.
func runHedged[Outcome any](s base.Scope, m *Server, c *core, operation ownerOperation[Outcome], except string, wait time.Duration) *Outcome {
	localOutcome := make(chan *Outcome, 1)
	peerOutcome := make(chan *Outcome, 1)
	localDone := make(chan struct{})
	go func() {
		localOutcome <- operation.local()
		close(localDone)
	}()
	if c.replica.IsVoter() {
		base.Await(s, wait, localDone)
	}
	pending := 1
	if len(localOutcome) == 0 {
		if peer := m.pickPeer(c, except); peer != "" {
			pending = 2
			go func() { peerOutcome <- operation.forwardWithin(s, peer, hedgeTimeoutFactor*wait) }()
		}
	}
	for range pending {
		select {
		case outcome := <-localOutcome:
			if outcome != nil {
				return outcome
			}
		case outcome := <-peerOutcome:
			if outcome != nil {
				return outcome
			}
		case <-s.Done():
			return nil
		}
	}
	return nil
}

// pickPeer returns a random voter that was heard recently, other than this machine and except, or "".
func (m *Server) pickPeer(c *core, except string) string {
	voters := c.replica.Voters()
	if len(voters) == 0 {
		return ""
	}
	start := m.scope.Rand.IntN(len(voters))
	for i := range voters {
		peer := voters[(start+i)%len(voters)]
		if peer != m.address && peer != except && c.heardWithin(peer, m.recentlyHeardWindow()) {
			return peer
		}
	}
	return ""
}

// retryChange attempts a change of a register until it succeeds or the scope ends.
func (m *Server) retryChange(s base.Scope, key string, attempt func() error) {
	for s.Err() == nil {
		err := attempt()
		if err == nil {
			return
		}
		fault := base.FaultOf(err)
		m.scope.Record("change-failed", key, fault.Error())
		if fault.Kind != base.Superseded {
			base.Await(s, faultBackoff)
		}
		m.backOff(s)
	}
}

// backOff waits a random time, so that control machines competing for the register don't retry in step.
func (m *Server) backOff(s base.Scope) {
	base.Await(s, minBackoff+time.Duration(s.Rand.Float64()*float64(backoffJitter)))
}

// recentlyHeardWindow is how long after its last answer a voter still counts as reachable.
func (m *Server) recentlyHeardWindow() time.Duration {
	return ratioOf(m.params.Load().InForce, recentlyHeardRatio)
}
