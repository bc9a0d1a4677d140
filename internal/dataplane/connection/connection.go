package connection

import (
	"bufio"
	"net"
	"net/http"
	"time"

	"golang.org/x/sys/unix"
)

// connection is one connection. What it tells of a request is exact: nothing is ever sent twice.
type connection struct {
	conn   net.Conn
	in     *bufio.Reader
	idle   time.Duration // for how long it may be idle
	rested time.Duration // since when it is idle
	until  time.Duration // until when it may be used again
	passed int           // responses read on it
	odd    bool          // something came on it that no request here asked for
	wrote  bool          // a byte of the present request may have left
}

// Write notes whether a byte of the request left this machine.
func (c *connection) Write(data []byte) (int, error) {
	n, err := c.conn.Write(data)
	c.wrote = c.wrote || n > 0
	return n, err
}

// send writes a request.
func (c *connection) send(m *Request) error {
	c.wrote = false
	out := requestWriters.Get().(*bufio.Writer)
	out.Reset(c)
	m.writeTo(out)
	err := out.Flush()
	out.Reset(nil)
	requestWriters.Put(out)
	return err
}

// read reads the head of a final response; interim ones are skipped.
func (c *connection) read(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.in, &http.Request{Method: method})
		if err != nil || response.StatusCode >= 200 {
			return response, err
		}
		c.odd = true
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, ErrProtocolSwitched
		}
	}
}

func (c *connection) quiet() bool { return c.in.Buffered() == 0 && quiet(c.conn) }

// quiet tells that nothing waits to be read on a connection: no byte, no end, no reset.
func quiet(conn net.Conn) bool {
	if told, ok := conn.(interface{ Quiet() bool }); ok {
		return told.Quiet()
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	var one [1]byte
	// Control and not Read: another goroutine may be waiting in a read, whose lock Read would wait for.
	err = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN || err == unix.EWOULDBLOCK
	})
	return err == nil && silent
}

// patience bounds how long the other machine may acknowledge nothing.
func (c *connection) patience(d time.Duration) {
	if told, ok := c.conn.(interface{ Patience(time.Duration) }); ok {
		told.Patience(d)
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
