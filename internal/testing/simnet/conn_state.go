package simnet

import (
	"syscall"
	"time"
)

// Quiet reports whether nothing is waiting to be read: no data, no end of stream and no error.
func (c *conn) Quiet() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return c.in.err == nil && (len(c.in.packets) == 0 || c.in.packets[0].arrival.After(time.Now()))
}

// Unread returns the number of bytes sent that the peer has not read yet.
func (c *conn) Unread() int {
	c.out.mu.Lock()
	defer c.out.mu.Unlock()
	return c.out.unread
}

// Reset aborts the connection in both directions, like a TCP reset.
func (c *conn) Reset() {
	c.out.fail(syscall.ECONNRESET)
	c.in.fail(syscall.ECONNRESET)
	_ = c.Close()
}

// Patience sets how long after a silent crash of the peer reads on this side fail with ETIMEDOUT, as
// TCP_USER_TIMEOUT does. By default, and with 0, they wait without limit.
func (c *conn) Patience(d time.Duration) { c.peerTimeout.Store(int64(d)) }

// failAfterTimeout is called when the peer has crashed silently.
func (c *conn) failAfterTimeout() {
	if d := time.Duration(c.peerTimeout.Load()); d > 0 {
		time.AfterFunc(d, func() { c.in.fail(syscall.ETIMEDOUT) })
	}
}
