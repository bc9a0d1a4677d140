package simnet

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

type end struct {
	world    *Network
	serial   int
	owner    string
	local    string
	remote   string
	in       *pipe
	out      *pipe
	once     sync.Once
	other    *end
	patience atomic.Int64
	gone     atomic.Bool
}

func (e *end) Read(into []byte) (int, error) {
	n, err := e.in.read(into)
	e.world.await(e.owner)
	if err == syscall.ECONNRESET {
		err = &net.OpError{Op: "read", Net: "tcp", Err: err}
	}
	return n, err
}

func (e *end) Write(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	e.world.await(e.owner)
	if e.gone.Load() {
		return 0, syscall.ECONNRESET
	}
	return e.out.write(e.world.cross(e.out, data))
}

func (e *end) Close() error {
	e.once.Do(func() {
		if !e.gone.Load() {
			e.out.end()
		}
		e.in.fail(net.ErrClosed)
		e.world.mu.Lock()
		delete(e.world.ends, e)
		e.world.mu.Unlock()
	})
	return nil
}

func (e *end) LocalAddr() net.Addr  { return addr(e.local + ":0") }
func (e *end) RemoteAddr() net.Addr { return addr(e.remote) }

func (e *end) SetDeadline(t time.Time) error {
	_ = e.SetReadDeadline(t)
	return e.SetWriteDeadline(t)
}

func (e *end) SetReadDeadline(t time.Time) error {
	e.in.mu.Lock()
	e.in.readBy = t
	e.in.mu.Unlock()
	e.in.bell.Notify()
	return nil
}

func (e *end) SetWriteDeadline(t time.Time) error {
	e.out.mu.Lock()
	e.out.writeBy = t
	e.out.mu.Unlock()
	e.out.bell.Notify()
	return nil
}
