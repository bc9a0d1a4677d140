package dataplane

import (
	"cmp"
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

// upstreamAnswerBuffer is how many bytes of an upstream's answer are buffered before any of it is relayed.
const upstreamAnswerBuffer = 1 << 20

// instanceFor returns the local upstream instance, if it may take the request, and the admission queue in front of
// it.
func (n *Node) instanceFor(metadata forwarding.Metadata) (*wire.Instance, *admission.Queue, *base.Fault) {
	instance, queue, _ := n.instance.Current()
	switch {
	case instance == nil || instance.Service != metadata.Service || metadata.Instance != "" && metadata.Instance != instance.Id:
		return nil, queue, base.NewFault(base.NoInstance, "", "the upstream instance is not on this node")
	case instance.Leaving:
		return nil, queue, base.NewFault(base.NoInstance, "", "the upstream instance is leaving")
	case n.shutdown.isRejecting():
		return nil, queue, n.stoppingFault()
	}
	return instance, queue, nil
}

// delivery is a request on its way through the admission queue to the local upstream.
type delivery struct {
	node           *Node
	metadata       forwarding.Metadata
	request        *connection.Request
	id             string        // the request ID, which the answer must carry
	deadline       time.Duration // by the monotonic clock
	queue          *admission.Queue
	instance       *wire.Instance
	trackedRequest *callgraph.Request
	release        func()        // releases the slot in the queue
	waited         time.Duration // time spent in the queue
	begunAt        time.Duration // when the request was sent to the upstream, by the monotonic clock
	nested         bool          // the request is made by an upstream while it serves another one
}

// deliver passes a request to the local upstream and returns its outcome.
func (n *Node) deliver(ctx context.Context, metadata forwarding.Metadata, request *connection.Request, id string, deadline time.Duration) forwarding.Outcome {
	d := &delivery{node: n, metadata: metadata, request: request, id: id, deadline: deadline}
	if refusal := d.enterQueue(ctx); refusal != nil {
		return *refusal
	}
	if refusal := d.prepare(ctx); refusal != nil {
		d.release()
		return *refusal
	}
	return d.exchange(ctx)
}

// enterQueue waits for a slot in the admission queue. It returns an outcome only if the request is rejected.
func (d *delivery) enterQueue(ctx context.Context) (refusal *forwarding.Outcome) {
	n, metadata := d.node, d.metadata
	_, queue, fault := n.instanceFor(metadata)
	if fault != nil {
		return forwarding.RejectedOutcome(fault)
	}
	if repeatable, _, _ := n.currentRepeatability(metadata, d.request); metadata.Retry && !metadata.AtMostOnce && !repeatable {
		return forwarding.RejectedOutcome(base.NewFault(base.Overloaded, "", "the route no longer allows retries"))
	}
	now := n.scope.Clock.Mono()
	if caller := d.request.Header.Get(n.headers.Caller); caller != "" {
		d.nested = n.nestedCallDetector.RecordCall(metadata.Route, caller, n.peers.NodesByService(n.params.Zone))
	}
	d.queue = queue
	d.release, fault = queue.Acquire(ctx, admission.Request{
		Rank: metadata.Rank, WantedStart: now + metadata.WantedStartIn, LatestStart: now + metadata.LatestStartIn,
		Work: n.serviceTimes.Mean(metadata.Route), MayWait: metadata.MayWait,
	})
	if fault != nil {
		refusal = forwarding.RejectedOutcome(fault)
		refusal.NestedCall = d.nested
		return refusal
	}
	d.waited = n.scope.Clock.Mono() - now
	return nil
}

// prepare completes the request once it holds a slot: from here on it may run. The instance is looked up again,
// because it may have left while the request waited.
func (d *delivery) prepare(ctx context.Context) (refusal *forwarding.Outcome) {
	n := d.node
	instance, _, fault := n.instanceFor(d.metadata)
	if fault != nil {
		return forwarding.RejectedOutcome(fault)
	}
	if n.shutdown.hasBegun() && !n.shutdown.leavesTimeFor(cmp.Or(n.serviceTimes.Sufficient(d.metadata.Route), d.queue.MeanWork())) {
		return forwarding.RejectedOutcome(n.stoppingFault())
	}
	timeLeft := d.deadline - n.scope.Clock.Mono() - forwarding.DeadlineMargin
	if timeLeft <= 0 || ctx.Err() != nil {
		return forwarding.RejectedOutcome(base.NewFault(base.Expired, "", "no time was left after the wait in the queue"))
	}
	d.request.Header[n.headers.TimeLeft] = []string{strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10)}
	d.request.Header[n.headers.Target] = []string{instance.Id}
	d.request.RequireLive = d.metadata.AtMostOnce
	if !d.metadata.Attempt.Begin() {
		return forwarding.RejectedOutcome(base.NewFault(base.Fenced, "", "the attempt was fenced before it began"))
	}
	d.begunAt = n.scope.Clock.Mono()
	d.instance, d.trackedRequest = instance, n.callTracker.Begin(d.metadata, d.deadline, timeLeft)
	return nil
}

// end releases the slot and closes the request's trace span. With status 0 no span is recorded.
func (d *delivery) end(status int) {
	d.release()
	d.node.callTracker.End(d.trackedRequest, d.instance, status)
}

// exchange sends the request to the upstream and reads its answer. A rejection without an ID counts only as the
// first response on its connection; on a reused one it may belong to an earlier request.
func (d *delivery) exchange(ctx context.Context) forwarding.Outcome {
	r, sent, err := d.node.instanceConnections.Exchange(ctx, d.instance.Address, d.request, d.ownsResponse)
	if err != nil {
		return d.exchangeFailed(ctx, sent, err)
	}
	if !d.isRejection(r) {
		return d.readAnswer(r)
	}
	if r.Header.Get(d.node.headers.RequestID) == "" && !r.IsFirst() {
		r.Abort()
		d.end(0)
		d.node.scope.Record("answer-unowned", d.instance.Id, "")
		return forwarding.IndeterminateOutcome(base.InvalidResponse, "a rejection without an ID may belong to another request")
	}
	return d.rejected(r)
}

// ownsResponse reports whether a response belongs to this request, by its ID. Only rejections may come without one.
func (d *delivery) ownsResponse(r *http.Response) bool {
	id := r.Header.Get(d.node.headers.RequestID)
	return id == d.id || id == "" && (r.Header.Get(d.node.headers.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest)
}

// isRejection reports whether a response says that the request has not run.
func (d *delivery) isRejection(r *connection.Response) bool {
	return r.StatusCode >= http.StatusBadRequest && r.Header.Get(d.node.headers.NotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
}

// exchangeFailed ends a request that got no response. sent reports whether any byte of it may have been sent; if
// none was, the request certainly has not run.
func (d *delivery) exchangeFailed(ctx context.Context, sent bool, err error) forwarding.Outcome {
	d.end(0)
	n := d.node
	switch {
	case !sent:
		n.scope.Record("dial-failed", d.instance.Id, err.Error())
		return forwarding.NotRunOutcome(base.NewFault(base.Unreachable, "", "the upstream could not be dialled"))
	case ctx.Err() != nil:
		return forwarding.IndeterminateOutcome(base.Expired, "no answer in time")
	}
	n.failureRates.Record(d.instance.Id, false)
	n.scope.Record("answer-lost", d.instance.Id, err.Error())
	return forwarding.IndeterminateOutcome(base.ResponseLost, err.Error())
}

// rejected ends a request that the upstream rejected without running it. Status 421 means that another instance now
// listens on the address, so the local instance is dropped.
func (d *delivery) rejected(r *connection.Response) forwarding.Outcome {
	n, status := d.node, r.StatusCode
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, upstreamAnswerBuffer))
	r.Abort()
	d.end(0)
	if status == http.StatusMisdirectedRequest {
		n.scope.Record("instance-void", d.instance.Id, "another upstream listens there")
		n.instance.Leave(d.instance.Id)
	}
	outcome := forwarding.NotRunOutcome(base.NewFault(base.Overloaded, "", "the upstream rejected the request with status %d", status).WithRetryAfter(n.queueRetryAfter(d.queue)))
	outcome.ReachedUpstream = status != http.StatusMisdirectedRequest
	return outcome
}

// readAnswer reads the upstream's answer. An incomplete answer, or a success without its seal, counts as lost.
func (d *delivery) readAnswer(r *connection.Response) forwarding.Outcome {
	n, status := d.node, r.StatusCode
	sealed := status >= http.StatusMultipleChoices || r.Header.Get(n.headers.Seal) != ""
	if !sealed {
		r.DisableReuse()
	}
	answer, err := forwarding.ReadResponse(r, upstreamAnswerBuffer, func(bool) { d.end(status) })
	if err != nil || !sealed {
		r.Abort()
		d.end(0)
		n.failureRates.Record(d.instance.Id, false)
		n.scope.Record("answer-garbled", d.instance.Id, "")
		return forwarding.IndeterminateOutcome(base.InvalidResponse, "the upstream's answer is incomplete or has no seal")
	}
	n.failureRates.Record(d.instance.Id, status < http.StatusInternalServerError)
	n.serviceTimes.Record(d.metadata.Route, n.scope.Clock.Mono()-d.begunAt)
	return forwarding.Outcome{State: forwarding.StateOf(status), ReachedUpstream: true, Response: answer, Waited: d.waited, NestedCall: d.nested}
}

// queueRetryAfter returns how long to wait before a full upstream is tried again: the mean time that a request holds
// a slot.
func (n *Node) queueRetryAfter(queue *admission.Queue) time.Duration {
	load := queue.Load()
	return time.Duration(load.ServiceTimeMs) * time.Millisecond
}

// loadReport returns the load of the local upstream, as sent with each answer to a peer.
func (n *Node) loadReport() forwarding.LoadReport {
	instance, queue, _ := n.instance.Current()
	report := forwarding.LoadReport{Load: queue.Load()}
	report.Serial = n.controlClient.Serial()
	report.FailurePercent = int(100 * n.failureRates.Rate(instance.GetId()))
	report.Leaving = instance.GetLeaving() || instance == nil || n.shutdown.hasBegun()
	return report
}
