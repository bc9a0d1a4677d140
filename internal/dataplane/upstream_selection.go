package dataplane

import (
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/balancer"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/dataplane/retry"
)

// minRejections is how many nodes must have rejected a call for overload before this node rejects it for what it knows
// of the others: reports of their load are older than the queues that they describe. It is also how many are asked
// whether the call may wait. A second one finds a place almost as surely as all would, and each costs an overloaded
// service time.
const minRejections = 2

// startLimits returns the time within which an attempt must start to meet the latency target, and the time within which
// it must start for most of its like to be answered before the deadline. Either may be negative.
func (c *clientCall) startLimits() (wantedStartIn, latestStartIn time.Duration) {
	now := c.now()
	latestStart := c.deadline - c.workTime
	if shutdown := c.node.shutdown; shutdown.hasBegun() {
		latestStart = min(latestStart, shutdown.latestStart(c.workTime))
	}
	return c.startedAt + c.route.LatencyTarget() - c.workTime - now, latestStart - now
}

// selectUpstream picks the candidate for the next attempt and fills in when the attempt must start. The first attempts at
// candidates that seem to have a free slot may not wait there, since another one may have one if that one has none. A
// hedge goes only to a candidate with a free slot. If there is no suitable candidate, the fault says why and when to
// retry.
func (c *clientCall) selectUpstream(hedging bool) (candidate balancer.Candidate, metadata forwarding.Metadata, fault *base.Fault) {
	n := c.node
	metadata = c.metadata
	metadata.WantedStartIn, metadata.LatestStartIn = c.startLimits()
	if !hedging && c.countRefusedWaiting() >= minRejections {
		return candidate, metadata, c.overloadedFault(0)
	}
	candidates := n.peers.Candidates(c.metadata.Service, c.usualLatency, c.ledger.Tried, n.scope.Rand)
	if free, found := firstFree(candidates, hedging); found {
		metadata.MayWait = !hedging && c.countOverloaded() >= minRejections
		return free, metadata, nil
	}
	if hedging {
		return candidate, metadata, base.NewFault(base.Overloaded, "", "no upstream has a free slot")
	}
	candidate, known := c.shortestWait(candidates)
	if !known {
		return candidate, metadata, c.nobodyFault()
	}
	hopeless := candidate.Full || candidate.Wait > metadata.LatestStartIn
	if metadata.LatestStartIn <= 0 || hopeless && c.countOverloaded() >= minRejections {
		return candidate, metadata, c.overloadedFault(candidate.Wait)
	}
	metadata.MayWait = true
	return candidate, metadata, nil
}

// firstFree returns the best candidate if it has a free slot. A hedge also accepts a lower-ranked one. Candidates
// that were unreachable lately are skipped.
func firstFree(candidates []balancer.Candidate, hedging bool) (free balancer.Candidate, found bool) {
	for _, candidate := range candidates {
		switch {
		case candidate.Avoided || hedging && !candidate.Free:
		case candidate.Free:
			return candidate, true
		default:
			return free, false
		}
	}
	return free, false
}

// shortestWait returns the candidate with the shortest expected wait: the best one not tried yet, or a node that
// rejected an attempt because it was full and at which no attempt of this call has waited.
func (c *clientCall) shortestWait(candidates []balancer.Candidate) (shortest balancer.Candidate, known bool) {
	if known = len(candidates) > 0; known {
		shortest = candidates[0]
	}
	for _, attempt := range c.ledger.Attempts {
		if !attempt.WasFull() || c.ledger.MayHaveWaitedAt(attempt.Node) || known && attempt.RetryAfter >= shortest.Wait {
			continue
		}
		if peer, found := c.node.peers.Candidate(attempt.Node, c.metadata.Service); found {
			shortest, known = peer, true
			shortest.Wait = attempt.RetryAfter
		}
	}
	return shortest, known
}

// countOverloaded returns the number of attempts that were rejected for overload.
func (c *clientCall) countOverloaded() int {
	return c.ledger.Count(func(a *retry.Attempt) bool { return a.Kind == base.Overloaded })
}

// countRefusedWaiting returns the number of attempts that were rejected for overload although they could have waited.
func (c *clientCall) countRefusedWaiting() int {
	return c.ledger.Count(func(a *retry.Attempt) bool { return a.MayWait && a.WasFull() })
}

// overloadedFault says that every upstream is taken. It tells when the first of them is expected to have a slot: after
// the given wait, or earlier if a node that rejected an attempt said so. If neither is known, more is known of the
// upstreams after their next heartbeat. Clients that were rejected together are told to come back at different times,
// spread over the time in which each slot is usually released once.
func (c *clientCall) overloadedFault(wait time.Duration) *base.Fault {
	for _, attempt := range c.ledger.Attempts {
		if attempt.Kind == base.Overloaded && attempt.RetryAfter > 0 && (wait <= 0 || attempt.RetryAfter < wait) {
			wait = attempt.RetryAfter
		}
	}
	if wait <= 0 {
		wait = c.node.unavailableRetryAfter()
	}
	wait += base.ScaleDuration(c.usualLatency, c.node.scope.Rand.Float64())
	return base.NewFault(base.Overloaded, "", "every upstream of %s is taken", c.metadata.Service).WithRetryAfter(wait)
}

// nobodyFault says that no upstream could be asked any more: those that there are are taken, or none is known, which may
// have changed after a heartbeat.
func (c *clientCall) nobodyFault() *base.Fault {
	if c.countOverloaded() > 0 {
		return c.overloadedFault(0)
	}
	return base.NewFault(base.NoInstance, "", "no upstream of %s is known here", c.metadata.Service).WithRetryAfter(c.node.unavailableRetryAfter())
}
