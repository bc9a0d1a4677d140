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
	// headerBytesGuess is what the header of an answer takes of the link, in bytes.
	headerBytesGuess = 300
	// leastBacklog is a backlog of the link that no answer is rejected for.
	leastBacklog = 100 * time.Millisecond
)

// peerRequest is a request that another node passes to the upstream beside this one.
type peerRequest struct {
	metadata forwarding.Metadata
	id       string        // the request's own
	left     time.Duration // until its deadline
	began    time.Duration
}

// readPeerRequest reads what the other node says of a request; ok is false if a header is missing or can't be read.
func (n *Node) readPeerRequest(r *http.Request) (f peerRequest, ok bool) {
	way, ok := forwarding.ParseMetadata(r.Header.Get(forwarding.MetadataHeader))
	ms, err := strconv.ParseInt(r.Header.Get(n.headers.TimeLeft), 10, 64)
	f = peerRequest{metadata: way, id: r.Header.Get(n.headers.RequestID), left: time.Duration(ms) * time.Millisecond, began: n.scope.Clock.Mono()}
	return f, ok && err == nil && f.id != ""
}

// servePeer serves other nodes: their requests to the upstream beside this one, and their questions about them.
func (n *Node) servePeer(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if fencing.IsQuery(r) {
		n.fences.ServeHTTP(w, r)
		return
	}
	f, ok := n.readPeerRequest(r)
	if !ok {
		httpserver.ReplyJSON(w, http.StatusBadRequest, map[string]string{"kind": string(base.Malformed), "reason": "this door is for peers"})
		return
	}
	n.control.ObservePeerSerial(f.metadata.Serial)
	body, done, fault := n.bodies.Read(r, n.bodies.Capacity())
	if fault != nil && fault.Kind == base.Malformed {
		panic(http.ErrAbortHandler)
	}
	defer done()
	attempt, refusal := n.fences.Accept(r.Header.Get(forwarding.AttemptHeader))
	f.metadata.Attempt = attempt
	ctx, cancel := n.fences.AttemptContext(n.scope, r.Context(), f.left, attempt)
	defer cancel()
	if refusal != nil {
		n.countOutcome(fencing.CountRefused)
	} else {
		refusal = n.noRoom(f.metadata, fault)
	}
	var o forwarding.Outcome
	settle := func(int64) {}
	if refusal != nil {
		o = *refusal
	} else {
		settle = n.link.Reserve(f.metadata.Route)
		m := &connection.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: forwarding.EndToEnd(r.Header), Body: body}
		o = n.deliver(ctx, f.metadata, m, f.id, f.began+f.left)
	}
	fencing.Finish(attempt, o)
	n.fences.SetMarkHeader(w.Header(), r.Header)
	n.answerPeer(ctx, w, f.id, o, settle)
}

// noRoom refuses a request whose body was not read for want of memory, or whose large answer would wait too long for
// this machine's link.
func (n *Node) noRoom(way forwarding.Metadata, unread *base.Fault) (refusal *forwarding.Outcome) {
	if unread != nil {
		return forwarding.RejectedOutcome(base.NewFault(base.Overloaded, "", "the body has no room now").WithRetryAfter(admission.MemoryRetryAfter))
	}
	if backlog := n.link.Backlog(); n.link.IsPaced(way.Route) && backlog > max(way.SoftDeadlineIn, way.MaxWait, leastBacklog) {
		return forwarding.RejectedOutcome(base.NewFault(base.Overloaded, "", "this machine's link is taken").WithRetryAfter(backlog))
	}
	return nil
}

// answerPeer tells another node how its request went, and how full the upstream here is. settle takes the size of the
// answer off what this machine's link owes.
func (n *Node) answerPeer(ctx context.Context, w http.ResponseWriter, id string, o forwarding.Outcome, settle func(size int64)) {
	weight := n.loadReport()
	weight.WaitedMs, weight.NestedCall = int(o.Waited.Milliseconds()), o.NestedCall
	header := w.Header()
	header[forwarding.LoadHeader] = []string{weight.String()}
	if n.stopping.Load() {
		header.Set("Connection", "close")
	}
	if o.Response != nil {
		size := int64(len(o.Response.Body))
		settle(size)
		n.link.Wait(ctx, size+headerBytesGuess)
		forwarding.Relay(w, o.Response)
		return
	}
	settle(0)
	header[n.headers.RequestID] = []string{id}
	header[forwarding.OutcomeHeader] = []string{o.String()}
	header["Date"], header["Content-Type"] = nil, nil
	w.WriteHeader(http.StatusServiceUnavailable)
}
