package dataplane

import (
	"net/http"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
)

// relayBest relays a successful answer or, if there is none, an upstream's failure.
func (c *clientCall) relayBest(w http.ResponseWriter) {
	best := c.ledger.Answered()
	if best == nil {
		best = c.ledger.Failed()
	}
	c.node.countOutcome("answered")
	c.relay(w, best.Response)
}

// finishWithoutAttempt answers a request for which no further attempt can be made: with an upstream's failure if
// there is one, otherwise with an error of this node.
func (c *clientCall) finishWithoutAttempt(w http.ResponseWriter, fault *base.Fault) {
	if failed := c.ledger.Failed(); failed != nil {
		c.relay(w, failed.Response)
		return
	}
	c.giveUp(w, fault)
}

// relay sends an upstream's answer unchanged. For a request that must not be repeated, an answer whose status would
// claim that it did not run is replaced by an unsealed error of this node.
func (c *clientCall) relay(w http.ResponseWriter, answer *forwarding.Response) {
	if forwarding.MayRelay(answer, c.ledger.Repeatable) {
		forwarding.Relay(w, answer)
		return
	}
	answer.Abort()
	c.node.reject(w, base.ResponseLost, "the upstream failed; the request may have run", 0)
}

// abort aborts the handler without an answer. Returning normally would send the client an empty 200 response.
func (c *clientCall) abort() {
	c.cancel()
	panic(http.ErrAbortHandler)
}

// giveUp answers with an error of this node: 504 or 502 if the request may have run, otherwise the fault, or that no
// upstream could take the request.
func (c *clientCall) giveUp(w http.ResponseWriter, fault *base.Fault) {
	n := c.node
	if c.ledger.MayHaveRun() {
		if c.now() >= c.deadline {
			n.reject(w, base.Expired, "no answer in time", 0)
			return
		}
		n.reject(w, base.ResponseLost, "the answer was lost; the request may have run", 0)
		return
	}
	if fault == nil {
		fault = c.overloadedFault(0)
	}
	n.reject(w, fault.Kind, fault.Reason, fault.RetryAfter)
}
