package dataplane

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/admission"
	"curlewreach/internal/dataplane/callgraph"
	"curlewreach/internal/dataplane/connection"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/proto/wire"
)

// heldFromUpstream is how much of an answer is read before any of it is passed on, in bytes.
const heldFromUpstream = 1 << 20

// instanceFor returns the upstream beside this node, if it may take the request, and the queue in front of it.
func (n *Node) instanceFor(way forwarding.Metadata) (*wire.Instance, *admission.Queue, *base.Fault) {
	instance, gate, _ := n.instance.Current()
	switch {
	case instance == nil || instance.Service != way.Service || way.Instance != "" && way.Instance != instance.Id:
		return nil, gate, base.NewFault(base.NoInstance, "", "that upstream is not here")
	case instance.Leaving:
		return nil, gate, base.NewFault(base.NoInstance, "", "that upstream is leaving")
	case n.closed.Load():
		return nil, gate, base.NewFault(base.Stopping, "", "this node is stopping")
	}
	return instance, gate, nil
}

// delivery is a request on its way through the admission queue to the upstream beside this node.
type delivery struct {
	node     *Node
	metadata forwarding.Metadata
	message  *connection.Request
	id       string        // the request's own, which its answer must bear
	until    time.Duration // its deadline by the steady clock
	queue    *admission.Queue
	instance *wire.Instance
	tracked  *callgraph.Request
	leave    func()        // gives the slot back
	waited   time.Duration // for the slot
	further  bool          // it is a call of another upstream
}

// deliver passes a request to the upstream beside this node.
func (n *Node) deliver(ctx context.Context, way forwarding.Metadata, m *connection.Request, attempt string, until time.Duration) forwarding.Outcome {
	d := &delivery{node: n, metadata: way, message: m, id: attempt, until: until}
	if refusal := d.enter(ctx); refusal != nil {
		return *refusal
	}
	if refusal := d.begin(ctx); refusal != nil {
		d.leave()
		return *refusal
	}
	return d.exchange(ctx)
}

// enter waits for a turn in the admission queue.
func (d *delivery) enter(ctx context.Context) (refusal *forwarding.Outcome) {
	n, way := d.node, d.metadata
	_, gate, fault := n.instanceFor(way)
	if fault != nil {
		return forwarding.RejectedOutcome(fault)
	}
	if repeatable, _, _ := n.repeatableNow(way, d.message); way.Retry && !way.AtMostOnce && !repeatable {
		return forwarding.RejectedOutcome(base.NewFault(base.Overloaded, "", "the route's requests may run once by now"))
	}
	now := n.scope.Clock.Mono()
	rank := way.Rank
	if caller := d.message.Header.Get(n.headers.Caller); caller != "" {
		if d.further = n.callers.RecordCall(way.Route, caller, n.peers.NodesByService(n.params.Zone)); d.further {
			rank = min(rank, admission.MaxUrgentRank)
		}
	}
	d.queue = gate
	d.leave, fault = gate.Acquire(ctx, admission.Request{Rank: rank, SoftDeadline: now + way.SoftDeadlineIn, HardDeadline: now + way.HardDeadlineIn, MaxWait: way.MaxWait})
	if fault != nil {
		refusal = forwarding.RejectedOutcome(fault)
		refusal.NestedCall = d.further
		return refusal
	}
	d.waited = n.scope.Clock.Mono() - now
	return nil
}

// begin makes the request ready to be written, once its turn has come: from here on it may run. The upstream may have
// left while the request waited.
func (d *delivery) begin(ctx context.Context) (refusal *forwarding.Outcome) {
	n := d.node
	instance, _, fault := n.instanceFor(d.metadata)
	if fault != nil {
		return forwarding.RejectedOutcome(fault)
	}
	left := d.until - n.scope.Clock.Mono() - forwarding.DeadlineMargin
	if left <= 0 || ctx.Err() != nil {
		return forwarding.RejectedOutcome(base.NewFault(base.Expired, "", "no time was left at the turn"))
	}
	d.message.Header[n.headers.TimeLeft] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	d.message.Header[n.headers.Target] = []string{instance.Id}
	d.message.RequireLive = d.metadata.AtMostOnce
	if !d.metadata.Attempt.Begin() {
		return forwarding.RejectedOutcome(base.NewFault(base.Fenced, "", "this attempt was declared never to begin"))
	}
	d.instance, d.tracked = instance, n.calls.Begin(d.metadata, d.until, left)
	return nil
}

// end gives the slot back and closes the request's span; status 0 makes no span.
func (d *delivery) end(status int) {
	d.leave()
	d.node.calls.End(d.tracked, d.instance, status)
}

// exchange writes the request to the upstream and reads what comes back.
func (d *delivery) exchange(ctx context.Context) forwarding.Outcome {
	r, sent, err := d.node.instanceConnections.Exchange(ctx, d.instance.Address, d.message, d.owns)
	if err != nil {
		return d.unanswered(ctx, sent, err)
	}
	if !d.turnsAway(r) {
		return d.answered(r)
	}
	if r.Header.Get(d.node.headers.RequestID) == "" && !r.IsFirst() {
		r.Abort()
		d.end(0)
		d.node.scope.Record("answer-unowned", d.instance.Id, "")
		return forwarding.IndeterminateOutcome(base.Garbled, "a refusal without an id, perhaps of another request")
	}
	return d.turnedAway(r)
}

// owns tells whether an answer belongs to this request. Only refusals may come without an id.
func (d *delivery) owns(r *http.Response) bool {
	id := r.Header.Get(d.node.headers.RequestID)
	return id == d.id || id == "" && (r.Header.Get(d.node.headers.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest)
}

// turnsAway tells whether an answer says that the request has not run.
func (d *delivery) turnsAway(r *connection.Response) bool {
	return r.StatusCode >= http.StatusBadRequest && r.Header.Get(d.node.headers.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
}

// unanswered ends a request to which no answer came; sent tells whether a byte of it may have left.
func (d *delivery) unanswered(ctx context.Context, sent bool, err error) forwarding.Outcome {
	d.end(0)
	n := d.node
	switch {
	case !sent:
		n.scope.Record("dial-failed", d.instance.Id, err.Error())
		return forwarding.NotRunOutcome(base.NewFault(base.Unreachable, "", "the upstream could not be dialled"))
	case ctx.Err() != nil:
		return forwarding.IndeterminateOutcome(base.Expired, "no answer in time")
	}
	n.failures.Record(d.instance.Id, false)
	n.scope.Record("answer-lost", d.instance.Id, err.Error())
	return forwarding.IndeterminateOutcome(base.Lost, err.Error())
}

// turnedAway ends a request that the upstream says it has not run.
func (d *delivery) turnedAway(r *connection.Response) forwarding.Outcome {
	n, status := d.node, r.StatusCode
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, heldFromUpstream))
	r.Abort()
	d.end(0)
	if status == http.StatusMisdirectedRequest {
		n.scope.Record("instance-void", d.instance.Id, "another upstream listens there")
		n.instance.Leave(d.instance.Id)
	}
	o := forwarding.NotRunOutcome(base.NewFault(base.Overloaded, "", "the upstream turned it away with %d", status).WithRetryAfter(n.queueWait(d.queue)))
	o.ReachedUpstream = status != http.StatusMisdirectedRequest
	return o
}

// answered reads the upstream's answer. One that is not whole, or a success without its seal, counts as lost.
func (d *delivery) answered(r *connection.Response) forwarding.Outcome {
	n, status := d.node, r.StatusCode
	sealed := status >= http.StatusMultipleChoices || r.Header.Get(n.headers.Seal) != ""
	if !sealed {
		r.DisableReuse()
	}
	a, err := forwarding.ReadResponse(r, heldFromUpstream, func(bool) { d.end(status) })
	if err != nil || !sealed {
		r.Abort()
		d.end(0)
		n.failures.Record(d.instance.Id, false)
		n.scope.Record("answer-garbled", d.instance.Id, "")
		return forwarding.IndeterminateOutcome(base.Garbled, "the upstream's answer was not whole")
	}
	n.failures.Record(d.instance.Id, status < http.StatusInternalServerError)
	return forwarding.Outcome{State: forwarding.StateOf(status), ReachedUpstream: true, Response: a, Waited: d.waited, NestedCall: d.further}
}

// queueWait is when to come back to a full upstream.
func (n *Node) queueWait(gate *admission.Queue) time.Duration {
	w := gate.Load()
	return time.Duration(w.ServiceTimeMs) * time.Millisecond
}

// loadReport tells how full the upstream beside this node is.
func (n *Node) loadReport() forwarding.LoadReport {
	instance, gate, _ := n.instance.Current()
	w := forwarding.LoadReport{Load: gate.Load()}
	w.Serial = n.control.Serial()
	w.FailurePercent = int(100 * n.failures.Rate(instance.GetId()))
	w.Leaving = instance.GetLeaving() || instance == nil || n.stopping.Load()
	return w
}
