package dataplane

import (
	"context"
	"net/http"
	"time"

	"curlewreach/base"
	"curlewreach/internal/attempts"
	"curlewreach/internal/config"
	"curlewreach/internal/dataplane/balancer"
	"curlewreach/internal/dataplane/connection"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/dataplane/retry"
)

// clientCall is a client request on its way to an upstream, in one or more attempts. Times are readings of the
// monotonic clock.
type clientCall struct {
	node         *Node
	metadata     forwarding.Metadata
	route        *config.Route
	id           string // the request ID, which the answer must carry
	request      *connection.Request
	startedAt    time.Duration
	deadline     time.Duration // earlier of the client's deadline and the route's timeout
	usualLatency time.Duration // mean latency of the route; 0 until one has been measured
	workTime     time.Duration // within which most attempts on the route are answered; 0 until one has been measured
	ledger       *retry.Ledger
	sent         []*sentAttempt
	results      chan attemptResult
	ctx          context.Context
	cancel       context.CancelFunc
}

// attemptResult is a finished attempt and its outcome.
type attemptResult struct {
	attempt *retry.Attempt
	outcome forwarding.Outcome
}

// newClientCall creates the call of a client request and credits the retry budget of its service. request is the
// message to send upstream.
func (n *Node) newClientCall(client *clientRequest, request *connection.Request) *clientCall {
	route, deadline := client.route, client.startedAt+client.holdLimit()
	service := route.PickService(n.scope.Rand.Float64())
	call := &clientCall{
		node: n, route: route, id: client.id, startedAt: client.startedAt, deadline: deadline, request: request,
		metadata: forwarding.Metadata{
			Service: service, Route: route.Name(), Rank: int(route.Raw.Rank), AtMostOnce: !route.Repeatable(), Serial: client.table.Serial(),
			Sampled: true, Trace: n.parentTrace(route, client.startedAt, client.timeout),
		},
		usualLatency: n.latencies.Mean(route.Name()), workTime: n.latencies.Sufficient(route.Name()),
		ledger:  &retry.Ledger{Repeatable: route.Repeatable(), MaxTries: route.MaxAttempts(), Deadline: deadline},
		results: make(chan attemptResult, retry.MaxAttempts+1),
	}
	n.retryBudget.Earn(service)
	call.ctx, call.cancel = context.WithTimeout(n.scope.Context, deadline-call.now())
	return call
}

// finish releases what the call still holds, however it ended: it drops answers that were not relayed, and hands
// attempts still running to awaitRunning.
func (c *clientCall) finish() {
	for _, attempt := range c.ledger.Attempts {
		attempt.Response.Abort()
	}
	if c.ledger.Running() == 0 {
		c.cancel()
		return
	}
	go c.awaitRunning()
}

// awaitRunning waits for the attempts still running, drops their answers and then cancels the call's context.
func (c *clientCall) awaitRunning() {
	defer c.cancel()
	for c.ledger.Running() > 0 {
		result := <-c.results
		c.record(result)
		result.attempt.Response.Abort()
	}
}

func (c *clientCall) now() time.Duration { return c.node.scope.Clock.Mono() }

// startAttempt sends an attempt to the candidate in a new goroutine, which updates the statistics of the peer and
// the route and delivers the result to c.results.
func (c *clientCall) startAttempt(candidate balancer.Candidate, metadata forwarding.Metadata) {
	attempt := &retry.Attempt{Node: candidate.Node, StartedAt: c.now(), MayWait: metadata.MayWait}
	c.ledger.Attempts = append(c.ledger.Attempts, attempt)
	n := c.node
	metadata.Attempt = c.newReference(candidate, metadata)
	ctx, cancel := context.WithCancel(c.ctx)
	sent := &sentAttempt{entry: attempt, candidate: candidate, cancel: cancel, reference: metadata.Attempt}
	c.sent = append(c.sent, sent)
	n.peers.AttemptBegun(candidate.Node)
	go func() {
		outcome := sent.settle(n.sendAttempt(ctx, sent, metadata, c.request, c.id, c.deadline))
		took := n.scope.Clock.Mono() - attempt.StartedAt
		if nested, _ := n.nestedRoutes.Get(c.route.Name()); outcome.Load != nil && outcome.Load.NestedCall && !nested {
			n.nestedRoutes.Put(c.route.Name(), true)
			n.scope.Record("further", c.route.Name(), "called by some services only")
		}
		took -= min(outcome.Waited, took)
		n.peers.AttemptEnded(candidate.Node, outcome.Load, took, c.usualLatency, outcome.State == forwarding.Answered)
		if outcome.Kind == base.NoInstance || outcome.Kind == base.Stopping {
			n.peers.InstanceGone(candidate.Node, candidate.Instance)
		}
		if outcome.State == forwarding.Answered {
			n.latencies.Record(c.route.Name(), took)
		}
		c.results <- attemptResult{attempt, outcome}
	}()
}

// newReference returns the reference of an attempt. At this node it is an entry that can be withdrawn. A peer can be
// queried by it after a lost connection, and in a stop; it is left out for attempts that may be repeated, unless they
// may wait at the peer, the node is stopping, or the retry budget is exhausted.
func (c *clientCall) newReference(candidate balancer.Candidate, metadata forwarding.Metadata) attempts.Reference {
	n := c.node
	if candidate.Node == n.params.Name {
		return attempts.Reference{Entry: n.fences.Table.NewEntry()}
	}
	if !c.ledger.Repeatable || metadata.MayWait || n.shutdown.hasBegun() || !n.retryBudget.CanSpend(c.metadata.Service) {
		return n.fences.NewReference(candidate.Node, n.peers.Incarnation)
	}
	return attempts.Reference{}
}

// record copies the outcome of an attempt into the ledger.
func (c *clientCall) record(result attemptResult) {
	attempt, outcome := result.attempt, result.outcome
	attempt.State, attempt.Kind, attempt.ReachedUpstream, attempt.RetryAfter, attempt.Response = outcome.State, outcome.Kind, outcome.ReachedUpstream, outcome.RetryAfter, outcome.Response
}

// run makes attempts until the client has been answered. It panics with http.ErrAbortHandler if the client
// disconnects.
func (c *clientCall) run(w http.ResponseWriter, clientCtx context.Context) {
	n := c.node
	timers := c.newTimers()
	defer timers.stop()
	for {
		c.applyCurrentConfiguration()
		switch c.ledger.Next(c.now()) {
		case retry.Relay:
			c.relayBest(w)
			return
		case retry.GiveUp:
			c.giveUp(w, nil)
			return
		case retry.Send:
			if started, fault := c.startNext(); !started {
				c.finishWithoutAttempt(w, fault)
				return
			}
			continue
		}
		select {
		case result := <-c.results:
			c.record(result)
		case <-timers.hedge.C:
			if c.mayHedge() && !c.hedge() {
				timers.hedge.Reset(c.usualLatency) // until then an upstream releases a slot
			}
		case <-timers.stopBegun:
			timers.stopSeen(c.now(), c.workTime)
		case <-timers.withdraw:
			c.withdrawAttempts()
		case <-clientCtx.Done():
			n.countOutcome("visitor-gone")
			c.abort()
		case <-timers.answer:
			c.finishWithoutAttempt(w, n.stoppingFault())
			return
		case <-timers.deadline.C:
			c.giveUp(w, nil)
			return
		}
	}
}

// startNext starts another attempt. If it can't, it returns the reason, or a nil fault if the retry budget is
// exhausted.
func (c *clientCall) startNext() (started bool, fault *base.Fault) {
	n := c.node
	if !n.shutdown.leavesTimeFor(c.workTime) {
		return false, n.stoppingFault()
	}
	isRetry := c.ledger.UpstreamAttempts() > 0
	if isRetry && !n.retryBudget.Spend(c.metadata.Service) {
		n.countOutcome("repeat-unpaid")
		return false, nil
	}
	candidate, metadata, fault := c.selectUpstream(false)
	if fault != nil {
		if isRetry {
			n.retryBudget.Refund(c.metadata.Service)
		}
		return false, fault
	}
	metadata.Retry = isRetry
	c.startAttempt(candidate, metadata)
	return true, nil
}

// hedge starts a second attempt beside a slow one, if an upstream has a free slot and the retry budget allows it.
func (c *clientCall) hedge() (started bool) {
	if !c.node.shutdown.leavesTimeFor(c.workTime) {
		return false
	}
	candidate, metadata, fault := c.selectUpstream(true)
	if fault != nil || !c.node.retryBudget.Spend(c.metadata.Service) {
		return false
	}
	metadata.Retry = true
	c.node.countOutcome("hedged")
	c.startAttempt(candidate, metadata)
	return true
}

// routeTimeoutSlack is how far below the route's timeout a client's timeout must be to count as inherited from the
// deadline of a parent request.
const routeTimeoutSlack = 5 * time.Millisecond

// parentTrace returns the trace of the local upstream's request that makes this call, or "" if it is unknown or
// ambiguous.
func (n *Node) parentTrace(route *config.Route, startedAt, timeout time.Duration) string {
	if nested, _ := n.nestedRoutes.Get(route.Name()); !nested {
		return ""
	}
	return n.callTracker.FindParent(route.Name(), startedAt+timeout, timeout < route.Timeout()-routeTimeoutSlack)
}
