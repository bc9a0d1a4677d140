package dataplane

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"curlewreach/base"
)

const (
	lineBuffer  = 4 << 10
	surplusMost = 4
	linesKept   = 64
	linesSpare  = 4
)

var (
	errNotDialled = errors.New("not dialled")
	errSwitched   = errors.New("the peer switched to another protocol, which nobody asked for")
)

type message struct {
	method  string
	target  string
	host    string
	header  http.Header
	body    []byte
	certain bool // only on a connection that is certain to be open: the request may run once
}

// connection is one kept connection; what it says of a request is exact: nothing is ever sent twice.
type connection struct {
	conn   net.Conn
	in     *bufio.Reader
	idle   time.Duration
	rested time.Duration // since when it is idle
	until  time.Duration
	passed int
	odd    bool // something came on it that no request here asked for
	wrote  bool // a byte of the present request may have left
}

// Write notes whether a byte of the request left this machine.
func (l *connection) Write(data []byte) (int, error) {
	n, err := l.conn.Write(data)
	l.wrote = l.wrote || n > 0
	return n, err
}

// requestWriters holds buffers for requests that are being written: one of its own for each would be a tenth of all that
// a request allocates.
var requestWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, lineBuffer) }}

func (l *connection) send(m *message) error {
	l.wrote = false
	out := requestWriters.Get().(*bufio.Writer)
	out.Reset(l)
	m.writeTo(out)
	err := out.Flush()
	out.Reset(nil)
	requestWriters.Put(out)
	return err
}

// writeTo writes the request as HTTP/1.1. An error stays with out until it is flushed.
func (m *message) writeTo(out *bufio.Writer) {
	writeAll(out, m.method, " ", m.target, " HTTP/1.1\r\n")
	writeField(out, "Host", m.host)
	if len(m.body) > 0 || m.method != http.MethodGet && m.method != http.MethodHead {
		writeField(out, "Content-Length", strconv.Itoa(len(m.body)))
	}
	for name, values := range m.header {
		if name == "Content-Length" || name == "Host" {
			continue
		}
		for _, value := range values {
			writeField(out, name, value)
		}
	}
	writeAll(out, "\r\n")
	_, _ = out.Write(m.body)
}

func writeField(out *bufio.Writer, name, value string) { writeAll(out, name, ": ", value, "\r\n") }

func writeAll(out *bufio.Writer, texts ...string) {
	for _, text := range texts {
		_, _ = out.WriteString(text)
	}
}

func (l *connection) read(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(l.in, &http.Request{Method: method})
		if err != nil || response.StatusCode >= 200 {
			return response, err
		}
		l.odd = true
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errSwitched
		}
	}
}

func (l *connection) quiet() bool { return l.in.Buffered() == 0 && quiet(l.conn) }

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

func (l *connection) patience(d time.Duration) {
	if told, ok := l.conn.(interface{ Patience(time.Duration) }); ok {
		told.Patience(d)
		return
	}
	if tcp, ok := l.conn.(*net.TCPConn); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
			})
		}
	}
}

// ConnectionPool keeps idle connections by address.
type ConnectionPool struct {
	net    base.Net
	clock  base.Clock
	idle   time.Duration
	dial   time.Duration
	silent time.Duration
	mu     sync.Mutex
	kept   map[string][]*connection
	rests  restsKept
	dialed uint64
}

// NewConnectionPool keeps connections idle for at most idle, dials for at most dial, and gives a peer up whose machine acknowledges nothing for silent.
func NewConnectionPool(net base.Net, clock base.Clock, idle, dial, silent time.Duration) *ConnectionPool {
	return &ConnectionPool{net: net, clock: clock, idle: idle, dial: dial, silent: silent, kept: map[string][]*connection{}, rests: restsKept{}}
}

// take gives a connection to write one request on: the one idle for the shortest time, if it is still open, else a new one.
// With certain, an idle one is taken only within a rest that this peer has been seen to keep.
func (p *ConnectionPool) take(ctx context.Context, address string, certain bool) (*connection, error) {
	for {
		at := p.takeKept(address, certain)
		if at == nil {
			return p.fresh(ctx, address)
		}
		if at.quiet() {
			return at, nil
		}
		p.distrust(address)
		_ = at.conn.Close()
	}
}

// takeKept takes an idle connection out of the pool; nil if there is none to use.
func (p *ConnectionPool) takeKept(address string, certain bool) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Mono()
	var longest time.Duration
	if certain {
		longest = p.rests.certain(address, now)
	}
	for {
		kept := p.kept[address]
		if len(kept) == 0 {
			return nil
		}
		youngest := kept[len(kept)-1]
		if certain && now-youngest.rested > longest {
			p.makeRoom(address)
			return nil
		}
		p.kept[address] = kept[:len(kept)-1]
		if now < youngest.until {
			return youngest
		}
		_ = youngest.conn.Close()
	}
}

// makeRoom bounds what is dialled beside connections that aren't certain. The few left show by resting on for how long
// their peer keeps a rest.
func (p *ConnectionPool) makeRoom(address string) {
	if kept := p.kept[address]; len(kept) >= linesSpare {
		_ = kept[0].conn.Close()
		p.kept[address] = kept[1:]
	}
}

// distrust forgets what was learned about a peer that broke a rest.
func (p *ConnectionPool) distrust(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rests.broke(address)
}

func (p *ConnectionPool) fresh(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dial)
	defer cancel()
	conn, err := p.net.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(errNotDialled, err.Error())
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	at := &connection{conn: conn, in: bufio.NewReaderSize(conn, lineBuffer), idle: p.idle}
	at.patience(p.silent)
	return at, nil
}

func (p *ConnectionPool) give(address string, at *connection, response *http.Response) {
	if response.Close || at.odd || at.in.Buffered() > 0 {
		_ = at.conn.Close()
		return
	}
	if limit, told := keepAlive(response.Header); told {
		at.idle = min(p.idle, limit)
	}
	if at.idle <= 0 {
		_ = at.conn.Close()
		return
	}
	_ = at.conn.SetDeadline(time.Time{})
	at.passed++
	at.rested = p.clock.Mono()
	at.until = at.rested + at.idle
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.kept[address]) >= linesKept {
		_ = at.conn.Close()
		return
	}
	p.kept[address] = append(p.kept[address], at)
}

func keepAlive(header http.Header) (time.Duration, bool) {
	for _, list := range header["Keep-Alive"] {
		for item := range strings.SplitSeq(list, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
			if strings.EqualFold(name, "timeout") {
				if seconds, err := strconv.Atoi(value); err == nil {
					return time.Duration(seconds)*time.Second - time.Second/2, true
				}
			}
		}
	}
	return 0, false
}

// Sweep closes what has been idle for too long. Of watched peers it also closes what they have closed, and learns for how
// long they keep a rest.
func (p *ConnectionPool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Mono()
	for address, kept := range p.kept {
		watched := p.rests.watched(address)
		var left []*connection
		for _, at := range kept {
			if now < at.until && (!watched || p.stillRests(address, at, now)) {
				left = append(left, at)
				continue
			}
			_ = at.conn.Close()
		}
		if len(left) == 0 {
			delete(p.kept, address)
			continue
		}
		p.kept[address] = left
	}
	p.rests.sweep(now, p.idle)
}

// stillRests looks whether a watched peer has kept an idle connection open.
func (p *ConnectionPool) stillRests(address string, at *connection, now time.Duration) bool {
	if !at.quiet() {
		p.rests.broke(address)
		return false
	}
	p.rests.held(address, now-at.rested, now)
	return true
}

// Forget closes the idle connections to an address.
func (p *ConnectionPool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.kept[address] {
		_ = at.conn.Close()
	}
	delete(p.kept, address)
}

type reply struct {
	*http.Response
	lines   *ConnectionPool
	line    *connection
	address string
	stop    func() bool
	ended   bool
}

// exchange sends one request on one connection and reads the head of its answer. sent tells whether a byte may have left.
// A connection that takes no byte of the request is replaced: nothing was sent on it.
func (p *ConnectionPool) exchange(ctx context.Context, address string, m *message, own func(*http.Response) bool) (r *reply, sent bool, err error) {
	for {
		at, err := p.take(ctx, address, m.certain)
		if err != nil {
			return nil, false, err
		}
		stop := context.AfterFunc(ctx, func() { _ = at.conn.SetDeadline(time.Unix(1, 0)) })
		response, err := p.ask(at, m, own)
		if err == nil {
			return &reply{Response: response, lines: p, line: at, address: address, stop: stop}, true, nil
		}
		stop()
		_ = at.conn.Close()
		if at.passed > 0 && ctx.Err() == nil {
			p.distrust(address)
		}
		if at.wrote {
			return nil, true, err
		}
		if at.passed == 0 || ctx.Err() != nil {
			return nil, false, errors.Wrap(errNotDialled, err.Error())
		}
	}
}

// ask writes a request and reads answers until its own; those to other requests are skipped.
func (p *ConnectionPool) ask(at *connection, m *message, own func(*http.Response) bool) (*http.Response, error) {
	if err := at.send(m); err != nil {
		return nil, err
	}
	for range surplusMost {
		response, err := at.read(m.method)
		if err != nil {
			return nil, err
		}
		if own(response) {
			return response, nil
		}
		at.odd = true
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, errors.New("an answer to another request, and none after it")
		}
	}
	return nil, errors.New("answers to other requests only")
}

// first tells that nothing came on the connection before this answer, so that it can only belong to this request.
func (r *reply) first() bool { return r.line.passed == 0 && !r.line.odd }

// distrust lets the connection go after this answer.
func (r *reply) distrust() { r.line.odd = true }

// whole ends a reply whose body was read to its end.
func (r *reply) whole() {
	if r.ended {
		return
	}
	r.ended = true
	if !r.stop() {
		_ = r.line.conn.Close()
		return
	}
	r.lines.give(r.address, r.line, r.Response)
}

func (r *reply) broken() {
	if !r.ended {
		r.ended = true
		r.stop()
		_ = r.line.conn.Close()
	}
}
