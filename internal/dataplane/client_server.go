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
	// usualCutoff is the time that a client gives who doesn't say.
	usualCutoff = 10 * time.Second
	// startingWait is when to come back to a node that is starting or stopping.
	startingWait = 250 * time.Millisecond
	// shortestRetryAfter bounds when to come back from below, longestRetryAfterRatio, of the time left, from above.
	shortestRetryAfter     = 50 * time.Millisecond
	longestRetryAfterRatio = 1.0 / 3
)

// reject answers a request that this node does not pass on; after is when to come back, left the time until the deadline.
func (n *Node) reject(w http.ResponseWriter, kind base.Kind, reason string, after, left time.Duration) {
	status := base.Answers[kind].Status
	if status == http.StatusServiceUnavailable {
		after = max(after, shortestRetryAfter)
		if left > 0 {
			after = min(after, time.Duration(float64(left)*longestRetryAfterRatio))
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	n.countOutcome(string(kind))
	httpserver.ReplyJSON(w, status, map[string]string{"kind": string(kind), "reason": reason})
}

// clientRequest is what a request of a client, or of the upstream beside this node, tells before its body is read.
type clientRequest struct {
	id    string
	began time.Duration
	left  time.Duration // until the client's deadline
	table *config.RoutingTable
	route *config.Route
}

// limit is for how long the request may be held.
func (c *clientRequest) limit() time.Duration { return min(c.left, c.route.Timeout()) }

// rejection is an answer of this node's own.
type rejection struct {
	kind   base.Kind
	reason string
	after  time.Duration // when to come back
	left   time.Duration // until the client's deadline, where that is known
}

// readClientRequest reads the head of a request, or says why it is refused.
func (n *Node) readClientRequest(r *http.Request) (*clientRequest, *rejection) {
	c := &clientRequest{id: r.Header.Get(n.headers.RequestID), began: n.scope.Clock.Mono(), left: usualCutoff, table: n.control.Table()}
	if ms, err := strconv.ParseFloat(r.Header.Get(n.headers.TimeLeft), 64); err == nil {
		c.left = time.Duration(ms * float64(time.Millisecond))
	}
	if c.table == nil || n.closed.Load() {
		return nil, &rejection{base.Stopping, "this node is starting or stopping", startingWait, c.left}
	}
	route, known := c.table.Find(r.Host, r.URL.Path)
	switch {
	case !known:
		return nil, &rejection{kind: base.NoRoute, reason: "no route here fits"}
	case c.id == "":
		return nil, &rejection{kind: base.Malformed, reason: "a request carries an id"}
	}
	c.route = route
	if c.limit() <= 0 {
		return nil, &rejection{kind: base.Overloaded, reason: "no time was left", after: startingWait}
	}
	return c, nil
}

// bodyLimit is the longest body in bytes that the configuration allows.
func (c *clientRequest) bodyLimit() int64 {
	if most := int64(c.table.Configuration().GetLimits().GetBodyBytes()); most > 0 {
		return most
	}
	return admission.DefaultBodyLimit
}

// serveClient serves clients and the upstream beside this node.
func (n *Node) serveClient(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	if n.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c, no := n.readClientRequest(r)
	if no != nil {
		n.reject(w, no.kind, no.reason, no.after, no.left)
		return
	}
	part := n.latencies.TimeLeftRatio(c.route.Name(), c.left)
	body, done, fault := n.bodies.Read(r, c.bodyLimit())
	if fault != nil {
		if fault.Kind == base.Malformed {
			panic(http.ErrAbortHandler)
		}
		n.reject(w, fault.Kind, fault.Reason, fault.After, c.left)
		return
	}
	defer done()
	v := n.newClientCall(c, &connection.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: n.upstreamHeader(r.Header), Body: body}, part)
	gone := context.AfterFunc(r.Context(), v.cancel)
	defer gone()
	defer v.finish()
	v.run(w, r.Context())
	n.calls.RecordCall(v.metadata.Trace, c.began, v.now())
	n.recordDuration(v)
}

// upstreamHeader is a client's header as an upstream is to get it.
func (n *Node) upstreamHeader(from http.Header) http.Header {
	header := forwarding.EndToEnd(from, n.headers.Target, n.headers.Caller)
	header[n.headers.Caller] = []string{n.params.Service}
	if _, given := header["User-Agent"]; !given {
		delete(header, "User-Agent")
	}
	return header
}
