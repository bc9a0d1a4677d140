package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// newID returns an Attempt-Id; each try of a client carries one of its own.
func newID(kind string) string { return fmt.Sprintf("%s%06x", kind, lastRequest.Add(1)) }

// result is what a client saw of one request.
type result struct {
	id     string
	sentAt time.Time
	sent   bool // the whole request was written
	status int  // 0: the connection ended, or the time ran out, before a whole answer
	body   string
	err    error
}

// conn is a kept client connection to a node's Outbound address.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(m *machine) (*conn, error) {
	c, err := net.DialTimeout("tcp", m.at(portOutbound), time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

// do sends a request without a body and reads the answer.
func (c *conn) do(method, host, path, id string, timeLeft time.Duration) result {
	return c.exchange(id, timeLeft, func() error {
		_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Left: %d\r\n%s\r\n", method, path, host, id, timeLeft.Milliseconds(),
			map[bool]string{true: "Content-Length: 0\r\n"}[method != http.MethodGet])
		return err
	})
}

// exchange sends a request and reads its whole answer before the deadline.
func (c *conn) exchange(id string, timeLeft time.Duration, send func() error) result {
	r := result{id: id, sentAt: time.Now()}
	_ = c.SetDeadline(r.sentAt.Add(timeLeft))
	if r.err = send(); r.err != nil {
		return r
	}
	r.sent = true
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		r.err = err
		return r
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		r.err = err
		return r
	}
	r.status, r.body = response.StatusCode, string(body)
	if response.Close {
		r.err = io.EOF
	}
	return r
}
