package listednode

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/kit/endpoint"
	"github.com/pkg/errors"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

// clientRequest is a request to this node, from a client or as a further call from a local instance.
type clientRequest struct {
	request      *http.Request
	fromInstance bool
	w            http.ResponseWriter
}

// clientResponse is a complete, buffered response of an upstream.
type clientResponse struct {
	head *wire.CarryHead
	body []byte
}

// handler returns the handler of requests from clients, or from local instances if fromInstance is set.
func (n *Node) handler(fromInstance bool) http.Handler {
	var handle endpoint.Endpoint = n.handleRequest
	handle = n.instrument(handle)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, err := handle(r.Context(), &clientRequest{request: r, fromInstance: fromInstance, w: w})
		if err != nil {
			writeFault(w, base.FaultOf(err))
			return
		}
		// A nil response has already been streamed to w.
		if buffered := response.(*clientResponse); buffered != nil {
			setHeaders(buffered.head.Headers, w.Header())
			w.WriteHeader(int(buffered.head.Status))
			_, _ = w.Write(buffered.body)
		}
	})
}

// instrument counts requests in flight and records rejections.
func (n *Node) instrument(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		done := n.trackRequest()
		defer done()
		response, err := next(ctx, request)
		if err != nil {
			incoming := request.(*clientRequest)
			n.scope.Record("bounce-"+string(base.FaultOf(err).Kind), incoming.w.Header().Get(traceHeader), incoming.request.URL.Path+": "+base.FaultOf(err).Reason)
		}
		return response, err
	}
}

// handleRequest serves a request: it matches a route, waits for admission, reads the body and makes
// attempts. It returns a *clientResponse, which is nil if the response was streamed.
func (n *Node) handleRequest(ctx context.Context, request any) (any, error) {
	incoming := request.(*clientRequest)
	s := n.scope.WithContext(ctx)
	signed := n.bundle.Load()
	if signed == nil {
		return nil, base.NewFault(base.Uncertain, "", "no bundle is held here yet")
	}
	if !n.confirmations.IsCurrent(signed.Serial) {
		// StaleSerial means that a newer bundle is held by now, which is loaded below.
		if fault := n.awaitSerial(s, signed.Serial); fault != nil && fault.Kind != base.StaleSerial {
			return nil, fault
		}
		signed = n.bundle.Load()
	}
	match, known := signed.Match(incoming.request.Method, incoming.request.URL.Path)
	if !known {
		return nil, base.NewFault(base.NoRoute, "", "no route for %s %s", incoming.request.Method, incoming.request.URL.Path)
	}
	deadline := s.Clock.Mono() + match.Deadline()
	if n.stopping.Load() && !incoming.fromInstance && deadline > time.Duration(n.stopDeadline.Load()) {
		return nil, base.NewFault(base.Stopping, "", "this node stops before the deadline of %s", match.Identifier()).WithRetryAfter(time.Duration(n.stopDeadline.Load()) - s.Clock.Mono())
	}
	s, cancel := s.WithTimeout(match.Deadline())
	defer cancel()
	release, fault := n.admission.Acquire(s, match.Group, signed.Share(match.Group).GetCarried(), deadline)
	if fault != nil {
		return nil, fault
	}
	defer release()
	body, releaseBody, fault := n.readBody(incoming, match.Deadline())
	if fault != nil {
		return nil, fault
	}
	defer releaseBody()
	return n.handleAdmitted(s, incoming, signed, &Ledger{Match: match, Deadline: deadline}, body)
}

// readBody reads a request's body within the timeout and reserves memory for it. The caller calls release
// when the body is no longer needed.
func (n *Node) readBody(incoming *clientRequest, timeout time.Duration) (body []byte, release func(), fault *base.Fault) {
	maxBytes := n.tunables.Load().MaxBodyBytes
	reserved := int64(maxBytes) + 1
	if incoming.request.ContentLength >= 0 {
		reserved = min(reserved, incoming.request.ContentLength)
	}
	if !n.memory.reserve(reserved) {
		return nil, nil, base.NewFault(base.Overloaded, "", "no room in memory for the request's body")
	}
	release = func() { n.memory.release(reserved) }
	_ = http.NewResponseController(incoming.w).SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(io.LimitReader(incoming.request.Body, int64(maxBytes)+1))
	if err != nil {
		release()
		return nil, nil, base.NewFault(base.Malformed, "", "the request's body broke off")
	}
	_ = http.NewResponseController(incoming.w).SetReadDeadline(time.Time{})
	if len(body) > maxBytes {
		release()
		return nil, nil, base.NewFault(base.TooLarge, "", "%d bytes at most", maxBytes)
	}
	return body, release, nil
}

// handleAdmitted makes attempts for an admitted request. It records a span if the trace is sampled, the
// sampler selects the route, and the group's budget has a span left.
func (n *Node) handleAdmitted(s base.Scope, incoming *clientRequest, signed *bundle.Bundle, ledger *Ledger, body []byte) (any, error) {
	match := ledger.Match
	trail, recordCall := n.traceContext(incoming, signed, match)
	defer recordCall()
	incoming.w.Header().Set(traceHeader, trail.Trace)
	if !trail.Sampled || !n.sampler.Sample(match.Identifier()) || !n.spanBudget.Spend(match.Group) {
		return n.runAttempts(s, incoming, signed, ledger, body, trail)
	}
	span := &wire.Span{
		Trace: trail.Trace, Id: n.scope.Rand.Hex(8), Parent: trail.Parent, Service: match.Service.Name, Route: match.Route.Name,
		Node: n.self, Group: match.Group, Side: tracing.CallerSide, Candidates: trail.Candidates,
	}
	startedAt := s.Clock.Mono()
	trail.Parent = span.Id
	defer func() { n.recordSpans(span, ledger, startedAt) }()
	return n.runAttempts(s, incoming, signed, ledger, body, trail)
}

// traceContext returns the trace of a request: that of its parent if it is a further call whose parent was
// found, otherwise a new one, with the candidates if there are several. The caller calls recordCall when
// the request has ended.
func (n *Node) traceContext(incoming *clientRequest, signed *bundle.Bundle, match bundle.RouteMatch) (*wire.Trail, func()) {
	if incoming.fromInstance {
		attribution := n.callTracker.FindParent(incoming.request, match, signed.PathParams(match, incoming.request.URL.Path), signed.Tracing().GetHeader())
		if attribution.Certain {
			n.scope.Record("tied", match.Identifier(), attribution.Parent.spanID)
			startedAt := n.scope.Clock.Mono()
			trail := &wire.Trail{Trace: attribution.Parent.trail.Trace, Parent: attribution.Parent.spanID, Sampled: attribution.Parent.trail.Sampled}
			return trail, func() { n.callTracker.RecordCall(attribution.Parent, startedAt) }
		}
		if len(attribution.Candidates) > 0 {
			n.scope.Record("ambiguous", match.Identifier(), "")
			return &wire.Trail{Trace: n.scope.Rand.Hex(16), Candidates: attribution.Candidates, Sampled: true}, func() {}
		}
		n.scope.Record("untied", match.Identifier(), "")
	}
	sampled := n.scope.Rand.Float64() < signed.Tracing().GetSample()
	return &wire.Trail{Trace: n.scope.Rand.Hex(16), Sampled: sampled}, func() {}
}

// runAttempts makes attempts until there is a response to relay or the ledger gives up. A response that was
// streamed is returned as nil.
func (n *Node) runAttempts(s base.Scope, incoming *clientRequest, signed *bundle.Bundle, ledger *Ledger, body []byte, trail *wire.Trail) (any, error) {
	defer func() {
		// A request that reached no upstream must not pay for retries of others.
		if ledger.Last() != nil && !ledger.MayHaveReachedUpstream() {
			n.retryBudget.RevokeEarned(ledger.Match.Service.Name)
		}
	}()
	var response *clientResponse
	for {
		switch ledger.Next(s.Clock.Mono()) {
		case Relay:
			return response, nil
		case GiveUp:
			return nil, ledger.FinalFault(s.Clock.Mono())
		}
		newer, picked, fault := n.nextCandidate(s, signed, ledger)
		if fault != nil {
			return nil, fault
		}
		signed = newer
		attempt := &Attempt{ID: n.scope.Rand.Hex(8), Node: picked.node, Instance: picked.instance.Address, StartedAt: s.Clock.Mono(), NoWait: !ledger.MayWait}
		if ledger.Last() == nil {
			n.retryBudget.Earn(ledger.Match.Service.Name)
		}
		ledger.Add(attempt)
		response = n.runAttempt(s, incoming, signed, picked, attempt, ledger.Match, ledger.Deadline, body, trail, len(ledger.Attempts)-1, ledger.MayWait)
		attempt.EndedAt = s.Clock.Mono()
		n.recordOutcome(picked, attempt, ledger.Match.Identifier())
	}
}

// nextCandidate picks an instance for the next attempt and returns the bundle under which to make it. The
// fault, for the client, says that there is no instance left or that the retry budget is used up.
func (n *Node) nextCandidate(s base.Scope, signed *bundle.Bundle, ledger *Ledger) (*bundle.Bundle, candidate, *base.Fault) {
	if last := ledger.Last(); last != nil && last.Fault.Kind == base.StaleSerial {
		newer, fault := n.awaitNewerBundle(s, ledger)
		if fault != nil {
			return nil, candidate{}, fault
		}
		signed = newer
	}
	if ledger.MayHaveRun() && !n.retryBudget.Spend(ledger.Match.Service.Name) {
		return nil, candidate{}, ledger.FinalFault(s.Clock.Mono())
	}
	picked, found := n.pickOrWait(signed, ledger)
	if !found {
		return nil, candidate{}, ledger.FinalFault(s.Clock.Mono())
	}
	return signed, picked, nil
}

// awaitNewerBundle waits for a newer bundle, for a quarter of the time that a request may wait for one, and
// then looks up the request's route in the bundle held.
func (n *Node) awaitNewerBundle(s base.Scope, ledger *Ledger) (*bundle.Bundle, *base.Fault) {
	base.Await(s, time.Duration(float64(n.confirmations.validity)*bundleWaitRatio/4), n.bundleAdopted.Next())
	signed := n.bundle.Load()
	match, known := signed.Route(ledger.Match.Service.Name, ledger.Match.Route.Name)
	if !known {
		return nil, base.NewFault(base.NoRoute, "", "serial %d has no such route", signed.Serial)
	}
	ledger.Match = match
	return signed, nil
}

// pickOrWait picks an instance. If the only ones left rejected the request with kind Contended, because it
// may not run concurrently with others there, the next attempts may wait for their turn.
func (n *Node) pickOrWait(signed *bundle.Bundle, ledger *Ledger) (candidate, bool) {
	picked, found := n.pick(signed, ledger.Match, ledger)
	if found || ledger.MayWait || !ledger.WasContended() {
		return picked, found
	}
	ledger.MayWait = true
	return n.pick(signed, ledger.Match, ledger)
}

// carryFunc makes one attempt and passes the pieces of the reply to send.
type carryFunc func(ctx context.Context, request *wire.CarryRequest, send sendFunc) error

// carryFuncFor returns the function that reaches a candidate: a local call for a local instance, otherwise
// a call of the instance's node.
func (n *Node) carryFuncFor(picked candidate) carryFunc {
	if picked.node == n.self {
		return n.serveCarry
	}
	client := n.peerClient(picked.address)
	return func(ctx context.Context, request *wire.CarryRequest, send sendFunc) error {
		stream, err := client.Carry(ctx, connect.NewRequest(request))
		if err != nil {
			return err
		}
		defer stream.Close()
		for stream.Receive() {
			if err := send(stream.Msg()); err != nil {
				return err
			}
		}
		return stream.Err()
	}
}

// peerClient returns the cached client for a node.
func (n *Node) peerClient(address string) wireconnect.FlowClient {
	if client, ok := n.peerClients.Get(address); ok {
		return client
	}
	client := wireconnect.NewFlowClient(n.httpClient, "http://"+address)
	n.peerClients.Put(address, client)
	return client
}

// runAttempt makes one attempt and sets its state and fault. It returns the response, or nil if the attempt
// failed or the response was streamed. If a streamed response fails its check, it panics with
// http.ErrAbortHandler, so that the client sees a truncated response.
func (n *Node) runAttempt(s base.Scope, incoming *clientRequest, signed *bundle.Bundle, picked candidate, attempt *Attempt, match bundle.RouteMatch, deadline time.Duration, body []byte, trail *wire.Trail, ordinal int, mayWait bool) *clientResponse {
	reader := &responseReader{node: n, incoming: incoming, attempt: attempt}
	defer func() { n.memory.release(reader.reserved) }()
	request := &wire.CarryRequest{
		Attempt: attempt.ID, Incarnation: picked.incarnation, Serial: signed.Serial,
		Service: match.Service.Name, Route: match.Route.Name, Seat: picked.instance.Address, Group: match.Group,
		Method: incoming.request.Method, Target: incoming.request.URL.RequestURI(), Headers: forwardedHeaders(incoming.request.Header), Body: body,
		NotAfterUs: (deadline + picked.clockOffset).Microseconds(), Trail: trail, Ordinal: uint32(ordinal), Patient: mayWait,
	}
	n.scope.Record("attempt", trail.Trace, attempt.ID+" of "+match.Identifier()+" at "+picked.node+" "+attempt.Instance)
	err := n.carryFuncFor(picked)(s, request, reader.accept)
	switch {
	case reader.streaming && (!reader.complete || err != nil):
		panic(http.ErrAbortHandler)
	case reader.complete && err == nil:
		attempt.State = Answered
		if reader.streaming {
			return nil
		}
		return &clientResponse{head: reader.head, body: reader.buffered.Bytes()}
	case reader.fault != nil:
		attempt.Fault = reader.fault
		attempt.State = NotRun
		if reader.fault.MayHaveRun {
			attempt.State = Indeterminate
		}
	default:
		reason := "the carrying node broke off"
		if err != nil {
			reason = err.Error()
		}
		attempt.Fault = base.NewFault(base.ResponseLost, "", "%s", reason)
		attempt.State = Indeterminate
		if s.Err() != nil {
			attempt.Fault = base.NewFault(base.Expired, "", "no answer within the deadline")
		}
		if isDialError(err) || n.fenceAtPeer(s, picked, attempt) {
			attempt.State = NotRun
			attempt.Fault.Kind = base.Unreachable
		}
	}
	n.scope.Record("attempt-mishap", trail.Trace, attempt.ID+": "+attempt.Fault.Error())
	return nil
}

// isDialError reports whether the connection could not be opened, so that nothing was sent.
func isDialError(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

// fenceAtPeer asks the node of a failed attempt to fence it, and reports whether the request was not
// delivered to the upstream and never will be. It works after the request's deadline too.
func (n *Node) fenceAtPeer(s base.Scope, picked candidate, attempt *Attempt) bool {
	if picked.node == n.self {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s), n.peerTimeout)
	defer cancel()
	reply, err := n.peerClient(picked.address).Fence(ctx, connect.NewRequest(&wire.FenceRequest{Attempt: attempt.ID, Incarnation: picked.incarnation}))
	return err == nil && reply.Msg.Never
}
