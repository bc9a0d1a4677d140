package dataplane

import (
	"context"
	"sync"
	"time"

	"curlewreach/base"
	"curlewreach/internal/attempts"
	"curlewreach/internal/dataplane/balancer"
	"curlewreach/internal/dataplane/fencing"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/dataplane/retry"
)

// countWithdrawn counts the attempts that a stop of this node has withdrawn before they began.
const countWithdrawn = "attempt-withdrawn"

// sentAttempt is an attempt on its way to an upstream, as a withdrawal sees it. It is safe for concurrent use.
type sentAttempt struct {
	entry     *retry.Attempt // in the ledger of the call, which alone uses it
	candidate balancer.Candidate
	cancel    context.CancelFunc // ends the wait for its outcome

	mu          sync.Mutex
	reference   attempts.Reference
	withdrawing bool // set before the other node is queried
	withdrawn   bool // the attempt has not begun and never will
}

// renew replaces the reference of an attempt that is sent again. It reports false if the attempt is being withdrawn;
// then it must not be sent again.
func (a *sentAttempt) renew(reference attempts.Reference) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.withdrawing {
		return false
	}
	a.reference = reference
	return true
}

// startWithdrawal returns the reference to query. It is final from now on.
func (a *sentAttempt) startWithdrawal() attempts.Reference {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.withdrawing = true
	return a.reference
}

// markWithdrawn records that the attempt never begins, and ends the wait for its outcome.
func (a *sentAttempt) markWithdrawn() {
	a.mu.Lock()
	a.withdrawn = true
	a.mu.Unlock()
	a.cancel()
}

// settle returns the outcome of the attempt: "not run" if it was withdrawn, however its connection ended.
func (a *sentAttempt) settle(outcome forwarding.Outcome) forwarding.Outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.withdrawn || outcome.State == forwarding.NotRun {
		return outcome
	}
	outcome.Response.Abort()
	return forwarding.NotRunOutcome(base.NewFault(base.Fenced, "", "the attempt was withdrawn before it began"))
}

// withdraw prevents an attempt from beginning, if it has not begun yet. Whether it has is decided on the node beside
// the upstream, under the lock under which attempts begin: a slot that comes free at this moment starts the attempt or
// the attempt never starts. If that node does not say that the attempt never begins, the attempt stays as it is.
func (n *Node) withdraw(ctx context.Context, attempt *sentAttempt, deadline time.Duration) {
	reference := attempt.startWithdrawal()
	neverBegins := false
	switch {
	case reference.Entry != nil:
		neverBegins = reference.Entry.Withdraw()
	case reference.IsSet():
		neverBegins = n.fences.Withdraw(ctx, fencing.Peer{Node: attempt.candidate.Node, Address: attempt.candidate.Address}, reference, deadline)
	}
	if neverBegins {
		n.countOutcome(countWithdrawn)
		attempt.markWithdrawn()
	}
}

// callTimers wakes up a call that waits for the outcome of its attempts.
type callTimers struct {
	shutdown  *shutdown
	hedge     *time.Timer     // when a second attempt may be made
	deadline  *time.Timer     // the deadline of the call
	stopBegun <-chan struct{} // nil once the stop of the node has been seen
	withdraw  <-chan time.Time
	answer    <-chan time.Time
}

// newTimers returns the timers of a call that begins now.
func (c *clientCall) newTimers() *callTimers {
	t := &callTimers{shutdown: c.node.shutdown, hedge: time.NewTimer(time.Hour), deadline: time.NewTimer(c.deadline - c.now()), stopBegun: c.node.shutdown.begun}
	if hedgeDelay := c.node.latencies.SlowThreshold(c.route.Name()); c.ledger.Repeatable && hedgeDelay > 0 && !c.route.Bulk() {
		t.hedge.Reset(hedgeDelay)
	}
	return t
}

// stop stops the timers.
func (t *callTimers) stop() {
	t.hedge.Stop()
	t.deadline.Stop()
}

// stopSeen sets the timers that a stop of the node needs: one for the latest start of an attempt that takes the
// expected time, and one for the latest answer.
func (t *callTimers) stopSeen(now, expected time.Duration) {
	t.stopBegun = nil
	t.withdraw = time.After(t.shutdown.latestStart(expected) - now)
	t.answer = time.After(t.shutdown.at(answerRatio) - now)
}

// withdrawAttempts withdraws the attempts that have no outcome yet. Their outcomes arrive as usual.
func (c *clientCall) withdrawAttempts() {
	for _, attempt := range c.sent {
		if attempt.entry.State == forwarding.Running {
			go c.node.withdraw(c.ctx, attempt, c.node.shutdown.at(answerRatio))
		}
	}
}
