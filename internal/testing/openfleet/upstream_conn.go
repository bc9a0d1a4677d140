package openfleet

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

type serverConn struct {
	raw         net.Conn
	in          *bufio.Reader
	ctx         context.Context
	cancel      context.CancelFunc
	peeked      chan error
	mu          sync.Mutex
	delayedCopy []byte
}

func newServerConn(s context.Context, conn net.Conn) *serverConn {
	c := &serverConn{raw: conn, in: bufio.NewReader(conn), peeked: make(chan error, 1)}
	c.ctx, c.cancel = context.WithCancel(s)
	return c
}

func (c *serverConn) peekAsync() {
	go func() {
		_, err := c.in.Peek(1)
		if err != nil {
			c.cancel()
		}
		c.peeked <- err
	}()
}

func (c *serverConn) write(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(data) > 0 {
		n, err := c.raw.Write(data[:min(len(data), 32<<10)])
		if err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// writeLater says something after a while, if the connection is still there.
func (c *serverConn) writeLater(delay time.Duration, data []byte) {
	time.AfterFunc(delay, func() {
		if c.ctx.Err() == nil {
			_ = c.write(data)
		}
	})
}

func (c *serverConn) reset() {
	if conn, ok := c.raw.(interface{ Reset() }); ok {
		conn.Reset()
		return
	}
	_ = c.raw.Close()
}

func (u *Upstream) serveConn(s context.Context, conn net.Conn) {
	c := newServerConn(s, conn)
	defer c.cancel()
	defer conn.Close()
	c.peekAsync()
	for {
		idle := time.NewTimer(u.idleTimeout())
		select {
		case err := <-c.peeked:
			idle.Stop()
			if err != nil {
				return
			}
		case <-idle.C:
			return
		case <-s.Done():
			idle.Stop()
			c.reset()
			return
		}
		if delayed := c.delayedCopy; delayed != nil {
			c.delayedCopy = nil
			_ = c.write(delayed)
		}
		request, err := http.ReadRequest(c.in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		c.peekAsync()
		if !u.serve(c, request, body) {
			return
		}
	}
}

func formatResponse(status int, header []string, body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, line := range header {
		head += line + "\r\n"
	}
	return append([]byte(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body))), body...)
}

const chunkSize = 9000

func formatChunkedResponse(header []string, body []byte) []byte {
	var out bytes.Buffer
	_, _ = fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Join(header, "\r\n"))
	for len(body) > 0 {
		n := min(len(body), chunkSize)
		_, _ = fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	_, _ = out.WriteString("0\r\n\r\n")
	return out.Bytes()
}
