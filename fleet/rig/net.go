package rig

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"curlewreach/base"
)

const windowMax = 256 << 10

type Latency func(from, to string) time.Duration

// Lock order: a pipe's mu before the world's mu.
type World struct {
	rand      *base.Rand
	latency   Latency
	mu        sync.Mutex
	listeners map[string]*listener
	ends      map[*end]bool
	cuts      map[[2]string]bool
	bell      base.Bell
	serial    int
	closed    bool
	even      bool
	frozen    map[string]chan struct{}
	links     map[[2]string]Link
	crossing  map[[2]string]*crossed
	dead      map[string]bool
	sent      atomic.Uint64
	packets   atomic.Uint64
}

func NewWorld(rand *base.Rand, latency Latency) *World {
	return &World{
		rand: rand, latency: latency, listeners: map[string]*listener{}, ends: map[*end]bool{}, cuts: map[[2]string]bool{},
		frozen: map[string]chan struct{}{}, links: map[[2]string]Link{}, crossing: map[[2]string]*crossed{}, dead: map[string]bool{},
	}
}

func host(address string) string { return netip.MustParseAddrPort(address).Addr().String() }

func (w *World) Cut(from, to string) { w.setCut(from, to, true) }

func (w *World) Heal(from, to string) { w.setCut(from, to, false) }

func (w *World) setCut(from, to string, cut bool) {
	w.mu.Lock()
	w.cuts[[2]string{from, to}] = cut
	w.mu.Unlock()
	w.bell.Ring()
}

func (w *World) HealAll() {
	w.mu.Lock()
	clear(w.cuts)
	clear(w.links)
	w.mu.Unlock()
	w.bell.Ring()
}

func (w *World) severed(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{from, to}]
}

func (w *World) over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

func (w *World) delay(from, to string) time.Duration {
	usual := w.latency(from, to)
	w.mu.Lock()
	link := w.links[[2]string{from, to}]
	w.mu.Unlock()
	delay := usual + link.Slower
	if !w.even {
		delay += time.Duration(float64(usual) * w.rand.Float64())
	}
	if link.Loss > 0 && w.rand.Float64() < link.Loss {
		delay += resend
	}
	return delay
}

func (w *World) At(ip, owner string) base.Net { return &port{world: w, ip: ip, owner: owner} }

func (w *World) Crash(ip, owner string, silent bool) {
	w.mu.Lock()
	if owner != "" {
		w.dead[owner] = true
	}
	var ends []*end
	var listeners []*listener
	for each := range w.ends {
		if each.local == ip && (owner == "" || each.owner == owner) {
			ends = append(ends, each)
		}
	}
	for address, each := range w.listeners {
		if host(address) == ip && (owner == "" || each.owner == owner) {
			listeners = append(listeners, each)
		}
	}
	w.mu.Unlock()
	slices.SortFunc(listeners, func(a, b *listener) int { return cmp.Compare(a.serial, b.serial) })
	slices.SortFunc(ends, func(a, b *end) int { return cmp.Compare(a.serial, b.serial) })
	for _, each := range listeners {
		_ = each.Close()
	}
	for _, each := range ends {
		each.gone.Store(true)
		each.in.fail(syscall.ECONNRESET)
		if silent {
			each.other.abandon()
			continue
		}
		each.out.fail(syscall.ECONNRESET)
	}
}

func (w *World) Sent() (bytes, packets uint64) { return w.sent.Load(), w.packets.Load() }

func (w *World) Close() {
	w.mu.Lock()
	w.closed = true
	var ends []*end
	var listeners []*listener
	for each := range w.ends {
		ends = append(ends, each)
	}
	for _, each := range w.listeners {
		listeners = append(listeners, each)
	}
	w.mu.Unlock()
	for _, each := range listeners {
		_ = each.Close()
	}
	w.bell.Ring()
	for _, each := range ends {
		each.in.fail(net.ErrClosed)
		each.out.fail(net.ErrClosed)
	}
}

type port struct {
	world *World
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
		heard := p.world.bell.Heard()
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
	world   *World
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

type packet struct {
	at   time.Time
	data []byte
}

type pipe struct {
	world    *World
	from, to string
	mu       sync.Mutex
	packets  []packet
	size     int
	last     time.Time
	ended    bool
	broken   error
	readBy   time.Time
	writeBy  time.Time
	bell     base.Bell
}

func newPipe(w *World, from, to string) *pipe { return &pipe{world: w, from: from, to: to} }

func (p *pipe) arrival() time.Time {
	at := time.Now().Add(p.world.delay(p.from, p.to))
	if at.Before(p.last) {
		at = p.last
	}
	p.last = at
	return at
}

func (p *pipe) write(data []byte) (int, error) {
	for {
		heard := p.bell.Heard()
		p.mu.Lock()
		switch {
		case p.broken != nil:
			p.mu.Unlock()
			return 0, p.broken
		case p.ended:
			p.mu.Unlock()
			return 0, io.ErrClosedPipe
		case expired(p.writeBy):
			p.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		case p.size < windowMax:
			p.packets = append(p.packets, packet{p.arrival(), append([]byte(nil), data...)})
			p.size += len(data)
			p.mu.Unlock()
			p.world.sent.Add(uint64(len(data)))
			p.world.packets.Add(1)
			p.bell.Ring()
			return len(data), nil
		}
		by := p.writeBy
		p.mu.Unlock()
		pause(heard, nil, by)
	}
}

func (p *pipe) read(into []byte) (int, error) {
	for {
		heard, world := p.bell.Heard(), p.world.bell.Heard()
		severed := p.world.severed(p.from, p.to)
		p.mu.Lock()
		if p.broken != nil {
			p.mu.Unlock()
			return 0, p.broken
		}
		if expired(p.readBy) {
			p.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		by := p.readBy
		if len(p.packets) > 0 && !severed {
			first := &p.packets[0]
			if !first.at.After(time.Now()) {
				if first.data == nil {
					p.mu.Unlock()
					return 0, io.EOF
				}
				n := copy(into, first.data)
				first.data = first.data[n:]
				p.size -= n
				if len(first.data) == 0 {
					p.packets = p.packets[1:]
				}
				p.mu.Unlock()
				p.bell.Ring()
				return n, nil
			}
			if by.IsZero() || first.at.Before(by) {
				by = first.at
			}
		}
		p.mu.Unlock()
		pause(heard, world, by)
	}
}

func (p *pipe) end() {
	p.mu.Lock()
	if !p.ended {
		p.ended = true
		p.packets = append(p.packets, packet{at: p.arrival()})
	}
	p.mu.Unlock()
	p.bell.Ring()
}

func (p *pipe) fail(err error) {
	p.mu.Lock()
	if p.broken == nil {
		p.broken = err
	}
	p.mu.Unlock()
	p.bell.Ring()
}

func expired(by time.Time) bool { return !by.IsZero() && !time.Now().Before(by) }

func pause(first, second <-chan struct{}, by time.Time) {
	var due <-chan time.Time
	if !by.IsZero() {
		wakeup := time.NewTimer(time.Until(by))
		defer wakeup.Stop()
		due = wakeup.C
	}
	select {
	case <-first:
	case <-second:
	case <-due:
	}
}

type end struct {
	world    *World
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
	e.in.bell.Ring()
	return nil
}

func (e *end) SetWriteDeadline(t time.Time) error {
	e.out.mu.Lock()
	e.out.writeBy = t
	e.out.mu.Unlock()
	e.out.bell.Ring()
	return nil
}
