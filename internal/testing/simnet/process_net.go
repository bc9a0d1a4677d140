package simnet

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// processNet implements base.Net for one process on one machine.
type processNet struct {
	network *Network
	ip      string
	owner   string
}

// Listen opens a listener. It returns EADDRINUSE if there is one at the address.
func (p *processNet) Listen(address string) (net.Listener, error) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	if p.network.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	p.network.lastSerial++
	l := &listener{network: p.network, address: address, owner: p.owner, serial: p.network.lastSerial, queue: make(chan *conn, 1024), closed: make(chan struct{})}
	p.network.listeners[address] = l
	return l, nil
}

// ListenerID returns the serial number of the listener at the address, or "" if there is none.
func (p *processNet) ListenerID(address string) string {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	l := p.network.listeners[address]
	if l == nil {
		return ""
	}
	return strconv.Itoa(l.serial)
}

// Dial connects to an address, as dial does, and blocks while the process is frozen. The network argument is ignored.
func (p *processNet) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, address)
	p.network.waitWhileFrozen(p.owner)
	return conn, err
}

// dial waits while either direction is cut and for one round trip, then connects. It returns ECONNREFUSED if there is
// no listener, if its queue of connections is full, or if the dialing process has crashed.
func (p *processNet) dial(ctx context.Context, address string) (net.Conn, error) {
	p.network.waitWhileFrozen(p.owner)
	to := host(address)
	for {
		changed := p.network.cutsChanged.Next()
		if p.network.isClosed() {
			return nil, net.ErrClosed
		}
		if !p.network.isCut(p.ip, to) && !p.network.isCut(to, p.ip) {
			break
		}
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		case <-changed:
		}
	}
	select {
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	case <-time.After(p.network.delay(p.ip, to) + p.network.delay(to, p.ip)):
	}
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	l := p.network.listeners[address]
	if l == nil || p.network.crashed[p.owner] {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	outbound, inbound := newPipe(p.network, p.ip, to), newPipe(p.network, to, p.ip)
	local := &conn{network: p.network, owner: p.owner, local: p.ip, remote: address, in: inbound, out: outbound}
	remote := &conn{network: p.network, owner: l.owner, local: to, remote: p.ip + ":0", in: outbound, out: inbound}
	p.network.lastSerial += 2
	local.serial, remote.serial = p.network.lastSerial, p.network.lastSerial+1
	local.peer, remote.peer = remote, local
	p.network.conns[local], p.network.conns[remote] = true, true
	select {
	case l.queue <- remote:
		return local, nil
	default:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
}

// listener is a simulated TCP listener.
type listener struct {
	network   *Network
	address   string
	owner     string
	serial    int
	queue     chan *conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.queue:
		l.network.waitWhileFrozen(l.owner)
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close closes the listener and resets the connections that were not accepted yet.
func (l *listener) Close() error {
	l.closeOnce.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
		for {
			select {
			case pending := <-l.queue:
				pending.out.fail(syscall.ECONNRESET)
				pending.in.fail(syscall.ECONNRESET)
			default:
				return
			}
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

// addr is an "ip:port" address.
type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }
