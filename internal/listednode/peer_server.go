package listednode

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
	"curlewreach/internal/tracing"
	"curlewreach/proto/wire"
)

// chunkSize is the size in bytes of the pieces that answers are carried in.
const chunkSize = 64 << 10

// emit sends a piece of an answer to the asking node.
type emit func(*wire.CarryReply) error

func faultPiece(attempt string, fault *base.Fault) *wire.CarryReply {
	return &wire.CarryReply{Piece: &wire.CarryReply_Mishap{Mishap: &wire.CarryMishap{
		Attempt: attempt, Kind: string(fault.Kind), Reason: fault.Reason, Run: fault.MayHaveRun, AfterUs: uint64(fault.RetryAfter.Microseconds()),
	}}}
}

func (n *Node) serve(ctx context.Context, ask *wire.CarryRequest, tell emit) error {
	if fault := n.carry(ctx, ask, tell); fault != nil {
		n.scope.Record("far-"+string(fault.Kind), ask.Trail.GetTrace(), ask.Attempt+": "+fault.Reason)
		return tell(faultPiece(ask.Attempt, fault))
	}
	return nil
}

func (n *Node) carry(ctx context.Context, ask *wire.CarryRequest, tell emit) *base.Fault {
	s := n.scope.WithContext(ctx)
	if n.stopping.Load() && ask.NotAfterUs > time.Duration(n.ends.Load()).Microseconds() {
		return base.NewFault(base.Stopping, "", "this node stops before the attempt's deadline")
	}
	if ask.Incarnation != n.member.Incarnation() {
		return base.NewFault(base.Fenced, "", "meant for an earlier process here")
	}
	if !n.fences.Register(ask.Attempt) {
		fault := base.NewFault(base.Fenced, "", "this attempt was barred or came twice")
		fault.MayHaveRun = !n.fences.Fence(ask.Attempt)
		return fault
	}
	leave := n.enter()
	defer leave()
	until := time.Duration(ask.NotAfterUs) * time.Microsecond
	left := until - s.Clock.Mono()
	if left <= 0 {
		return base.NewFault(base.Expired, "", "the attempt came after its deadline")
	}
	s, cancel := s.WithTimeout(left)
	defer cancel()
	return n.carryOn(s, ask, until, tell)
}

// carryOn carries an attempt that may run, under the bundle it was sent under:
// in its turn at the upstream's gate, and apart from requests that it can't be
// told from.
func (n *Node) carryOn(s base.Scope, ask *wire.CarryRequest, until time.Duration, tell emit) *base.Fault {
	if fault := n.abreast(s, ask.Serial); fault != nil {
		return fault
	}
	bundle := n.slice.Load()
	if bundle.Serial != ask.Serial {
		return base.NewFault(base.StaleSerial, "", "serial %d is in force here", bundle.Serial)
	}
	way, known := bundle.Route(ask.Service, ask.Route)
	if !known {
		return base.NewFault(base.NoRoute, "", "no bundle here names %s/%s", ask.Service, ask.Route)
	}
	at, fault := n.seats.Find(ask.Service, ask.Seat)
	if fault != nil {
		return fault
	}
	out, fault := at.gate.Acquire(s, way.Group, bundle.Share(way.Group).GetCarried(), until)
	if fault != nil {
		return fault
	}
	defer out()
	target, err := url.ParseRequestURI(ask.Target)
	if err != nil {
		return base.NewFault(base.Malformed, "", "%s", err)
	}
	f := &callInProgress{span: n.scope.Rand.Hex(8), trail: ask.Trail, way: way, seat: at}
	headers := http.Header{}
	put(ask.Headers, headers)
	holes := bundle.PathParams(way, target.Path)
	f.fields = func(name string) string { return lookup(name, holes, target.Query(), headers) }
	join, fault := n.ties.Serialize(s, f, until, ask.Patient)
	if fault != nil {
		return fault
	}
	defer join()
	if header := bundle.Tracing().GetHeader(); header != "" && ask.Trail != nil {
		headers.Set(header, traceparent(ask.Trail, f.span))
	}
	return n.hand(s, ask, at, f, target, headers, tell)
}

func (n *Node) hand(s base.Scope, ask *wire.CarryRequest, at *instance, f *callInProgress, target *url.URL, headers http.Header, tell emit) *base.Fault {
	conn, err := n.outward.NewClientConn(s, "http", at.said().Address)
	if err != nil {
		n.scope.Record("dial-failed", ask.Service, strconv.Itoa(int(ask.Ordinal)))
		if s.Err() == nil {
			n.seats.Invalidate(at, "dial: "+err.Error())
		}
		return base.NewFault(base.Unreachable, "", "the upstream could not be dialled")
	}
	defer conn.Close()
	if !n.seats.StillListening(at) {
		n.seats.Invalidate(at, "another process listens there now")
	}
	if now, fault := n.seats.Find(ask.Service, ask.Seat); fault != nil || now != at {
		return base.NewFault(base.NoInstance, "", "the upstream's standing changed")
	}
	headers.Set(serialHeader, strconv.FormatUint(ask.Serial, 10))
	request := (&http.Request{
		Method: ask.Method, Host: ask.Service, URL: &url.URL{Scheme: "http", Host: at.said().Address, Path: target.Path, RawPath: target.RawPath, RawQuery: target.RawQuery},
		Header: headers, Body: http.NoBody, ContentLength: int64(len(ask.Body)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Close: true,
	}).WithContext(s)
	if len(ask.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(ask.Body))
	}
	if !n.claims.IsCurrent(ask.Serial) {
		return base.NewFault(base.StaleSerial, "", "serial %d is no longer sure here", ask.Serial)
	}
	if s.Err() != nil || !n.fences.Deliver(ask.Attempt) {
		return base.NewFault(base.Fenced, "", "this attempt was barred or ran out of time")
	}
	keeps := f.trail.GetSampled() && n.keeper.Sample(f.way.Identifier()) && n.budget.Spend(f.way.Group)
	n.ties.Begin(f)
	n.scope.Record("handed", ask.Trail.GetTrace(), fmt.Sprintf("%s to %s under %d", ask.Attempt, at.said().Address, ask.Serial))
	status, fault := n.exchange(s, conn, request, ask, tell)
	self, uncertain := n.ties.End(f)
	if keeps {
		n.sink.Enqueue(n.span(f, status, self, uncertain))
	}
	return fault
}

func (n *Node) span(f *callInProgress, status int, self time.Duration, uncertain bool) *wire.Span {
	took := n.scope.Clock.Mono() - f.began
	span := &wire.Span{
		Trace: f.trail.Trace, Id: f.span, Parent: f.trail.Parent, Service: f.way.Service.Name, Route: f.way.Route.Name,
		Node: n.self, Seat: f.seat.said().Address, Group: f.way.Group,
		StartedUs: n.scope.Clock.Wall().Add(-took).UnixMicro(), DurationUs: uint64(took.Microseconds()), SelfUs: uint64(self.Microseconds()),
		Status: uint32(status), Tags: map[string]string{"zone": f.seat.said().Zone, "seat": f.seat.said().Address},
		Candidates: f.trail.Candidates,
	}
	if uncertain {
		span.Tags[tracing.UncertainTag] = "true"
	}
	return span
}

// ran returns an error about a request that may have run.
func ran(kind base.Kind, format string, args ...any) *base.Fault {
	fault := base.NewFault(kind, "", format, args...)
	fault.MayHaveRun = true
	return fault
}

// exchange sends the request and passes the answer on. It returns the answer's
// status, 0 if there was none.
func (n *Node) exchange(s base.Scope, conn *http.ClientConn, request *http.Request, ask *wire.CarryRequest, tell emit) (int, *base.Fault) {
	response, err := conn.RoundTrip(request)
	if err != nil {
		if s.Err() != nil {
			return 0, ran(base.Expired, "the upstream did not answer in time")
		}
		return 0, ran(base.ResponseLost, "the upstream's answer was lost: %s", err)
	}
	defer response.Body.Close()
	return response.StatusCode, relay(response, ask.Attempt, tell)
}

// relay passes an answer on under a seal over its head and body.
func relay(response *http.Response, attempt string, tell emit) *base.Fault {
	digest, given := promised(response.Header)
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || given
	if !framed || response.StatusCode == http.StatusSwitchingProtocols {
		return ran(base.InvalidResponse, "the upstream's answer has no certain end")
	}
	head := &wire.CarryHead{Attempt: attempt, Status: uint32(response.StatusCode), Headers: headersOf(response.Header), Size: response.ContentLength}
	sealing, whole := newSeal(head), sha256.New()
	if err := tell(&wire.CarryReply{Piece: &wire.CarryReply_Head{Head: head}}); err != nil {
		return ran(base.ResponseLost, "the asking node went away")
	}
	size, fault := relayBody(response.Body, io.MultiWriter(sealing, whole), tell)
	if fault != nil {
		return fault
	}
	if given && !bytes.Equal(digest, whole.Sum(nil)) {
		return ran(base.InvalidResponse, "the upstream's answer does not fit its digest")
	}
	tail := &wire.CarryTail{Attempt: attempt, Digest: sealing.sum(), Size: size}
	if err := tell(&wire.CarryReply{Piece: &wire.CarryReply_Tail{Tail: tail}}); err != nil {
		return ran(base.ResponseLost, "the asking node went away")
	}
	return nil
}

// relayBody passes a body on in pieces, also to the digests, and returns its
// size in bytes.
func relayBody(body io.Reader, digests io.Writer, tell emit) (size uint64, fault *base.Fault) {
	chunk := make([]byte, chunkSize)
	for {
		got, err := body.Read(chunk)
		if got > 0 {
			size += uint64(got)
			_, _ = digests.Write(chunk[:got])
			if tell(&wire.CarryReply{Piece: &wire.CarryReply_Chunk{Chunk: bytes.Clone(chunk[:got])}}) != nil {
				return size, ran(base.ResponseLost, "the asking node went away")
			}
		}
		if err == io.EOF {
			return size, nil
		}
		if err != nil {
			return size, ran(base.InvalidResponse, "the upstream's answer broke off: %s", err)
		}
	}
}

type peerServer struct{ node *Node }

func (v peerServer) Carry(ctx context.Context, request *connect.Request[wire.CarryRequest], stream *connect.ServerStream[wire.CarryReply]) error {
	return v.node.serve(ctx, request.Msg, stream.Send)
}

func (v peerServer) Fence(_ context.Context, request *connect.Request[wire.FenceRequest]) (*connect.Response[wire.FenceReply], error) {
	ask := request.Msg
	if ask.Incarnation != v.node.member.Incarnation() {
		return connect.NewResponse(&wire.FenceReply{}), nil
	}
	never := v.node.fences.Fence(ask.Attempt)
	v.node.scope.Record("fence", ask.Attempt, fmt.Sprintf("never=%t", never))
	return connect.NewResponse(&wire.FenceReply{Never: never}), nil
}
