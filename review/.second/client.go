package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// request is one try of a client.
type request struct {
	id       string
	route    string
	path     string
	method   string
	node     string
	headers  string
	body     func(w io.Writer) error // nil: none
	timeout  time.Duration
	sent     time.Time // when its last byte was sent
	ended    time.Time
	status   int  // 0: no complete answer
	sealed   bool // the seal fits the body
	timedOut bool // the client's deadline passed
	refused  bool // there was no connection
	failure  string
}

// connection is a connection of a client to a node.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection to the node beside the client.
func (m *machine) dial() (*connection, error) {
	c, err := net.DialTimeout("tcp", m.at(portOutbound), time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{c, bufio.NewReader(c)}, nil
}

// send sends a request on a new connection and waits for its answer.
func (m *machine) send(r *request) {
	r.node = m.name
	c, err := m.dial()
	if err != nil {
		r.refused, r.ended, r.failure = true, time.Now(), err.Error()
		m.fleet.rec.log("client at %s: %s finds no connection: %v", m.name, r.id, err)
		return
	}
	defer c.Close()
	m.exchange(c, r)
}

// exchange sends a request on a connection and reads its answer.
func (m *machine) exchange(c *connection, r *request) {
	rec := m.fleet.rec
	_ = c.SetDeadline(time.Now().Add(r.timeout))
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Left: %d\r\n%s\r\n", r.method, r.path, routeHost, r.id, r.timeout.Milliseconds(), r.headers)
	if err == nil && r.body != nil {
		err = r.body(c)
	}
	r.sent = time.Now()
	rec.log("client at %s: %s sent", m.name, r.id)
	var response *http.Response
	var body []byte
	if err == nil {
		response, err = http.ReadResponse(c.reader, nil)
	}
	if err == nil {
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	r.ended = time.Now()
	if err != nil {
		r.timedOut, r.failure = os.IsTimeout(err), err.Error()
		rec.log("client at %s: %s ends without an answer after %d ms: %v", m.name, r.id, r.ended.Sub(r.sent).Milliseconds(), err)
		return
	}
	r.status, r.sealed = response.StatusCode, response.Header.Get("Server-Seal") == sealFor(string(body))
	rec.log("client at %s: %s gets %d after %d ms, Retry-After %q", m.name, r.id, r.status, r.ended.Sub(r.sent).Milliseconds(), response.Header.Get("Retry-After"))
}

// newRequest returns a try of a request on a route.
func (f *fleet) newRequest(route, method string, timeout time.Duration) *request {
	r := &request{id: fmt.Sprintf("%s-%04d", route, f.lastID.Add(1)), route: route, method: method, timeout: timeout}
	r.path = "/" + route + "/" + r.id
	if method == http.MethodPost {
		r.headers = "Content-Length: 0\r\n"
	}
	return r
}
