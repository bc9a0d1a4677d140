package simnet

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// conn is one side of a simulated TCP connection.
type conn struct {
	network     *Network
	serial      int    // order of creation
	owner       string // the process that holds this side
	local       string
	remote      string
	in          *pipe
	out         *pipe
	closeOnce   sync.Once
	peer        *conn
	peerTimeout atomic.Int64 // nanoseconds, as set by Patience
	crashed     atomic.Bool  // the owner has crashed
}

func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.in.read(buffer)
	c.network.waitWhileFrozen(c.owner)
	if err == syscall.ECONNRESET {
		err = &net.OpError{Op: "read", Net: "tcp", Err: err}
	}
	return n, err
}

func (c *conn) Write(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	c.network.waitWhileFrozen(c.owner)
	if c.crashed.Load() {
		return 0, syscall.ECONNRESET
	}
	return c.out.write(c.network.swapWrite(c.out, data))
}

func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		if !c.crashed.Load() {
			c.out.closeWrite()
		}
		c.in.fail(net.ErrClosed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return nil
}

func (c *conn) LocalAddr() net.Addr  { return addr(c.local + ":0") }
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }

func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.mu.Lock()
	c.in.readDeadline = t
	c.in.mu.Unlock()
	c.in.changed.Notify()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.mu.Lock()
	c.out.writeDeadline = t
	c.out.mu.Unlock()
	c.out.changed.Notify()
	return nil
}
