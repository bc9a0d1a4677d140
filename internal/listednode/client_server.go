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

// clientRequest is a request to this node: of a visitor, or (inner) a further call of
// an instance.
type clientRequest struct {
	request *http.Request
	inner   bool
	w       http.ResponseWriter
}

type answer struct {
	head *wire.CarryHead
	body []byte
}

func (n *Node) handler(inner bool) http.Handler {
	var ask endpoint.Endpoint = n.answer
	ask = n.counted(ask)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, err := ask(r.Context(), &clientRequest{request: r, inner: inner, w: w})
		if err != nil {
			rejectTo(w, base.FaultOf(err))
			return
		}
		if whole := response.(*answer); whole != nil {
			put(whole.head.Headers, w.Header())
			w.WriteHeader(int(whole.head.Status))
			_, _ = w.Write(whole.body)
		}
	})
}

func (n *Node) counted(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		leave := n.enter()
		defer leave()
		response, err := next(ctx, request)
		if err != nil {
			e := request.(*clientRequest)
			n.scope.Record("bounce-"+string(base.FaultOf(err).Kind), e.w.Header().Get(traceHeader), e.request.URL.Path+": "+base.FaultOf(err).Reason)
		}
		return response, err
	}
}

func (n *Node) answer(ctx context.Context, request any) (any, error) {
	e := request.(*clientRequest)
	s := n.scope.WithContext(ctx)
	signed := n.slice.Load()
	if signed == nil {
		return nil, base.NewFault(base.Uncertain, "", "no bundle is held here yet")
	}
	if !n.claims.IsCurrent(signed.Serial) {
		if fault := n.abreast(s, signed.Serial); fault != nil && fault.Kind != base.StaleSerial {
			return nil, fault
		}
		signed = n.slice.Load()
	}
	way, known := signed.Match(e.request.Method, e.request.URL.Path)
	if !known {
		return nil, base.NewFault(base.NoRoute, "", "no route for %s %s", e.request.Method, e.request.URL.Path)
	}
	until := s.Clock.Mono() + way.Deadline()
	if n.stopping.Load() && !e.inner && until > time.Duration(n.ends.Load()) {
		return nil, base.NewFault(base.Stopping, "", "this node stops before the deadline of %s", way.Identifier()).WithRetryAfter(time.Duration(n.ends.Load()) - s.Clock.Mono())
	}
	s, cancel := s.WithTimeout(way.Deadline())
	defer cancel()
	leave, fault := n.gate.Acquire(s, way.Group, signed.Share(way.Group).GetCarried(), until)
	if fault != nil {
		return nil, fault
	}
	defer leave()
	body, give, fault := n.body(e, way.Deadline())
	if fault != nil {
		return nil, fault
	}
	defer give()
	return n.answerWith(s, e, signed, &Ledger{Match: way, Deadline: until}, body)
}

// body reads a request's body within the time given. The caller calls give when
// it is no longer needed.
func (n *Node) body(e *clientRequest, within time.Duration) (body []byte, give func(), fault *base.Fault) {
	longest := n.dials.Load().MaxBodyBytes
	room := int64(longest) + 1
	if e.request.ContentLength >= 0 {
		room = min(room, e.request.ContentLength)
	}
	if !n.room.take(room) {
		return nil, nil, base.NewFault(base.Overloaded, "", "no room in memory for the request's body")
	}
	give = func() { n.room.give(room) }
	_ = http.NewResponseController(e.w).SetReadDeadline(time.Now().Add(within))
	body, err := io.ReadAll(io.LimitReader(e.request.Body, int64(longest)+1))
	if err != nil {
		give()
		return nil, nil, base.NewFault(base.Malformed, "", "the request's body broke off")
	}
	_ = http.NewResponseController(e.w).SetReadDeadline(time.Time{})
	if len(body) > longest {
		give()
		return nil, nil, base.NewFault(base.TooLarge, "", "%d bytes at most", longest)
	}
	return body, give, nil
}

// answerWith answers a request that was let in, and records a span of it if the
// odds and the group's budget say so.
func (n *Node) answerWith(s base.Scope, e *clientRequest, signed *bundle.Bundle, ledger *Ledger, body []byte) (any, error) {
	way := ledger.Match
	trail, spent := n.trail(e, signed, way)
	defer spent()
	e.w.Header().Set(traceHeader, trail.Trace)
	if !trail.Sampled || !n.keeper.Sample(way.Identifier()) || !n.budget.Spend(way.Group) {
		return n.settle(s, e, signed, ledger, body, trail)
	}
	span := &wire.Span{
		Trace: trail.Trace, Id: n.scope.Rand.Hex(8), Parent: trail.Parent, Service: way.Service.Name, Route: way.Route.Name,
		Node: n.self, Group: way.Group, Side: tracing.CallerSide, Candidates: trail.Candidates,
	}
	began := s.Clock.Mono()
	trail.Parent = span.Id
	defer func() { n.watched(span, ledger, began) }()
	return n.settle(s, e, signed, ledger, body, trail)
}

func (n *Node) trail(e *clientRequest, signed *bundle.Bundle, way bundle.RouteMatch) (*wire.Trail, func()) {
	if e.inner {
		tie := n.ties.FindParent(e.request, way, signed.PathParams(way, e.request.URL.Path), signed.Tracing().GetHeader())
		if tie.Certain {
			n.scope.Record("tied", way.Identifier(), tie.Parent.span)
			from := n.scope.Clock.Mono()
			trail := &wire.Trail{Trace: tie.Parent.trail.Trace, Parent: tie.Parent.span, Sampled: tie.Parent.trail.Sampled}
			return trail, func() { n.ties.RecordCall(tie.Parent, from) }
		}
		if len(tie.Candidates) > 0 {
			n.scope.Record("ambiguous", way.Identifier(), "")
			return &wire.Trail{Trace: n.scope.Rand.Hex(16), Candidates: tie.Candidates, Sampled: true}, func() {}
		}
		n.scope.Record("untied", way.Identifier(), "")
	}
	sampled := n.scope.Rand.Float64() < signed.Tracing().GetSample()
	return &wire.Trail{Trace: n.scope.Rand.Hex(16), Sampled: sampled}, func() {}
}

// settle makes attempts until there is an answer to relay or nothing more to try.
func (n *Node) settle(s base.Scope, e *clientRequest, signed *bundle.Bundle, ledger *Ledger, body []byte, trail *wire.Trail) (any, error) {
	defer func() {
		if ledger.Last() != nil && !ledger.MayHaveReachedUpstream() {
			n.repeats.RevokeEarned(ledger.Match.Service.Name)
		}
	}()
	var got *answer
	for {
		switch ledger.Next(s.Clock.Mono()) {
		case Relay:
			return got, nil
		case GiveUp:
			return nil, ledger.FinalFault(s.Clock.Mono())
		}
		fresh, picked, fault := n.next(s, signed, ledger)
		if fault != nil {
			return nil, fault
		}
		signed = fresh
		attempt := &Attempt{ID: n.scope.Rand.Hex(8), Node: picked.node, Instance: picked.seat.Address, StartedAt: s.Clock.Mono(), NoWait: !ledger.MayWait}
		if ledger.Last() == nil {
			n.repeats.Earn(ledger.Match.Service.Name)
		}
		ledger.Add(attempt)
		got = n.attempt(s, e, signed, picked, attempt, ledger.Match, ledger.Deadline, body, trail, len(ledger.Attempts)-1, ledger.MayWait)
		attempt.EndedAt = s.Clock.Mono()
		n.judge(picked, attempt)
	}
}

// next picks an instance for the next attempt, under the bundle to use for it.
// The error is what to tell the caller if there is none, or if no repeat is
// left to spend.
func (n *Node) next(s base.Scope, signed *bundle.Bundle, ledger *Ledger) (*bundle.Bundle, candidate, *base.Fault) {
	if last := ledger.Last(); last != nil && last.Fault.Kind == base.StaleSerial {
		fresh, fault := n.renew(s, ledger)
		if fault != nil {
			return nil, candidate{}, fault
		}
		signed = fresh
	}
	if ledger.MayHaveRun() && !n.repeats.Spend(ledger.Match.Service.Name) {
		return nil, candidate{}, ledger.FinalFault(s.Clock.Mono())
	}
	picked, found := n.pickPatiently(signed, ledger)
	if !found {
		return nil, candidate{}, ledger.FinalFault(s.Clock.Mono())
	}
	return signed, picked, nil
}

// renew waits a moment for a newer bundle and looks the request's route up in
// the one held then.
func (n *Node) renew(s base.Scope, ledger *Ledger) (*bundle.Bundle, *base.Fault) {
	base.Await(s, time.Duration(float64(n.claims.length)*behindRatio/4), n.risenBell.Next())
	signed := n.slice.Load()
	fresh, known := signed.Route(ledger.Match.Service.Name, ledger.Match.Route.Name)
	if !known {
		return nil, base.NewFault(base.NoRoute, "", "serial %d has no such route", signed.Serial)
	}
	ledger.Match = fresh
	return signed, nil
}

// pickPatiently picks an instance. If all that is left would turn the request
// back to keep it apart, the request waits there from now on.
func (n *Node) pickPatiently(signed *bundle.Bundle, ledger *Ledger) (candidate, bool) {
	picked, found := n.pick(signed, ledger.Match, ledger)
	if found || ledger.MayWait || !ledger.WasKeptApart() {
		return picked, found
	}
	ledger.MayWait = true
	return n.pick(signed, ledger.Match, ledger)
}

type transport func(ctx context.Context, ask *wire.CarryRequest, tell emit) error

func (n *Node) courier(picked candidate) transport {
	if picked.node == n.self {
		return n.serve
	}
	callee := n.peerClient(picked.address)
	return func(ctx context.Context, ask *wire.CarryRequest, tell emit) error {
		stream, err := callee.Carry(ctx, connect.NewRequest(ask))
		if err != nil {
			return err
		}
		defer stream.Close()
		for stream.Receive() {
			if err := tell(stream.Msg()); err != nil {
				return err
			}
		}
		return stream.Err()
	}
}

func (n *Node) peerClient(address string) wireconnect.FlowClient {
	if callee, ok := n.peers.Get(address); ok {
		return callee
	}
	callee := wireconnect.NewFlowClient(n.web, "http://"+address)
	n.peers.Put(address, callee)
	return callee
}

func (n *Node) attempt(s base.Scope, e *clientRequest, signed *bundle.Bundle, picked candidate, attempt *Attempt, way bundle.RouteMatch, until time.Duration, body []byte, trail *wire.Trail, ordinal int, patient bool) *answer {
	caught := &responseReader{node: n, errand: e, attempt: attempt}
	defer func() { n.room.give(caught.roomy) }()
	ask := &wire.CarryRequest{
		Attempt: attempt.ID, Incarnation: picked.incarnation, Serial: signed.Serial,
		Service: way.Service.Name, Route: way.Route.Name, Seat: picked.seat.Address, Group: way.Group,
		Method: e.request.Method, Target: e.request.URL.RequestURI(), Headers: headersOf(e.request.Header), Body: body,
		NotAfterUs: (until + picked.offset).Microseconds(), Trail: trail, Ordinal: uint32(ordinal), Patient: patient,
	}
	n.scope.Record("attempt", trail.Trace, attempt.ID+" of "+way.Identifier()+" at "+picked.node+" "+attempt.Instance)
	err := n.courier(picked)(s, ask, caught.take)
	switch {
	case caught.flowing && (!caught.whole || err != nil):
		panic(http.ErrAbortHandler)
	case caught.whole && err == nil:
		attempt.State = Answered
		if caught.flowing {
			return nil
		}
		return &answer{head: caught.head, body: caught.held.Bytes()}
	case caught.fault != nil:
		attempt.Fault = caught.fault
		attempt.State = NotRun
		if caught.fault.MayHaveRun {
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
		if undialled(err) || n.neverRan(s, picked, attempt) {
			attempt.State = NotRun
			attempt.Fault.Kind = base.Unreachable
		}
	}
	n.scope.Record("attempt-mishap", trail.Trace, attempt.ID+": "+attempt.Fault.Error())
	return nil
}

func undialled(err error) bool {
	var fault *net.OpError
	return errors.As(err, &fault) && fault.Op == "dial"
}

func (n *Node) neverRan(s base.Scope, picked candidate, attempt *Attempt) bool {
	if picked.node == n.self {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s), n.patience)
	defer cancel()
	reply, err := n.peerClient(picked.address).Fence(ctx, connect.NewRequest(&wire.FenceRequest{Attempt: attempt.ID, Incarnation: picked.incarnation}))
	return err == nil && reply.Msg.Never
}
