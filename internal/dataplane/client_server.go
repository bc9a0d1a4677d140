package dataplane

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"curlewreach/base"
	"curlewreach/internal/config"
	"curlewreach/internal/dataplane/admission"
	"curlewreach/internal/dataplane/connection"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/httpserver"
)

const (
	// defaultClientTimeout applies to clients that send no timeout.
	defaultClientTimeout = 10 * time.Second
)

// reject answers a request with an error of this node. With status 503 it tells the client after what time a request
// like this is expected to be served.
func (n *Node) reject(w http.ResponseWriter, kind base.Kind, reason string, retryAfter time.Duration) {
	status := base.HTTPResponses[kind].Status
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.FormatFloat(max(retryAfter, admission.MinRetryAfter).Seconds(), 'f', 3, 64))
	}
	n.countOutcome(string(kind))
	httpserver.ReplyJSON(w, status, map[string]string{"kind": string(kind), "reason": reason})
}

// clientRequest is what the head of a request tells, from a client or from the local upstream, before its body is
// read.
type clientRequest struct {
	id        string
	startedAt time.Duration
	timeout   time.Duration // until the client's deadline
	table     *config.RoutingTable
	route     *config.Route
}

// holdLimit is the longest time that the request may be held: the shorter of the client's and the route's timeout.
func (c *clientRequest) holdLimit() time.Duration { return min(c.timeout, c.route.Timeout()) }

// rejection is an error answer of this node.
type rejection struct {
	kind       base.Kind
	reason     string
	retryAfter time.Duration // after which a request like this is expected to be served; 0 is at once
}

// readClientRequest reads the head of a request, or returns the reason for rejecting it.
func (n *Node) readClientRequest(r *http.Request) (*clientRequest, *rejection) {
	c := &clientRequest{id: r.Header.Get(n.headers.RequestID), startedAt: n.scope.Clock.Mono(), timeout: defaultClientTimeout, table: n.controlClient.Table()}
	if ms, err := strconv.ParseFloat(r.Header.Get(n.headers.TimeLeft), 64); err == nil {
		c.timeout = time.Duration(ms * float64(time.Millisecond))
	}
	if c.table == nil || n.shutdown.isRejecting() {
		return nil, &rejection{base.Stopping, "this node is starting or stopping", n.unavailableRetryAfter()}
	}
	route, known := c.table.Find(r.Host, r.URL.Path)
	switch {
	case !known:
		return nil, &rejection{kind: base.NoRoute, reason: "no route here fits"}
	case c.id == "":
		return nil, &rejection{kind: base.Malformed, reason: "a request carries an id"}
	}
	c.route = route
	if c.holdLimit() <= 0 {
		return nil, &rejection{kind: base.Overloaded, reason: "no time was left"}
	}
	return c, nil
}

// bodyLimit returns the largest body, in bytes, that the configuration allows.
func (c *clientRequest) bodyLimit() int64 {
	if limit := int64(c.table.Configuration().GetLimits().GetBodyBytes()); limit > 0 {
		return limit
	}
	return admission.DefaultBodyLimit
}

// serveClient serves the requests of clients and of the local upstream.
func (n *Node) serveClient(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if n.shutdown.hasBegun() {
		w.Header().Set("Connection", "close")
	}
	c, refused := n.readClientRequest(r)
	if refused != nil {
		n.reject(w, refused.kind, refused.reason, refused.retryAfter)
		return
	}
	body, release, fault := n.bodyMemory.Read(r, c.bodyLimit())
	defer release()
	if fault == nil && n.shutdown.isRejecting() {
		fault = n.stoppingFault()
	}
	if fault != nil {
		if fault.Kind == base.Malformed {
			panic(http.ErrAbortHandler)
		}
		n.reject(w, fault.Kind, fault.Reason, fault.RetryAfter)
		return
	}
	call := n.newClientCall(c, &connection.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: n.upstreamHeader(r.Header), Body: body})
	stop := context.AfterFunc(r.Context(), call.cancel)
	defer stop()
	defer call.finish()
	call.run(w, r.Context())
	n.callTracker.RecordCall(call.metadata.Trace, c.startedAt, call.now())
	n.recordDuration(call)
}

// upstreamHeader returns the header to send upstream: the client's end-to-end fields with this node's service as the
// caller. A missing User-Agent stays missing.
func (n *Node) upstreamHeader(clientHeader http.Header) http.Header {
	header := forwarding.EndToEnd(clientHeader, n.headers.Target, n.headers.Caller)
	header[n.headers.Caller] = []string{n.params.Service}
	if _, present := header["User-Agent"]; !present {
		delete(header, "User-Agent")
	}
	return header
}
