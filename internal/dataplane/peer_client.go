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

// peerAnswerBuffer is how many bytes of a peer's answer are buffered before any of it is relayed.
const peerAnswerBuffer = 512 << 10

// sendAttempt sends a request to the node beside the candidate upstream, or delivers it locally. If the peer no
// longer knows the mark that the attempt carried, one more attempt with the peer's current mark follows at once.
func (n *Node) sendAttempt(ctx context.Context, attempt *sentAttempt, metadata forwarding.Metadata, request *connection.Request, id string, deadline time.Duration) forwarding.Outcome {
	candidate := attempt.candidate
	outcome := n.sendOnce(ctx, candidate, metadata, request, id, deadline)
	if !fencing.IsStaleMark(metadata.Attempt, outcome) {
		return outcome
	}
	metadata.Attempt = n.fences.NewReference(candidate.Node, n.peers.Incarnation)
	if !attempt.renew(metadata.Attempt) {
		return outcome
	}
	return n.sendOnce(ctx, candidate, metadata, request, id, deadline)
}

// sendOnce makes a single attempt.
func (n *Node) sendOnce(ctx context.Context, candidate balancer.Candidate, metadata forwarding.Metadata, request *connection.Request, id string, deadline time.Duration) forwarding.Outcome {
	metadata.Instance = candidate.Instance
	outgoing := *request
	outgoing.Header = forwarding.EndToEnd(request.Header)
	if candidate.Node == n.params.Name {
		outcome := n.deliver(ctx, metadata, &outgoing, id, deadline)
		load := n.loadReport()
		load.NestedCall = outcome.NestedCall
		outcome.Load = &load
		return outcome
	}
	timeLeft := deadline - n.scope.Clock.Mono()
	if timeLeft <= 0 {
		return forwarding.NotRunOutcome(base.NewFault(base.Expired, "", "no time was left"))
	}
	outgoing.Header[n.headers.TimeLeft] = []string{strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10)}
	outgoing.Header[forwarding.MetadataHeader] = []string{metadata.String()}
	fencing.SetAttemptHeader(metadata.Attempt, outgoing.Header)
	attempt := peerAttempt{node: n, candidate: candidate, metadata: metadata, id: id, deadline: deadline}
	r, sent, err := n.peerConnections.Exchange(ctx, candidate.Address, &outgoing, func(r *http.Response) bool { return r.Header.Get(n.headers.RequestID) == id })
	if err != nil {
		return attempt.connectionFailed(ctx, sent, err)
	}
	return attempt.readAnswer(ctx, r)
}

// peerAttempt is an attempt that is sent to another node.
type peerAttempt struct {
	node      *Node
	candidate balancer.Candidate
	metadata  forwarding.Metadata
	id        string // the request ID
	deadline  time.Duration
}

// connectionFailed ends an attempt whose connection gave no response. sent reports whether any byte of it may have
// been sent. The peer is avoided for a while; if it can't tell whether the attempt ran either, it is avoided for
// longer.
func (p peerAttempt) connectionFailed(ctx context.Context, sent bool, err error) forwarding.Outcome {
	n, name := p.node, p.candidate.Node
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
	n.peerConnections.CloseIdle(p.candidate.Address)
	outcome := p.resolve(ctx, forwarding.IndeterminateOutcome(base.ResponseLost, err.Error()))
	if p.metadata.Attempt.IsSet() && outcome.State == forwarding.Indeterminate {
		n.peers.MarkUnreachable(name)
	}
	return outcome
}

// resolve queries the peer whether the attempt ran. It returns fallback if that can't be found out.
func (p peerAttempt) resolve(ctx context.Context, fallback forwarding.Outcome) forwarding.Outcome {
	return p.node.fences.Resolve(ctx, fencing.Peer{Node: p.candidate.Node, Address: p.candidate.Address}, p.metadata.Attempt, p.id, p.deadline, fallback)
}

// readAnswer reads the peer's response: an upstream's answer, or an outcome without one. A response without a load
// report does not come from a peer and leaves the attempt in doubt.
func (p peerAttempt) readAnswer(ctx context.Context, r *connection.Response) forwarding.Outcome {
	n := p.node
	load, hasLoad := forwarding.ParseLoadReport(r.Header.Get(forwarding.LoadHeader))
	if hasLoad {
		n.controlClient.ObservePeerSerial(load.Serial)
	}
	n.fences.LearnFromHeader(p.candidate.Node, r.Header.Get(forwarding.MarkHeader))
	outcome, isOutcome := forwarding.ParseOutcome(r.Header.Get(forwarding.OutcomeHeader))
	if !hasLoad {
		r.DisableReuse()
	}
	answer, err := forwarding.ReadResponse(r, peerAnswerBuffer, func(bool) {})
	if err != nil {
		r.Abort()
		return p.resolve(ctx, forwarding.IndeterminateOutcome(base.InvalidResponse, "the peer's answer is incomplete"))
	}
	if !hasLoad {
		answer.Abort()
		return forwarding.IndeterminateOutcome(base.InvalidResponse, "the answer has no load report")
	}
	if isOutcome {
		answer.Abort()
		outcome.Load = &load
		return outcome
	}
	return forwarding.Outcome{State: forwarding.StateOf(answer.Status), ReachedUpstream: true, Response: answer, Load: &load, Waited: time.Duration(load.WaitedMs) * time.Millisecond}
}
