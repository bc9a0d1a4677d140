package dataplane

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/balancer"
	"curlewreach/internal/dataplane/connection"
	"curlewreach/internal/dataplane/fencing"
	"curlewreach/internal/dataplane/forwarding"
)

// heldFromPeer is how much of an answer is read before any of it is passed on, in bytes.
const heldFromPeer = 512 << 10

// send passes a request to the node beside an upstream, or delivers it here. Where that node has forgotten the mark that the
// attempt bore, another attempt with the present one follows at once.
func (n *Node) send(ctx context.Context, to balancer.Candidate, way forwarding.Metadata, m *connection.Request, attempt string, until time.Duration) forwarding.Outcome {
	o := n.sendOnce(ctx, to, way, m, attempt, until)
	if fencing.IsStaleMark(way.Attempt, o) {
		way.Attempt = n.fences.NewReference(to.Node, n.peers.Incarnation)
		return n.sendOnce(ctx, to, way, m, attempt, until)
	}
	return o
}

// sendOnce makes one attempt.
func (n *Node) sendOnce(ctx context.Context, to balancer.Candidate, way forwarding.Metadata, m *connection.Request, attempt string, until time.Duration) forwarding.Outcome {
	way.Instance = to.Instance
	mine := *m
	mine.Header = forwarding.EndToEnd(m.Header)
	if to.Node == n.params.Name {
		o := n.deliver(ctx, way, &mine, attempt, until)
		weight := n.loadReport()
		weight.NestedCall = o.NestedCall
		o.Load = &weight
		return o
	}
	left := until - n.scope.Clock.Mono()
	if left <= 0 {
		return forwarding.NotRunOutcome(base.NewFault(base.Expired, "", "no time was left"))
	}
	mine.Header[n.headers.TimeLeft] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	mine.Header[forwarding.MetadataHeader] = []string{way.String()}
	fencing.SetAttemptHeader(way.Attempt, mine.Header)
	h := peerAttempt{node: n, to: to, metadata: way, id: attempt, until: until}
	r, sent, err := n.peerConnections.Exchange(ctx, to.Address, &mine, func(r *http.Response) bool { return r.Header.Get(n.headers.RequestID) == attempt })
	if err != nil {
		return h.connectionBroke(ctx, sent, err)
	}
	return h.answered(ctx, r)
}

// peerAttempt is one attempt's way to the node beside an upstream.
type peerAttempt struct {
	node     *Node
	to       balancer.Candidate
	metadata forwarding.Metadata
	id       string // the request's own
	until    time.Duration
}

// connectionBroke ends an attempt whose connection gave no answer; sent tells whether a byte of it may have left.
func (h peerAttempt) connectionBroke(ctx context.Context, sent bool, err error) forwarding.Outcome {
	n, name := h.node, h.to.Node
	switch {
	case ctx.Err() != nil && sent:
		return forwarding.IndeterminateOutcome(base.Expired, "no answer in time")
	case ctx.Err() != nil:
		return forwarding.NotRunOutcome(base.NewFault(base.Expired, "", "no time was left"))
	}
	n.scope.Record("peer-lost", name, err.Error())
	n.peers.MarkUnreachable(name)
	if !sent {
		return forwarding.NotRunOutcome(base.NewFault(base.Unreachable, "", "the peer could not be reached"))
	}
	n.peerConnections.CloseIdle(h.to.Address)
	o := h.resolve(ctx, forwarding.IndeterminateOutcome(base.Lost, err.Error()))
	if h.metadata.Attempt.IsSet() && o.State == forwarding.Indeterminate {
		n.peers.MarkUnreachable(name)
	}
	return o
}

func (h peerAttempt) resolve(ctx context.Context, doubted forwarding.Outcome) forwarding.Outcome {
	return h.node.fences.Resolve(ctx, fencing.Peer{Node: h.to.Node, Address: h.to.Address}, h.metadata.Attempt, h.id, h.until, doubted)
}

// answered reads what the other node says: an upstream's answer, or an outcome without one.
func (h peerAttempt) answered(ctx context.Context, r *connection.Response) forwarding.Outcome {
	n := h.node
	weight, weighed := forwarding.ParseLoadReport(r.Header.Get(forwarding.LoadHeader))
	if weighed {
		n.control.ObservePeerSerial(weight.Serial)
	}
	n.fences.LearnFromHeader(h.to.Node, r.Header.Get(forwarding.MarkHeader))
	said, isOutcome := forwarding.ParseOutcome(r.Header.Get(forwarding.OutcomeHeader))
	if !weighed {
		r.DisableReuse()
	}
	a, err := forwarding.ReadResponse(r, heldFromPeer, func(bool) {})
	if err != nil {
		r.Abort()
		return h.resolve(ctx, forwarding.IndeterminateOutcome(base.Garbled, "the answer broke off between nodes"))
	}
	if !weighed {
		a.Abort()
		return forwarding.IndeterminateOutcome(base.Garbled, "an answer of no peer")
	}
	if isOutcome {
		a.Abort()
		said.Load = &weight
		return said
	}
	return forwarding.Outcome{State: forwarding.StateOf(a.Status), ReachedUpstream: true, Response: a, Load: &weight, Waited: time.Duration(weight.WaitedMs) * time.Millisecond}
}
