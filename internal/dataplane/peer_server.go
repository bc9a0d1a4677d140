package dataplane

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/admission"
	"curlewreach/internal/dataplane/connection"
	"curlewreach/internal/dataplane/fencing"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/httpserver"
)

const (
	// estimatedHeaderBytes is the assumed size of an answer's header on the link.
	estimatedHeaderBytes = 300
	// toleratedBacklog is the backlog of the link up to which no request is rejected.
	toleratedBacklog = 100 * time.Millisecond
)

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
	ms, err := strconv.ParseInt(r.Header.Get(n.headers.Left), 10, 64)
	p = peerRequest{metadata: metadata, id: r.Header.Get(n.headers.Attempt), timeLeft: time.Duration(ms) * time.Millisecond, startedAt: n.scope.Clock.Mono()}
	return p, ok && err == nil && p.id != ""
}

// servePeer serves peers: requests that they forward to the local upstream, and their questions about earlier
// attempts.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if fencing.IsQuestion(r) {
		n.fences.ServeHTTP(w, r)
		return
	}
	p, ok := n.readPeerRequest(r)
	if !ok {
		httpserver.Reply(w, http.StatusBadRequest, map[string]string{"kind": string(base.Malformed), "reason": "this port serves only other nodes"})
		return
	}
	n.controlClient.PeerServes(p.metadata.Serial)
	body, release, fault := n.bodyMemory.Read(r, n.bodyMemory.Capacity())
	if fault != nil && fault.Kind == base.Malformed {
		panic(http.ErrAbortHandler)
	}
	defer release()
	attempt, refusal := n.fences.Accept(r.Header.Get(forwarding.AttemptHeader))
	p.metadata.Attempt = attempt
	ctx, cancel := n.fences.Lifetime(n.scope, r.Context(), p.timeLeft, attempt)
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
		settle = n.linkPacer.Owe(p.metadata.Route)
		request := &connection.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: forwarding.EndToEnd(r.Header), Body: body}
		outcome = n.deliver(ctx, p.metadata, request, p.id, p.startedAt+p.timeLeft)
	}
	fencing.Finish(attempt, outcome)
	n.fences.Tell(w.Header(), r.Header)
	n.answerPeer(ctx, w, p.id, outcome, settle)
}

// checkCapacity rejects a request whose body could not be buffered for lack of memory, or whose large answer would
// wait too long for this machine's network link. It returns nil if there is capacity.
func (n *Node) checkCapacity(metadata forwarding.Metadata, bodyFault *base.Fault) (refusal *forwarding.Outcome) {
	if bodyFault != nil {
		return forwarding.Rejected(base.NewFault(base.Overloaded, "", "the body has no room now").WithRetryAfter(admission.MemoryRetryAfter))
	}
	if backlog := n.linkPacer.Backlog(); n.linkPacer.Large(metadata.Route) && backlog > max(metadata.Aim, metadata.Patience, toleratedBacklog) {
		return forwarding.Rejected(base.NewFault(base.Overloaded, "", "this machine's link is taken").WithRetryAfter(backlog))
	}
	return nil
}

// answerPeer sends the outcome of a request and the load of the local upstream to a peer. settle replaces the
// answer's expected size in the link's backlog by its actual size, 0 if there is no answer.
func (n *Node) answerPeer(ctx context.Context, w http.ResponseWriter, id string, outcome forwarding.Outcome, settle func(size int64)) {
	load := n.loadReport()
	load.Waited, load.Further = int(outcome.Waited.Milliseconds()), outcome.Further
	header := w.Header()
	header[forwarding.LoadHeader] = []string{load.String()}
	if n.stopping.Load() {
		header.Set("Connection", "close")
	}
	if outcome.Answer != nil {
		size := int64(len(outcome.Answer.Body))
		settle(size)
		n.linkPacer.Pass(ctx, size+estimatedHeaderBytes)
		forwarding.Relay(w, outcome.Answer)
		return
	}
	settle(0)
	header[n.headers.Attempt] = []string{id}
	header[forwarding.OutcomeHeader] = []string{outcome.String()}
	header["Date"], header["Content-Type"] = nil, nil
	w.WriteHeader(http.StatusServiceUnavailable)
}
