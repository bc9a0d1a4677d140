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
)

var errNotDialled = errors.New("not dialled")

type message struct {
	method string
	target string
	host   string
	header http.Header
	body   []byte
}

// line is one kept connection; what it says of a request is exact: nothing is ever sent twice.
type line struct {
	conn   net.Conn
	in     *bufio.Reader
	idle   time.Duration
	until  time.Duration
	passed int
}

func (l *line) send(m *message) error {
	out := bufio.NewWriterSize(l.conn, lineBuffer)
	_, _ = out.WriteString(m.method + " " + m.target + " HTTP/1.1\r\nHost: " + m.host + "\r\n")
	if len(m.body) > 0 || m.method != http.MethodGet && m.method != http.MethodHead {
		_, _ = out.WriteString("Content-Length: " + strconv.Itoa(len(m.body)) + "\r\n")
	}
	for name, values := range m.header {
		if name == "Content-Length" || name == "Host" {
			continue
		}
		for _, value := range values {
			_, _ = out.WriteString(name + ": " + value + "\r\n")
		}
	}
	_, _ = out.WriteString("\r\n")
	_, _ = out.Write(m.body)
	return out.Flush()
}

func (l *line) read(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(l.in, &http.Request{Method: method})
		if err != nil || response.StatusCode >= 200 || response.StatusCode == http.StatusSwitchingProtocols {
			return response, err
		}
	}
}

func (l *line) quiet() bool {
	if l.in.Buffered() > 0 {
		return false
	}
	if told, ok := l.conn.(interface{ Quiet() bool }); ok {
		return told.Quiet()
	}
	tcp, ok := l.conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = err == unix.EAGAIN || err == unix.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}

func (l *line) patience(d time.Duration) {
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

// Lines keeps idle connections by address.
type Lines struct {
	net    base.Net
	clock  base.Clock
	idle   time.Duration
	dial   time.Duration
	silent time.Duration
	mu     sync.Mutex
	kept   map[string][]*line
	dialed uint64
}

// NewLines keeps connections idle for at most idle, dials for at most dial, and gives a peer up whose machine acknowledges nothing for silent.
func NewLines(net base.Net, clock base.Clock, idle, dial, silent time.Duration) *Lines {
	return &Lines{net: net, clock: clock, idle: idle, dial: dial, silent: silent, kept: map[string][]*line{}}
}

func (p *Lines) take(ctx context.Context, address string) (*line, error) {
	for {
		p.mu.Lock()
		kept := p.kept[address]
		if len(kept) == 0 {
			p.mu.Unlock()
			return p.fresh(ctx, address)
		}
		at := kept[len(kept)-1]
		p.kept[address] = kept[:len(kept)-1]
		p.mu.Unlock()
		if p.clock.Mono() < at.until && at.quiet() {
			return at, nil
		}
		_ = at.conn.Close()
	}
}

func (p *Lines) fresh(ctx context.Context, address string) (*line, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dial)
	defer cancel()
	conn, err := p.net.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(errNotDialled, err.Error())
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	at := &line{conn: conn, in: bufio.NewReaderSize(conn, lineBuffer), idle: p.idle}
	at.patience(p.silent)
	return at, nil
}

func (p *Lines) give(address string, at *line, response *http.Response) {
	if response.Close || at.in.Buffered() > 0 {
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
	at.until = p.clock.Mono() + at.idle
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

// Sweep closes what has been idle for too long.
func (p *Lines) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Mono()
	for address, kept := range p.kept {
		var left []*line
		for _, at := range kept {
			if now < at.until {
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
}

// Forget closes the idle connections to an address.
func (p *Lines) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.kept[address] {
		_ = at.conn.Close()
	}
	delete(p.kept, address)
}

type reply struct {
	*http.Response
	lines   *Lines
	line    *line
	address string
	stop    func() bool
	ended   bool
}

// exchange sends one request on one connection and reads the head of its answer. sent tells whether a byte may have left.
func (p *Lines) exchange(ctx context.Context, address string, m *message, own func(*http.Response) bool) (r *reply, sent bool, err error) {
	at, err := p.take(ctx, address)
	if err != nil {
		return nil, false, err
	}
	stop := context.AfterFunc(ctx, func() { _ = at.conn.SetDeadline(time.Unix(1, 0)) })
	broken := func(err error) (*reply, bool, error) {
		stop()
		_ = at.conn.Close()
		return nil, true, err
	}
	if err := at.send(m); err != nil {
		return broken(err)
	}
	for range surplusMost {
		response, err := at.read(m.method)
		if err != nil {
			return broken(err)
		}
		if own(response) {
			return &reply{Response: response, lines: p, line: at, address: address, stop: stop}, true, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return broken(errors.New("an answer to another request, and none after it"))
		}
	}
	return broken(errors.New("answers to other requests only"))
}

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
