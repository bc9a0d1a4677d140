package simnet

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"
)

type port struct {
	world *Network
	ip    string
	owner string
}

func (p *port) Listen(address string) (net.Listener, error) {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	if p.world.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Err: syscall.EADDRINUSE}
	}
	p.world.serial++
	l := &listener{world: p.world, address: address, owner: p.owner, serial: p.world.serial, queue: make(chan *end, 1024), closed: make(chan struct{})}
	p.world.listeners[address] = l
	return l, nil
}

func (p *port) Holder(address string) string {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	l := p.world.listeners[address]
	if l == nil {
		return ""
	}
	return strconv.Itoa(l.serial)
}

func (p *port) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.dial(ctx, address)
	p.world.await(p.owner)
	return conn, err
}

func (p *port) dial(ctx context.Context, address string) (net.Conn, error) {
	p.world.await(p.owner)
	to := host(address)
	for {
		heard := p.world.bell.Next()
		if p.world.over() {
			return nil, net.ErrClosed
		}
		if !p.world.severed(p.ip, to) && !p.world.severed(to, p.ip) {
			break
		}
		select {
		case <-ctx.Done():
			return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
		case <-heard:
		}
	}
	select {
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Err: ctx.Err()}
	case <-time.After(p.world.delay(p.ip, to) + p.world.delay(to, p.ip)):
	}
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	l := p.world.listeners[address]
	if l == nil || p.world.dead[p.owner] {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	there, back := newPipe(p.world, p.ip, to), newPipe(p.world, to, p.ip)
	mine := &end{world: p.world, owner: p.owner, local: p.ip, remote: address, in: back, out: there}
	theirs := &end{world: p.world, owner: l.owner, local: to, remote: p.ip + ":0", in: there, out: back}
	p.world.serial += 2
	mine.serial, theirs.serial = p.world.serial, p.world.serial+1
	mine.other, theirs.other = theirs, mine
	p.world.ends[mine], p.world.ends[theirs] = true, true
	select {
	case l.queue <- theirs:
		return mine, nil
	default:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
}

type listener struct {
	world   *Network
	address string
	owner   string
	serial  int
	queue   chan *end
	closed  chan struct{}
	once    sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.queue:
		l.world.await(l.owner)
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.world.mu.Lock()
		delete(l.world.listeners, l.address)
		l.world.mu.Unlock()
		close(l.closed)
		for {
			select {
			case waiting := <-l.queue:
				waiting.out.fail(syscall.ECONNRESET)
				waiting.in.fail(syscall.ECONNRESET)
			default:
				return
			}
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

func (a addr) Network() string { return "tcp" }
func (a addr) String() string  { return string(a) }
