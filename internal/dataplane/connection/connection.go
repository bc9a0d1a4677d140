package connection

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// connection is a connection to a peer. It records exactly whether any byte of a request was sent, and never
// sends a request twice.
type connection struct {
	conn           net.Conn
	reader         *bufio.Reader // of limited
	limited        *headLimiter
	idleTimeout    time.Duration // how long it may stay idle
	idleSince      time.Duration // when it became idle
	reusableUntil  time.Duration // when it may no longer be reused
	responses      int           // responses read so far
	tainted        bool          // must not be reused: something other than one final response per request was read, or DisableReuse was called
	requestWritten bool          // a byte of the current request may have been sent
}

// Write writes to the connection and records whether any byte was sent.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.conn.Write(data)
	c.requestWritten = c.requestWritten || n > 0
	return n, err
}

// send writes a request.
func (c *connection) send(request *Request) error {
	c.requestWritten = false
	writer := requestWriters.Get().(*bufio.Writer)
	writer.Reset(c)
	request.writeTo(writer)
	err := writer.Flush()
	writer.Reset(nil)
	requestWriters.Put(writer)
	return err
}

// maxHeadBytes is how many bytes the head of a response may take, together with the heads of interim responses before it.
const maxHeadBytes = 256 << 10

// ErrHeadTooLarge means that a response has a head of more than maxHeadBytes.
var ErrHeadTooLarge = errors.New("the head of the response is too large")

// headLimiter reads from a connection, at most remaining bytes while a head is read: package net/http reads a line of a
// response's head into memory however long it is.
type headLimiter struct {
	conn      net.Conn
	reading   bool
	remaining int
}

// begin limits what is read until end.
func (l *headLimiter) begin() { l.reading, l.remaining = true, maxHeadBytes }

func (l *headLimiter) end() { l.reading = false }

// Read reads from the connection. It returns ErrHeadTooLarge if the head that is read goes on beyond its limit.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.reading {
		return l.conn.Read(p)
	}
	if l.remaining <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := l.conn.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// readResponse reads the head of the final response and skips interim ones.
func (c *connection) readResponse(method string) (*http.Response, error) {
	c.limited.begin()
	defer c.limited.end()
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil || response.StatusCode >= 200 {
			return response, err
		}
		c.tainted = true
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, ErrProtocolSwitched
		}
	}
}

// quiet reports whether nothing is waiting to be read, neither in the buffer nor on the socket.
func (c *connection) quiet() bool { return c.reader.Buffered() == 0 && quiet(c.conn) }

// quiet reports whether nothing is waiting to be read on a connection: no data, no end of stream and no
// reset.
func quiet(conn net.Conn) bool {
	if q, ok := conn.(interface{ Quiet() bool }); ok {
		return q.Quiet()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	var buffer [1]byte
	// Control rather than Read: another goroutine may be blocked in a read and hold the lock that Read needs.
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN || err == unix.EWOULDBLOCK
	})
	return err == nil && empty
}

// setUserTimeout limits how long the other side may leave sent data unacknowledged (TCP_USER_TIMEOUT).
func (c *connection) setUserTimeout(d time.Duration) {
	if q, ok := c.conn.(interface{ Patience(time.Duration) }); ok {
		q.Patience(d)
		return
	}
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
			})
		}
	}
}
