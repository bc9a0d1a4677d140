package flow

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/kit/endpoint"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"curlewreach/base"
	"curlewreach/internal/bundle"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
	"curlewreach/proto/wire/wireconnect"
)

type errand struct {
	request *http.Request
	inner   bool
	w       http.ResponseWriter
}

type answer struct {
	head *wire.CarryHead
	body []byte
}

func (n *Node) door(inner bool) http.Handler {
	var ask endpoint.Endpoint = n.answer
	ask = n.counted(ask)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, err := ask(r.Context(), &errand{request: r, inner: inner, w: w})
		if err != nil {
			bounceTo(w, base.MishapOf(err))
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
			e := request.(*errand)
			n.scope.Note("bounce-"+string(base.MishapOf(err).Kind), e.w.Header().Get(traceHeader), e.request.URL.Path+": "+base.MishapOf(err).Reason)
		}
		return response, err
	}
}

func (n *Node) answer(ctx context.Context, request any) (any, error) {
	e := request.(*errand)
	s := n.scope.Under(ctx)
	signed := n.slice.Load()
	if signed == nil {
		return nil, base.Bounce(base.Uncertain, "", "no bundle is held here yet")
	}
	if !n.claims.Good(signed.Serial) {
		if mishap := n.abreast(s, signed.Serial); mishap != nil && mishap.Kind != base.Stale {
			return nil, mishap
		}
		signed = n.slice.Load()
	}
	way, known := signed.Match(e.request.Method, e.request.URL.Path)
	if !known {
		return nil, base.Bounce(base.NoRoute, "", "no route for %s %s", e.request.Method, e.request.URL.Path)
	}
	until := s.Clock.Mono() + way.Deadline()
	if n.stopping.Load() && !e.inner && until > time.Duration(n.ends.Load()) {
		return nil, base.Bounce(base.Stopping, "", "this node stops before the deadline of %s", way.Identifier()).Later(time.Duration(n.ends.Load()) - s.Clock.Mono())
	}
	s, cancel := s.Within(way.Deadline())
	defer cancel()
	leave, mishap := n.gate.Enter(s, way.Group, signed.Share(way.Group).GetCarried(), until)
	if mishap != nil {
		return nil, mishap
	}
	defer leave()
	longest := n.dials.Load().Longest
	room := int64(longest) + 1
	if e.request.ContentLength >= 0 {
		room = min(room, e.request.ContentLength)
	}
	if !n.room.take(room) {
		return nil, base.Bounce(base.Crowded, "", "no room in memory for the request's body")
	}
	defer n.room.give(room)
	_ = http.NewResponseController(e.w).SetReadDeadline(time.Now().Add(way.Deadline()))
	body, err := io.ReadAll(io.LimitReader(e.request.Body, int64(longest)+1))
	if err != nil {
		return nil, base.Bounce(base.Malformed, "", "the request's body broke off")
	}
	_ = http.NewResponseController(e.w).SetReadDeadline(time.Time{})
	if len(body) > longest {
		return nil, base.Bounce(base.TooLarge, "", "%d bytes at most", longest)
	}
	trail, spent := n.trail(e, signed, way)
	defer spent()
	e.w.Header().Set(traceHeader, trail.Trace)
	ledger := &Ledger{Way: way, Until: until}
	if !trail.Sampled || !n.keeper.Keep(way.Identifier()) || !n.budget.Spend(way.Group) {
		return n.settle(s, e, signed, ledger, body, trail)
	}
	span := &wire.Span{
		Trace: trail.Trace, Id: n.scope.Rand.Name(8), Parent: trail.Parent, Service: way.Service.Name, Route: way.Route.Name,
		Node: n.self, Group: way.Group, Side: tracing.NearSide, Candidates: trail.Candidates,
	}
	began := s.Clock.Mono()
	trail.Parent = span.Id
	defer func() { n.watched(span, ledger, began) }()
	return n.settle(s, e, signed, ledger, body, trail)
}

func (n *Node) watched(span *wire.Span, ledger *Ledger, began time.Duration) {
	now := n.scope.Clock.Mono()
	var tries []interval
	for _, attempt := range ledger.Attempts {
		ended := attempt.Ended
		if attempt.State == Running {
			ended = now
		}
		tries = append(tries, interval{attempt.Started, ended})
		child := proto.Clone(span).(*wire.Span)
		child.Id, child.Parent, child.Side, child.Seat = attempt.Name, span.Id, tracing.AttemptSide, attempt.Seat
		child.Tags = map[string]string{"node": attempt.Node, "state": attempt.State.String()}
		if attempt.Mishap != nil {
			child.Tags["kind"] = string(attempt.Mishap.Kind)
		}
		n.timed(child, attempt.Started, ended, 0)
		n.sink.Push(child)
	}
	span.Tags = map[string]string{"attempts": strconv.Itoa(len(ledger.Attempts))}
	if last := ledger.Last(); last != nil {
		span.Tags["state"] = last.State.String()
	}
	n.timed(span, began, now, union(tries, began, now))
	n.sink.Push(span)
}

func (n *Node) timed(span *wire.Span, from, till, others time.Duration) {
	span.StartedUs = n.scope.Clock.Wall().Add(from - n.scope.Clock.Mono()).UnixMicro()
	span.DurationUs, span.SelfUs = uint64((till - from).Microseconds()), uint64((till - from - others).Microseconds())
}

func (n *Node) trail(e *errand, signed *bundle.Bundle, way bundle.Way) (*wire.Trail, func()) {
	if e.inner {
		tie := n.ties.Find(e.request, way, signed.Holes(way, e.request.URL.Path), signed.Tracing().GetHeader())
		if tie.Tied {
			n.scope.Note("tied", way.Identifier(), tie.Parent.span)
			from := n.scope.Clock.Mono()
			trail := &wire.Trail{Trace: tie.Parent.trail.Trace, Parent: tie.Parent.span, Sampled: tie.Parent.trail.Sampled}
			return trail, func() { n.ties.Spent(tie.Parent, from) }
		}
		if len(tie.Candidates) > 0 {
			n.scope.Note("ambiguous", way.Identifier(), "")
			return &wire.Trail{Trace: n.scope.Rand.Name(16), Candidates: tie.Candidates, Sampled: true}, func() {}
		}
		n.scope.Note("untied", way.Identifier(), "")
	}
	sampled := n.scope.Rand.Float64() < signed.Tracing().GetSample()
	return &wire.Trail{Trace: n.scope.Rand.Name(16), Sampled: sampled}, func() {}
}

func (n *Node) settle(s base.Scope, e *errand, signed *bundle.Bundle, ledger *Ledger, body []byte, trail *wire.Trail) (any, error) {
	way, until := ledger.Way, ledger.Until
	defer func() {
		if ledger.Last() != nil && !ledger.Arrived() {
			n.repeats.Refund(way.Service.Name)
		}
	}()
	var got *answer
	for {
		switch ledger.Next(s.Clock.Mono()) {
		case Relay:
			return got, nil
		case GiveUp:
			return nil, ledger.Verdict(s.Clock.Mono())
		}
		if last := ledger.Last(); last != nil && last.Mishap.Kind == base.Stale {
			base.Await(s, time.Duration(float64(n.claims.length)*behindRatio/4), n.risenBell.Heard())
			signed = n.slice.Load()
			fresh, known := signed.Way(way.Service.Name, way.Route.Name)
			if !known {
				return nil, base.Bounce(base.NoRoute, "", "serial %d has no such route", signed.Serial)
			}
			way, ledger.Way = fresh, fresh
		}
		if ledger.Doubtful() && !n.repeats.Spend(way.Service.Name) {
			return nil, ledger.Verdict(s.Clock.Mono())
		}
		picked, found := n.pick(signed, way, ledger)
		if !found && !ledger.Patient && ledger.Apart() {
			ledger.Patient = true
			picked, found = n.pick(signed, way, ledger)
		}
		if !found {
			return nil, ledger.Verdict(s.Clock.Mono())
		}
		attempt := &Attempt{Name: n.scope.Rand.Name(8), Node: picked.node, Seat: picked.seat.Address, Started: s.Clock.Mono(), Impatient: !ledger.Patient}
		if ledger.Last() == nil {
			n.repeats.Earn(way.Service.Name)
		}
		ledger.Add(attempt)
		got = n.attempt(s, e, signed, picked, attempt, way, until, body, trail, len(ledger.Attempts)-1, ledger.Patient)
		attempt.Ended = s.Clock.Mono()
		n.judge(picked, attempt)
	}
}

type courier func(ctx context.Context, ask *wire.CarryRequest, tell emit) error

func (n *Node) courier(picked place) courier {
	if picked.node == n.self {
		return n.serve
	}
	callee := n.mate(picked.address)
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

func (n *Node) mate(address string) wireconnect.FlowClient {
	if callee, ok := n.mates.Get(address); ok {
		return callee
	}
	callee := wireconnect.NewFlowClient(n.web, "http://"+address)
	n.mates.Put(address, callee)
	return callee
}

type catch struct {
	node    *Node
	errand  *errand
	attempt *Attempt
	head    *wire.CarryHead
	sealing seal
	held    bytes.Buffer
	size    uint64
	flowing bool
	roomy   int64
	whole   bool
	mishap  *base.Mishap
}

var errForeign = base.Bounce(base.Garbled, "", "a piece of another attempt's answer")

func (c *catch) take(reply *wire.CarryReply) error {
	switch piece := reply.Piece.(type) {
	case *wire.CarryReply_Head:
		if c.head != nil || piece.Head.Attempt != c.attempt.Name {
			return errForeign
		}
		c.head, c.sealing = piece.Head, newSeal(piece.Head)
	case *wire.CarryReply_Chunk:
		if c.head == nil || c.whole {
			return errForeign
		}
		_, _ = c.sealing.Write(piece.Chunk)
		c.size += uint64(len(piece.Chunk))
		if c.flowing || c.held.Len()+len(piece.Chunk) > c.node.dials.Load().Held || !c.hold(len(piece.Chunk)) {
			if err := c.flow(); err != nil {
				return err
			}
		}
		c.held.Write(piece.Chunk)
	case *wire.CarryReply_Tail:
		if c.head == nil || piece.Tail.Attempt != c.attempt.Name || piece.Tail.Size != c.size || !bytes.Equal(piece.Tail.Digest, c.sealing.sum()) {
			return base.Bounce(base.Garbled, "", "the seal does not fit the answer")
		}
		c.whole = true
		if c.flowing {
			return c.flow()
		}
	case *wire.CarryReply_Mishap:
		if piece.Mishap.Attempt != c.attempt.Name {
			return errForeign
		}
		c.mishap = &base.Mishap{Kind: base.Kind(piece.Mishap.Kind), Reason: piece.Mishap.Reason, Run: piece.Mishap.Run, After: time.Duration(piece.Mishap.AfterUs) * time.Microsecond}
	}
	return nil
}

func (c *catch) hold(size int) bool {
	if !c.node.room.take(int64(size)) {
		return false
	}
	c.roomy += int64(size)
	return true
}

func (c *catch) flow() error {
	c.node.room.give(c.roomy)
	c.roomy = 0
	if !c.flowing {
		c.flowing = true
		put(c.head.Headers, c.errand.w.Header())
		c.errand.w.WriteHeader(int(c.head.Status))
	}
	_, err := c.errand.w.Write(c.held.Bytes())
	c.held.Reset()
	return err
}

func (n *Node) attempt(s base.Scope, e *errand, signed *bundle.Bundle, picked place, attempt *Attempt, way bundle.Way, until time.Duration, body []byte, trail *wire.Trail, ordinal int, patient bool) *answer {
	caught := &catch{node: n, errand: e, attempt: attempt}
	defer func() { n.room.give(caught.roomy) }()
	ask := &wire.CarryRequest{
		Attempt: attempt.Name, Incarnation: picked.incarnation, Serial: signed.Serial,
		Service: way.Service.Name, Route: way.Route.Name, Seat: picked.seat.Address, Group: way.Group,
		Method: e.request.Method, Target: e.request.URL.RequestURI(), Headers: headersOf(e.request.Header), Body: body,
		NotAfterUs: (until + picked.offset).Microseconds(), Trail: trail, Ordinal: uint32(ordinal), Patient: patient,
	}
	n.scope.Note("attempt", trail.Trace, attempt.Name+" of "+way.Identifier()+" at "+picked.node+" "+attempt.Seat)
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
	case caught.mishap != nil:
		attempt.Mishap = caught.mishap
		attempt.State = NotRun
		if caught.mishap.Run {
			attempt.State = Doubtful
		}
	default:
		reason := "the carrying node broke off"
		if err != nil {
			reason = err.Error()
		}
		attempt.Mishap = base.Bounce(base.Lost, "", "%s", reason)
		attempt.State = Doubtful
		if s.Err() != nil {
			attempt.Mishap = base.Bounce(base.Expired, "", "no answer within the deadline")
		}
		if undialled(err) || n.neverRan(s, picked, attempt) {
			attempt.State = NotRun
			attempt.Mishap.Kind = base.Unreachable
		}
	}
	n.scope.Note("attempt-mishap", trail.Trace, attempt.Name+": "+attempt.Mishap.Error())
	return nil
}

func undialled(err error) bool {
	var mishap *net.OpError
	return errors.As(err, &mishap) && mishap.Op == "dial"
}

func (n *Node) neverRan(s base.Scope, picked place, attempt *Attempt) bool {
	if picked.node == n.self {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s), n.patience)
	defer cancel()
	reply, err := n.mate(picked.address).Fence(ctx, connect.NewRequest(&wire.FenceRequest{Attempt: attempt.Name, Incarnation: picked.incarnation}))
	return err == nil && reply.Msg.Never
}
