package dataplane

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/connection"
	"curlewreach/internal/dataplane/fencing"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/httpserver"
)

// estimatedHeaderBytes is the assumed size of an answer's header on the link.
const estimatedHeaderBytes = 300

// peerRequest is a request that a peer forwards to the local upstream.
type peerRequest struct {
	metadata  forwarding.Metadata
	id        string        // the request ID
	timeLeft  time.Duration // until its deadline
	startedAt time.Duration
}

// readPeerRequest reads the mesh headers of a forwarded request. ok is false if one is missing or malformed.
func (n *Node) readPeerRequest(r *http.Request) (p peerRequest, ok bool) {
	metadata, ok := forwarding.ParseMetadata(r.Header.Get(forwarding.MetadataHeader))
	ms, err := strconv.ParseInt(r.Header.Get(n.headers.TimeLeft), 10, 64)
	p = peerRequest{metadata: metadata, id: r.Header.Get(n.headers.RequestID), timeLeft: time.Duration(ms) * time.Millisecond, startedAt: n.scope.Clock.Mono()}
	return p, ok && err == nil && p.id != ""
}

// servePeer serves peers: requests that they forward to the local upstream, and their queries about earlier
// attempts.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if fencing.IsQuery(r) {
		n.fences.ServeHTTP(w, r)
		return
	}
	p, ok := n.readPeerRequest(r)
	if !ok {
		httpserver.ReplyJSON(w, http.StatusBadRequest, map[string]string{"kind": string(base.Malformed), "reason": "this door is for peers"})
		return
	}
	n.controlClient.ObservePeerSerial(p.metadata.Serial)
	body, release, fault := n.bodyMemory.Read(r, n.bodyMemory.Capacity())
	if fault != nil && fault.Kind == base.Malformed {
		panic(http.ErrAbortHandler)
	}
	defer release()
	attempt, refusal := n.fences.Accept(r.Header.Get(forwarding.AttemptHeader))
	p.metadata.Attempt = attempt
	ctx, cancel := n.fences.AttemptContext(n.scope, r.Context(), p.timeLeft, attempt)
	defer cancel()
	if refusal != nil {
		n.countOutcome(fencing.CountRefused)
	} else {
		refusal = n.checkCapacity(p.metadata, fault)
	}
	var outcome forwarding.Outcome
	settle := func(int64) {}
	if refusal != nil {
		outcome = *refusal
	} else {
		settle = n.linkPacer.Reserve(p.metadata.Route)
		request := &connection.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: forwarding.EndToEnd(r.Header), Body: body}
		outcome = n.deliver(ctx, p.metadata, request, p.id, p.startedAt+p.timeLeft)
	}
	fencing.Finish(attempt, outcome)
	n.fences.SetMarkHeader(w.Header(), r.Header)
	n.answerPeer(ctx, w, p.id, outcome, settle)
}

// checkCapacity rejects a request whose body could not be buffered for lack of memory, or whose large answer would
// wait too long for this machine's network link. It returns nil if there is capacity.
func (n *Node) checkCapacity(metadata forwarding.Metadata, bodyFault *base.Fault) (refusal *forwarding.Outcome) {
	if bodyFault != nil {
		return forwarding.RejectedOutcome(base.NewFault(base.Overloaded, "", "the body has no room now").WithRetryAfter(n.bodyMemory.RetryAfter()))
	}
	wait, longest := n.linkPacer.ExpectedWait(metadata.Route, n.serviceTimes.Mean(metadata.Route))
	if wait > 0 && (!metadata.MayWait || wait > min(longest, metadata.LatestStartIn)) {
		return forwarding.RejectedOutcome(base.NewFault(base.Overloaded, "", "this machine's link is taken").WithRetryAfter(wait))
	}
	return nil
}

// answerPeer sends the outcome of a request and the load of the local upstream to a peer. settle replaces the
// answer's expected size in the link's backlog by its actual size, 0 if there is no answer.
func (n *Node) answerPeer(ctx context.Context, w http.ResponseWriter, id string, outcome forwarding.Outcome, settle func(size int64)) {
	load := n.loadReport()
	load.WaitedMs, load.NestedCall = int(outcome.Waited.Milliseconds()), outcome.NestedCall
	header := w.Header()
	header[forwarding.LoadHeader] = []string{load.String()}
	if n.shutdown.hasBegun() {
		header.Set("Connection", "close")
	}
	if outcome.Response != nil {
		size := int64(len(outcome.Response.Body))
		settle(size)
		n.linkPacer.Wait(ctx, size+estimatedHeaderBytes)
		forwarding.Relay(w, outcome.Response)
		return
	}
	settle(0)
	header[n.headers.RequestID] = []string{id}
	header[forwarding.OutcomeHeader] = []string{outcome.String()}
	header["Date"], header["Content-Type"] = nil, nil
	w.WriteHeader(http.StatusServiceUnavailable)
}
