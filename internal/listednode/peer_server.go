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

// chunkSize is the size of the pieces in which a response's body is sent, in bytes.
const chunkSize = 64 << 10

// sendFunc sends a piece of a response to the requesting node.
type sendFunc func(*wire.CarryReply) error

// faultReply returns the piece that reports the failure of an attempt.
func faultReply(attempt string, fault *base.Fault) *wire.CarryReply {
	return &wire.CarryReply{Piece: &wire.CarryReply_Mishap{Mishap: &wire.CarryMishap{
		Attempt: attempt, Kind: string(fault.Kind), Reason: fault.Reason, Run: fault.MayHaveRun, AfterUs: uint64(fault.RetryAfter.Microseconds()),
	}}}
}

// serveCarry runs an attempt at a local instance and sends the response or the fault.
func (n *Node) serveCarry(ctx context.Context, request *wire.CarryRequest, send sendFunc) error {
	if fault := n.acceptAttempt(ctx, request, send); fault != nil {
		n.scope.Record("far-"+string(fault.Kind), request.Trail.GetTrace(), request.Attempt+": "+fault.Reason)
		return send(faultReply(request.Attempt, fault))
	}
	return nil
}

// acceptAttempt runs an attempt unless it is addressed to an earlier process of this node, has been seen or
// fenced, or comes too late.
func (n *Node) acceptAttempt(ctx context.Context, request *wire.CarryRequest, send sendFunc) *base.Fault {
	s := n.scope.WithContext(ctx)
	if n.stopping.Load() && request.NotAfterUs > time.Duration(n.stopDeadline.Load()).Microseconds() {
		return base.NewFault(base.Stopping, "", "this node stops before the attempt's deadline")
	}
	if request.Incarnation != n.member.Incarnation() {
		return base.NewFault(base.Fenced, "", "meant for an earlier process here")
	}
	if !n.fences.Register(request.Attempt) {
		fault := base.NewFault(base.Fenced, "", "this attempt was barred or came twice")
		fault.MayHaveRun = !n.fences.Fence(request.Attempt)
		return fault
	}
	done := n.trackRequest()
	defer done()
	deadline := time.Duration(request.NotAfterUs) * time.Microsecond
	timeLeft := deadline - s.Clock.Mono()
	if timeLeft <= 0 {
		return base.NewFault(base.Expired, "", "the attempt came after its deadline")
	}
	s, cancel := s.WithTimeout(timeLeft)
	defer cancel()
	return n.runAttemptHere(s, request, deadline, send)
}

// runAttemptHere runs an accepted attempt under the bundle that the requesting node used. It waits for a
// slot at the instance, and for requests whose further calls could not be told from those of this one.
func (n *Node) runAttemptHere(s base.Scope, request *wire.CarryRequest, deadline time.Duration, send sendFunc) *base.Fault {
	if fault := n.awaitSerial(s, request.Serial); fault != nil {
		return fault
	}
	signed := n.bundle.Load()
	if signed.Serial != request.Serial {
		return base.NewFault(base.StaleSerial, "", "serial %d is in force here", signed.Serial)
	}
	match, known := signed.Route(request.Service, request.Route)
	if !known {
		return base.NewFault(base.NoRoute, "", "no bundle here names %s/%s", request.Service, request.Route)
	}
	instance, fault := n.instances.Find(request.Service, request.Seat)
	if fault != nil {
		return fault
	}
	releaseSlot, fault := instance.queue.Acquire(s, match.Group, signed.Share(match.Group).GetCarried(), deadline)
	if fault != nil {
		return fault
	}
	defer releaseSlot()
	target, err := url.ParseRequestURI(request.Target)
	if err != nil {
		return base.NewFault(base.Malformed, "", "%s", err)
	}
	call := &callInProgress{spanID: n.scope.Rand.Hex(8), trail: request.Trail, match: match, instance: instance}
	headers := http.Header{}
	setHeaders(request.Headers, headers)
	pathParams := signed.PathParams(match, target.Path)
	call.field = func(name string) string { return fieldValue(name, pathParams, target.Query(), headers) }
	releaseTurn, fault := n.callTracker.Serialize(s, call, deadline, request.Patient)
	if fault != nil {
		return fault
	}
	defer releaseTurn()
	if header := signed.Tracing().GetHeader(); header != "" && request.Trail != nil {
		headers.Set(header, traceparent(request.Trail, call.spanID))
	}
	return n.deliver(s, request, instance, call, target, headers, send)
}

// deliver sends the request to the instance and its response to the requesting node. Directly before that,
// it checks that the instance is still the one that reported, the bundle is still current, and the attempt
// is not fenced.
func (n *Node) deliver(s base.Scope, carryRequest *wire.CarryRequest, upstream *instance, call *callInProgress, target *url.URL, headers http.Header, send sendFunc) *base.Fault {
	conn, err := n.upstreamTransport.NewClientConn(s, "http", upstream.lastReport().Address)
	if err != nil {
		n.scope.Record("dial-failed", carryRequest.Service, strconv.Itoa(int(carryRequest.Ordinal)))
		if s.Err() == nil {
			n.instances.Invalidate(upstream, "dial: "+err.Error())
		}
		return base.NewFault(base.Unreachable, "", "the upstream could not be dialled")
	}
	defer conn.Close()
	if !n.instances.StillListening(upstream) {
		n.instances.Invalidate(upstream, "another process listens there now")
	}
	if now, fault := n.instances.Find(carryRequest.Service, carryRequest.Seat); fault != nil || now != upstream {
		return base.NewFault(base.NoInstance, "", "the upstream's standing changed")
	}
	headers.Set(serialHeader, strconv.FormatUint(carryRequest.Serial, 10))
	request := (&http.Request{
		Method: carryRequest.Method, Host: carryRequest.Service, URL: &url.URL{Scheme: "http", Host: upstream.lastReport().Address, Path: target.Path, RawPath: target.RawPath, RawQuery: target.RawQuery},
		Header: headers, Body: http.NoBody, ContentLength: int64(len(carryRequest.Body)),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Close: true,
	}).WithContext(s)
	if len(carryRequest.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(carryRequest.Body))
	}
	if !n.confirmations.IsCurrent(carryRequest.Serial) {
		return base.NewFault(base.StaleSerial, "", "serial %d is no longer sure here", carryRequest.Serial)
	}
	if s.Err() != nil || !n.fences.Deliver(carryRequest.Attempt) {
		return base.NewFault(base.Fenced, "", "this attempt was barred or ran out of time")
	}
	sampled := call.trail.GetSampled() && n.sampler.Sample(call.match.Identifier()) && n.spanBudget.Spend(call.match.Group)
	n.callTracker.Begin(call)
	n.scope.Record("handed", carryRequest.Trail.GetTrace(), fmt.Sprintf("%s to %s under %d", carryRequest.Attempt, upstream.lastReport().Address, carryRequest.Serial))
	status, fault := n.exchange(s, conn, request, carryRequest, send)
	selfTime, uncertain := n.callTracker.End(call)
	if sampled {
		n.exporter.Enqueue(n.upstreamSpan(call, status, selfTime, uncertain))
	}
	return fault
}

// upstreamSpan returns the span of a request that an instance has processed.
func (n *Node) upstreamSpan(call *callInProgress, status int, selfTime time.Duration, uncertain bool) *wire.Span {
	duration := n.scope.Clock.Mono() - call.startedAt
	span := &wire.Span{
		Trace: call.trail.Trace, Id: call.spanID, Parent: call.trail.Parent, Service: call.match.Service.Name, Route: call.match.Route.Name,
		Node: n.self, Seat: call.instance.lastReport().Address, Group: call.match.Group,
		StartedUs: n.scope.Clock.Wall().Add(-duration).UnixMicro(), DurationUs: uint64(duration.Microseconds()), SelfUs: uint64(selfTime.Microseconds()),
		Status: uint32(status), Tags: map[string]string{"zone": call.instance.lastReport().Zone, "seat": call.instance.lastReport().Address},
		Candidates: call.trail.Candidates,
	}
	if uncertain {
		span.Tags[tracing.UncertainTag] = "true"
	}
	return span
}

// faultAfterDelivery returns an error about a request that may have run.
func faultAfterDelivery(kind base.Kind, format string, args ...any) *base.Fault {
	fault := base.NewFault(kind, "", format, args...)
	fault.MayHaveRun = true
	return fault
}

// exchange sends the request and relays the response. It returns the response's status, 0 if there is none.
func (n *Node) exchange(s base.Scope, conn *http.ClientConn, request *http.Request, carryRequest *wire.CarryRequest, send sendFunc) (int, *base.Fault) {
	response, err := conn.RoundTrip(request)
	if err != nil {
		if s.Err() != nil {
			return 0, faultAfterDelivery(base.Expired, "the upstream did not answer in time")
		}
		return 0, faultAfterDelivery(base.ResponseLost, "the upstream's answer was lost: %s", err)
	}
	defer response.Body.Close()
	return response.StatusCode, relayResponse(response, carryRequest.Attempt, send)
}

// relayResponse sends a response to the requesting node, followed by a digest of its head and body. It
// fails if the end of the body can't be verified or if the body doesn't match the digest that the upstream
// declared.
func relayResponse(response *http.Response, attempt string, send sendFunc) *base.Fault {
	declared, hasDigest := contentDigest(response.Header)
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || hasDigest
	if !framed || response.StatusCode == http.StatusSwitchingProtocols {
		return faultAfterDelivery(base.InvalidResponse, "the upstream's answer has no certain end")
	}
	head := &wire.CarryHead{Attempt: attempt, Status: uint32(response.StatusCode), Headers: forwardedHeaders(response.Header), Size: response.ContentLength}
	digest, bodyDigest := newResponseDigest(head), sha256.New()
	if err := send(&wire.CarryReply{Piece: &wire.CarryReply_Head{Head: head}}); err != nil {
		return faultAfterDelivery(base.ResponseLost, "the asking node went away")
	}
	size, fault := relayBody(response.Body, io.MultiWriter(digest, bodyDigest), send)
	if fault != nil {
		return fault
	}
	if hasDigest && !bytes.Equal(declared, bodyDigest.Sum(nil)) {
		return faultAfterDelivery(base.InvalidResponse, "the upstream's answer does not fit its digest")
	}
	tail := &wire.CarryTail{Attempt: attempt, Digest: digest.sum(), Size: size}
	if err := send(&wire.CarryReply{Piece: &wire.CarryReply_Tail{Tail: tail}}); err != nil {
		return faultAfterDelivery(base.ResponseLost, "the asking node went away")
	}
	return nil
}

// relayBody sends a body in pieces, which it also writes to digests, and returns its size in bytes.
func relayBody(body io.Reader, digests io.Writer, send sendFunc) (size uint64, fault *base.Fault) {
	chunk := make([]byte, chunkSize)
	for {
		n, err := body.Read(chunk)
		if n > 0 {
			size += uint64(n)
			_, _ = digests.Write(chunk[:n])
			if send(&wire.CarryReply{Piece: &wire.CarryReply_Chunk{Chunk: bytes.Clone(chunk[:n])}}) != nil {
				return size, faultAfterDelivery(base.ResponseLost, "the asking node went away")
			}
		}
		if err == io.EOF {
			return size, nil
		}
		if err != nil {
			return size, faultAfterDelivery(base.InvalidResponse, "the upstream's answer broke off: %s", err)
		}
	}
}

// peerServer serves the calls of other nodes.
type peerServer struct{ node *Node }

// Carry runs an attempt at a local instance.
func (p peerServer) Carry(ctx context.Context, request *connect.Request[wire.CarryRequest], stream *connect.ServerStream[wire.CarryReply]) error {
	return p.node.serveCarry(ctx, request.Msg, stream.Send)
}

// Fence prevents an attempt from being delivered and replies whether it never was. The reply is false if
// the attempt was addressed to an earlier process of this node.
func (p peerServer) Fence(_ context.Context, request *connect.Request[wire.FenceRequest]) (*connect.Response[wire.FenceReply], error) {
	req := request.Msg
	if req.Incarnation != p.node.member.Incarnation() {
		return connect.NewResponse(&wire.FenceReply{}), nil
	}
	never := p.node.fences.Fence(req.Attempt)
	p.node.scope.Record("fence", req.Attempt, fmt.Sprintf("never=%t", never))
	return connect.NewResponse(&wire.FenceReply{Never: never}), nil
}
