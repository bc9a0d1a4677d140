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

// serverConn is an upstream's side of a connection. ctx ends when the peer closes the connection or the upstream ends.
// delayedCopy is sent when the next request arrives.
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

// peekAsync waits in the background for the next byte or the end of the connection, and sends the result to peeked. At
// the end of the connection it cancels ctx.
func (c *serverConn) peekAsync() {
	go func() {
		_, err := c.in.Peek(1)
		if err != nil {
			c.cancel()
		}
		c.peeked <- err
	}()
}

// write writes data in pieces of at most 32 KiB.
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

// writeLater writes data after a delay, unless the connection has ended by then.
func (c *serverConn) writeLater(delay time.Duration, data []byte) {
	time.AfterFunc(delay, func() {
		if c.ctx.Err() == nil {
			_ = c.write(data)
		}
	})
}

// reset resets a simulated connection and closes any other.
func (c *serverConn) reset() {
	if conn, ok := c.raw.(interface{ Reset() }); ok {
		conn.Reset()
		return
	}
	_ = c.raw.Close()
}

// serveConn serves the requests of one connection until it ends, is idle for too long or the upstream ends.
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

// formatResponse returns the bytes of a response with a Content-Length. header holds whole header lines.
func formatResponse(status int, header []string, body []byte) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, line := range header {
		head += line + "\r\n"
	}
	return append([]byte(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, len(body))), body...)
}

// chunkSize is the size of the chunks of a chunked response, in bytes.
const chunkSize = 9000

// formatChunkedResponse returns the bytes of a response with status 200 and chunked encoding.
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
