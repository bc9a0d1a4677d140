package openfleet

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"curlewreach/base"
	"curlewreach/internal/dataplane/forwarding"
)

// idleConnLifetime is how long a client keeps an idle connection, or less if the node announces a shorter timeout.
const idleConnLifetime = 4 * time.Second

// unreadCounter is implemented by simulated connections: Unread returns how many sent bytes the peer hasn't read.
type unreadCounter interface{ Unread() int }

// clientConn is a client's connection to its node. lastID is the attempt that it last carried.
type clientConn struct {
	raw       net.Conn
	in        *bufio.Reader
	peeked    chan error
	lastID    string
	expiresAt time.Duration
}

// peekAsync waits in the background for the next byte or the end of the connection, and sends the result to peeked. A
// byte that arrives while the connection is idle belongs to no request.
func (c *clientConn) peekAsync() {
	c.peeked = make(chan error, 1)
	go func() {
		_, err := c.in.Peek(1)
		c.peeked <- err
	}()
}

// client sends attempts to a node over HTTP/1.1, keeps idle connections and records everything in the History.
type client struct {
	scope   base.Scope
	history *History
	address string
	name    string
	mu      sync.Mutex
	idle    []*clientConn
}

// acquire returns the idle connection used last, or a new one.
func (c *client) acquire(newConn bool, timeout time.Duration) (*clientConn, error) {
	for !newConn {
		c.mu.Lock()
		if len(c.idle) == 0 {
			c.mu.Unlock()
			break
		}
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		c.mu.Unlock()
		select {
		case err := <-conn.peeked:
			c.recordStrayBytes(conn, err)
			_ = conn.raw.Close()
			continue
		default:
		}
		if c.scope.Clock.Mono() < conn.expiresAt {
			return conn, nil
		}
		_ = conn.raw.Close()
	}
	s, cancel := c.scope.WithTimeout(min(timeout, time.Second))
	defer cancel()
	conn, err := c.scope.Net.Dial(s, "tcp", c.address)
	if err != nil {
		return nil, err
	}
	return &clientConn{raw: conn, in: bufio.NewReader(conn)}, nil
}

// recordStrayBytes records bytes that arrived on a connection without a request, unless err says that it ended.
func (c *client) recordStrayBytes(conn *clientConn, err error) {
	if err == nil {
		stray, _ := conn.in.Peek(conn.in.Buffered())
		appendRecord(c.history, &c.history.strayBytes, fmt.Sprintf("%s: %q after %s", c.name, stray[:min(len(stray), 60)], conn.lastID))
	}
}

// release makes a connection idle after the attempt id.
func (c *client) release(conn *clientConn, id string, header http.Header) {
	conn.lastID = id
	conn.expiresAt = c.scope.Clock.Mono() + idleConnLifetime
	if limit, found := keepAliveTimeout(header); found {
		conn.expiresAt = c.scope.Clock.Mono() + min(limit, idleConnLifetime)
	}
	conn.peekAsync()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// keepAliveTimeout returns the timeout that a Keep-Alive header announces, and whether there is one.
func keepAliveTimeout(header http.Header) (time.Duration, bool) {
	_, value, found := strings.Cut(header.Get("Keep-Alive"), "timeout=")
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	return time.Duration(seconds) * time.Second, found && err == nil
}

// close records stray bytes on the idle connections and closes them.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		select {
		case err := <-conn.peeked:
			c.recordStrayBytes(conn, err)
		default:
		}
		_ = conn.raw.Close()
	}
	c.idle = nil
}

// do sends an attempt and returns its outcome, and records both.
func (c *client) do(a *Attempt, body []byte, chunked, newConn bool, extraHeaders ...string) *Outcome {
	c.history.RecordAttempt(a)
	outcome := c.exchange(a, body, chunked, newConn, extraHeaders)
	outcome.ID, outcome.EndedAt = a.ID, c.scope.Clock.Mono()
	c.history.RecordOutcome(outcome)
	return outcome
}

// exchange sends an attempt on one connection and reads the response, until the attempt's deadline.
func (c *client) exchange(a *Attempt, body []byte, chunked, newConn bool, extraHeaders []string) *Outcome {
	remaining := a.Deadline - c.scope.Clock.Mono()
	conn, err := c.acquire(newConn, remaining)
	if err != nil {
		return &Outcome{TransportError: "no connection: " + err.Error()}
	}
	_ = conn.raw.SetDeadline(time.Now().Add(remaining))
	if _, err := conn.raw.Write(c.formatRequest(a, remaining, body, chunked, extraHeaders)); err != nil {
		_ = conn.raw.Close()
		return &Outcome{TransportError: "not sent: " + err.Error()}
	}
	if conn.peeked != nil {
		if err := <-conn.peeked; err != nil {
			return c.transportError(conn, err)
		}
		conn.peeked = nil
	}
	response, err := http.ReadResponse(conn.in, &http.Request{Method: a.Method})
	for err == nil && response.StatusCode == http.StatusContinue {
		response, err = http.ReadResponse(conn.in, &http.Request{Method: a.Method})
	}
	if err != nil {
		return c.transportError(conn, err)
	}
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		outcome := c.transportError(conn, err)
		outcome.Status = response.StatusCode
		return outcome
	}
	outcome := &Outcome{Status: response.StatusCode, RequestRead: true}
	c.checkResponse(a, outcome, response, responseBody)
	if conn.in.Buffered() > 0 {
		conn.lastID = a.ID
		c.recordStrayBytes(conn, nil)
		_ = conn.raw.Close()
	} else if response.Close {
		_ = conn.raw.Close()
	} else {
		c.release(conn, a.ID, response.Header)
	}
	return outcome
}

// formatRequest returns the bytes of a request. extraHeaders are whole header lines.
func (c *client) formatRequest(a *Attempt, remaining time.Duration, body []byte, chunked bool, extraHeaders []string) []byte {
	var request bytes.Buffer
	_, _ = fmt.Fprintf(&request, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", a.Method, a.Target, a.Host, forwarding.DefaultHeaderNames.RequestID, a.ID, forwarding.DefaultHeaderNames.TimeLeft, remaining.Milliseconds())
	for _, line := range extraHeaders {
		_, _ = fmt.Fprintf(&request, "%s\r\n", line)
	}
	switch {
	case chunked:
		_, _ = fmt.Fprintf(&request, "Transfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			n := min(len(body), 700)
			_, _ = fmt.Fprintf(&request, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		_, _ = request.WriteString("0\r\n\r\n")
	case len(body) > 0 || a.Method != http.MethodGet:
		_, _ = fmt.Fprintf(&request, "Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		_, _ = request.WriteString("\r\n")
	}
	return request.Bytes()
}

// transportError closes a connection that failed after the request was sent and returns the outcome.
func (c *client) transportError(conn *clientConn, err error) *Outcome {
	outcome := &Outcome{TransportError: err.Error(), RequestRead: true}
	if counter, ok := conn.raw.(unreadCounter); ok {
		outcome.RequestRead = counter.Unread() == 0
	}
	_ = conn.raw.Close()
	return outcome
}

// checkResponse fills in what a complete response says, and how it fails to match the attempt.
func (c *client) checkResponse(a *Attempt, outcome *Outcome, response *http.Response, body []byte) {
	id := response.Header.Get(forwarding.DefaultHeaderNames.RequestID)
	responseSeal := response.Header.Get(forwarding.DefaultHeaderNames.Seal)
	outcome.Sealed = responseSeal != ""
	instance, _, _ := strings.Cut(responseSeal, ".")
	success := outcome.Status >= 200 && outcome.Status < 300
	switch {
	case id != "" && id != a.ID:
		outcome.Mismatch = "the response to " + id
	case success && responseSeal == "":
		outcome.Mismatch = "a successful response without a seal"
	case success && responseSeal != seal(a.ID, instance, body):
		outcome.Mismatch = fmt.Sprintf("a seal that does not match the body of %d bytes", len(body))
	}
	if retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		outcome.RetryAfter = time.Duration(retryAfter * float64(time.Second))
	}
	if !outcome.Sealed {
		outcome.ErrorKind = errorKind(body)
	}
}

// errorKind returns the "kind" of a node's JSON error body, or an empty string.
func errorKind(body []byte) string {
	_, rest, _ := bytes.Cut(body, []byte(`"kind":"`))
	kind, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(kind)
}
