package connection

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"curlewreach/base"
)

// MaxForeignResponses is how many answers to other requests are skipped on a connection before it is given up.
const MaxForeignResponses = 4

const (
	bufferBytes = 4 << 10
	// mostKept is how many idle connections are kept to one address.
	mostKept = 64
	// spareKept is how many of them stay where requests need a connection that is certain to be open and none is.
	spareKept = 4
)

// Errors of Exchange.
var (
	// ErrNotConnected means: there is no connection, and nothing was sent.
	ErrNotConnected = errors.New("not dialled")
	// ErrProtocolSwitched means: the peer switched to another protocol, which nobody asked for.
	ErrProtocolSwitched = errors.New("the peer switched to another protocol, which nobody asked for")
	// ErrForeignResponse means: answers to other requests came, and none to this one.
	ErrForeignResponse = errors.New("answers to other requests only")
)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
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

// NewPool returns a pool that keeps connections idle for at most idle, dials for at most dial, and gives a connection up
// when the other machine acknowledges nothing for silent.
func NewPool(net base.Net, clock base.Clock, idle, dial, silent time.Duration) *Pool {
	return &Pool{net: net, clock: clock, idle: idle, dial: dial, silent: silent, kept: map[string][]*connection{}, rests: restsKept{}}
}

// take gives a connection to write one request on: the one idle for the shortest time, if it is still open, else a new one.
// With certain, an idle one is taken only within a rest that this peer has been seen to keep.
func (p *Pool) take(ctx context.Context, address string, certain bool) (*connection, error) {
	for {
		at := p.takeKept(address, certain)
		if at == nil {
			return p.fresh(ctx, address)
		}
		if at.quiet() {
			return at, nil
		}
		p.forgetRest(address)
		_ = at.conn.Close()
	}
}

// takeKept takes an idle connection out of the pool; nil if there is none to use.
func (p *Pool) takeKept(address string, certain bool) *connection {
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
func (p *Pool) makeRoom(address string) {
	if kept := p.kept[address]; len(kept) >= spareKept {
		_ = kept[0].conn.Close()
		p.kept[address] = kept[1:]
	}
}

// forgetRest forgets what was learned about a peer that broke a rest.
func (p *Pool) forgetRest(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rests.broke(address)
}

// fresh dials a connection.
func (p *Pool) fresh(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dial)
	defer cancel()
	conn, err := p.net.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrNotConnected, err.Error())
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	at := &connection{conn: conn, in: bufio.NewReaderSize(conn, bufferBytes), idle: p.idle}
	at.patience(p.silent)
	return at, nil
}

// give keeps a connection whose response was read to its end, if it may be used again.
func (p *Pool) give(address string, at *connection, response *http.Response) {
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
	if len(p.kept[address]) >= mostKept {
		_ = at.conn.Close()
		return
	}
	p.kept[address] = append(p.kept[address], at)
}

// keepAlive reads for how long the peer promises to keep the connection open, less a margin.
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
func (p *Pool) Sweep() {
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
func (p *Pool) stillRests(address string, at *connection, now time.Duration) bool {
	if !at.quiet() {
		p.rests.broke(address)
		return false
	}
	p.rests.held(address, now-at.rested, now)
	return true
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.kept[address] {
		_ = at.conn.Close()
	}
	delete(p.kept, address)
}

// Exchange sends a request on one connection and reads the head of its response, the first for which own is true. sent
// tells whether a byte may have left: if not, the request has not run. A connection that takes no byte of the request is
// replaced, since nothing was sent on it. The caller ends the response by Finish or Abort.
func (p *Pool) Exchange(ctx context.Context, address string, m *Request, own func(*http.Response) bool) (r *Response, sent bool, err error) {
	for {
		at, err := p.take(ctx, address, m.RequireLive)
		if err != nil {
			return nil, false, err
		}
		stop := context.AfterFunc(ctx, func() { _ = at.conn.SetDeadline(time.Unix(1, 0)) })
		response, err := p.ask(at, m, own)
		if err == nil {
			return &Response{Response: response, pool: p, connection: at, address: address, stop: stop}, true, nil
		}
		stop()
		_ = at.conn.Close()
		if at.passed > 0 && ctx.Err() == nil {
			p.forgetRest(address)
		}
		if at.wrote {
			return nil, true, err
		}
		if at.passed == 0 || ctx.Err() != nil {
			return nil, false, errors.Wrap(ErrNotConnected, err.Error())
		}
	}
}

// ask writes a request and reads answers until its own; those to other requests are skipped.
func (p *Pool) ask(at *connection, m *Request, own func(*http.Response) bool) (*http.Response, error) {
	if err := at.send(m); err != nil {
		return nil, err
	}
	for range MaxForeignResponses {
		response, err := at.read(m.Method)
		if err != nil {
			return nil, err
		}
		if own(response) {
			return response, nil
		}
		at.odd = true
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, ErrForeignResponse
		}
	}
	return nil, ErrForeignResponse
}

// CountIdle counts the idle connections to an address: those on which nothing has come, and those on which something has, be it
// their end.
func (p *Pool) CountIdle(address string) (silent, spoken int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, at := range p.kept[address] {
		if at.quiet() {
			silent++
		} else {
			spoken++
		}
	}
	return silent, spoken
}

// AssumeOpenAfter takes it as seen that a peer keeps idle connections open for so long.
func (p *Pool) AssumeOpenAfter(address string, rest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rests.held(address, rest, p.clock.Mono())
}
