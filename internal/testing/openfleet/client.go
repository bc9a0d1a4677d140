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

const keptFor = 4 * time.Second

type unread interface{ Unread() int }

type kept struct {
	conn   net.Conn
	in     *bufio.Reader
	peeked chan error
	last   string
	until  time.Duration
}

func (k *kept) watch() {
	k.peeked = make(chan error, 1)
	go func() {
		_, err := k.in.Peek(1)
		k.peeked <- err
	}()
}

type client struct {
	scope   base.Scope
	history *History
	to      string
	name    string
	mu      sync.Mutex
	idle    []*kept
}

func (c *client) take(fresh bool, within time.Duration) (*kept, error) {
	for !fresh {
		c.mu.Lock()
		if len(c.idle) == 0 {
			c.mu.Unlock()
			break
		}
		at := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		c.mu.Unlock()
		select {
		case err := <-at.peeked:
			c.stray(at, err)
			_ = at.conn.Close()
			continue
		default:
		}
		if c.scope.Clock.Mono() < at.until {
			return at, nil
		}
		_ = at.conn.Close()
	}
	s, cancel := c.scope.WithTimeout(min(within, time.Second))
	defer cancel()
	conn, err := c.scope.Net.Dial(s, "tcp", c.to)
	if err != nil {
		return nil, err
	}
	return &kept{conn: conn, in: bufio.NewReader(conn)}, nil
}

func (c *client) stray(at *kept, err error) {
	if err == nil {
		bytes, _ := at.in.Peek(at.in.Buffered())
		note(c.history, &c.history.strays, fmt.Sprintf("%s: %q after %s", c.name, bytes[:min(len(bytes), 60)], at.last))
	}
}

func (c *client) give(at *kept, id string, header http.Header) {
	at.last = id
	at.until = c.scope.Clock.Mono() + keptFor
	if limit, told := keepAlive(header); told {
		at.until = c.scope.Clock.Mono() + min(limit, keptFor)
	}
	at.watch()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, at)
}

func keepAlive(header http.Header) (time.Duration, bool) {
	_, value, told := strings.Cut(header.Get("Keep-Alive"), "timeout=")
	seconds, err := strconv.Atoi(strings.TrimSpace(value))
	return time.Duration(seconds) * time.Second, told && err == nil
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.idle {
		select {
		case err := <-at.peeked:
			c.stray(at, err)
		default:
		}
		_ = at.conn.Close()
	}
	c.idle = nil
}

func (c *client) ask(a *Attempt, body []byte, chunked, fresh bool, extra ...string) *Outcome {
	c.history.RecordAttempt(a)
	told := c.exchange(a, body, chunked, fresh, extra)
	told.ID, told.EndedAt = a.ID, c.scope.Clock.Mono()
	c.history.RecordOutcome(told)
	return told
}

func (c *client) exchange(a *Attempt, body []byte, chunked, fresh bool, extra []string) *Outcome {
	left := a.Deadline - c.scope.Clock.Mono()
	at, err := c.take(fresh, left)
	if err != nil {
		return &Outcome{TransportError: "no connection: " + err.Error()}
	}
	_ = at.conn.SetDeadline(time.Now().Add(left))
	if _, err := at.conn.Write(c.text(a, left, body, chunked, extra)); err != nil {
		_ = at.conn.Close()
		return &Outcome{TransportError: "not sent: " + err.Error()}
	}
	if at.peeked != nil {
		if err := <-at.peeked; err != nil {
			return c.broken(at, err)
		}
		at.peeked = nil
	}
	response, err := http.ReadResponse(at.in, &http.Request{Method: a.Method})
	for err == nil && response.StatusCode == http.StatusContinue {
		response, err = http.ReadResponse(at.in, &http.Request{Method: a.Method})
	}
	if err != nil {
		return c.broken(at, err)
	}
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		told := c.broken(at, err)
		told.Status = response.StatusCode
		return told
	}
	told := &Outcome{Status: response.StatusCode, RequestRead: true}
	c.judge(a, told, response, answer)
	if at.in.Buffered() > 0 {
		at.last = a.ID
		c.stray(at, nil)
		_ = at.conn.Close()
	} else if response.Close {
		_ = at.conn.Close()
	} else {
		c.give(at, a.ID, response.Header)
	}
	return told
}

func (c *client) text(a *Attempt, left time.Duration, body []byte, chunked bool, extra []string) []byte {
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", a.Method, a.Target, a.Host, forwarding.DefaultHeaderNames.RequestID, a.ID, forwarding.DefaultHeaderNames.TimeLeft, left.Milliseconds())
	for _, line := range extra {
		_, _ = fmt.Fprintf(&out, "%s\r\n", line)
	}
	switch {
	case chunked:
		_, _ = fmt.Fprintf(&out, "Transfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			n := min(len(body), 700)
			_, _ = fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		_, _ = out.WriteString("0\r\n\r\n")
	case len(body) > 0 || a.Method != http.MethodGet:
		_, _ = fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(body), body)
	default:
		_, _ = out.WriteString("\r\n")
	}
	return out.Bytes()
}

func (c *client) broken(at *kept, err error) *Outcome {
	told := &Outcome{TransportError: err.Error(), RequestRead: true}
	if conn, ok := at.conn.(unread); ok {
		told.RequestRead = conn.Unread() == 0
	}
	_ = at.conn.Close()
	return told
}

func (c *client) judge(a *Attempt, told *Outcome, response *http.Response, body []byte) {
	id := response.Header.Get(forwarding.DefaultHeaderNames.RequestID)
	mark := response.Header.Get(forwarding.DefaultHeaderNames.Seal)
	told.Sealed = mark != ""
	instance, _, _ := strings.Cut(mark, ".")
	success := told.Status >= 200 && told.Status < 300
	switch {
	case id != "" && id != a.ID:
		told.Mismatch = "the answer of " + id
	case success && mark == "":
		told.Mismatch = "a success without a seal"
	case success && mark != seal(a.ID, instance, body):
		told.Mismatch = fmt.Sprintf("a seal that does not fit %d bytes", len(body))
	}
	if again, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		told.RetryAfter = time.Duration(again * float64(time.Second))
	}
	if !told.Sealed {
		told.ErrorKind = kindOf(body)
	}
}

func kindOf(body []byte) string {
	_, rest, _ := bytes.Cut(body, []byte(`"kind":"`))
	kind, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(kind)
}
