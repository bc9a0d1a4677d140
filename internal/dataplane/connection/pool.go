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

// MaxForeignResponses is how many responses to other requests are skipped on a connection before it is
// closed.
const MaxForeignResponses = 4

const (
	// bufferSize is the size in bytes of a connection's read buffer and of a buffer for writing requests.
	bufferSize = 4 << 10
	// maxIdlePerAddress is the most idle connections kept for each address.
	maxIdlePerAddress = 64
	// maxUnprovenIdle is how many idle connections stay when a request requires a live connection and none of
	// them is proven to be.
	maxUnprovenIdle = 4
)

// Errors returned by Pool.Exchange.
var (
	// ErrNotConnected means that there was no connection and nothing was sent.
	ErrNotConnected = errors.New("not connected")
	// ErrProtocolSwitched means that the peer switched to another protocol without being asked.
	ErrProtocolSwitched = errors.New("the peer switched protocols without being asked")
	// ErrForeignResponse means that only responses to other requests were read.
	ErrForeignResponse = errors.New("only responses to other requests were read")
)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	net         base.Net
	clock       base.Clock
	idleTimeout time.Duration
	dialTimeout time.Duration
	userTimeout time.Duration

	mu          sync.Mutex
	idle        map[string][]*connection
	idleRecords idleRecords
	dials       uint64
}

// NewPool returns an empty pool. A connection is reused within idleTimeout, established within dialTimeout,
// and given up if the other side leaves data unacknowledged for userTimeout.
func NewPool(net base.Net, clock base.Clock, idleTimeout, dialTimeout, userTimeout time.Duration) *Pool {
	return &Pool{net: net, clock: clock, idleTimeout: idleTimeout, dialTimeout: dialTimeout, userTimeout: userTimeout, idle: map[string][]*connection{}, idleRecords: idleRecords{}}
}

// get returns a connection for one request: the most recently used idle one that is still open, or else a new
// one. With requireLive, an idle connection is used only within the idle time that the peer is proven to
// allow.
func (p *Pool) get(ctx context.Context, address string, requireLive bool) (*connection, error) {
	for {
		c := p.getIdle(address, requireLive)
		if c == nil {
			return p.connect(ctx, address)
		}
		if c.quiet() {
			return c, nil
		}
		p.recordClosed(address)
		_ = c.conn.Close()
	}
}

// getIdle takes an idle connection out of the pool; nil if none can be used.
func (p *Pool) getIdle(address string, requireLive bool) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Mono()
	var maxIdle time.Duration
	if requireLive {
		maxIdle = p.idleRecords.safeIdle(address, now)
	}
	for {
		idle := p.idle[address]
		if len(idle) == 0 {
			return nil
		}
		newest := idle[len(idle)-1]
		if requireLive && now-newest.idleSince > maxIdle {
			p.trimUnproven(address)
			return nil
		}
		p.idle[address] = idle[:len(idle)-1]
		if now < newest.reusableUntil {
			return newest
		}
		_ = newest.conn.Close()
	}
}

// trimUnproven closes the oldest idle connection if there are too many whose liveness is unproven, as new
// ones are dialed beside them. The few that remain show, as they age, how long the peer keeps idle
// connections open.
func (p *Pool) trimUnproven(address string) {
	if idle := p.idle[address]; len(idle) >= maxUnprovenIdle {
		_ = idle[0].conn.Close()
		p.idle[address] = idle[1:]
	}
}

// recordClosed discards what was learned about a peer that closed an idle connection.
func (p *Pool) recordClosed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleRecords.recordClosed(address)
}

// connect dials a new connection.
func (p *Pool) connect(ctx context.Context, address string) (*connection, error) {
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	conn, err := p.net.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrNotConnected, err.Error())
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	limited := &headLimiter{conn: conn}
	c := &connection{conn: conn, reader: bufio.NewReaderSize(limited, bufferSize), limited: limited, idleTimeout: p.idleTimeout}
	c.setUserTimeout(p.userTimeout)
	return c, nil
}

// put returns a connection to the pool once its response has been read completely, or closes it if it can't
// be reused.
func (p *Pool) put(address string, c *connection, response *http.Response) {
	if response.Close || c.tainted || c.reader.Buffered() > 0 {
		_ = c.conn.Close()
		return
	}
	if limit, announced := keepAlive(response.Header); announced {
		c.idleTimeout = min(p.idleTimeout, limit)
	}
	if c.idleTimeout <= 0 {
		_ = c.conn.Close()
		return
	}
	_ = c.conn.SetDeadline(time.Time{})
	c.responses++
	c.idleSince = p.clock.Mono()
	c.reusableUntil = c.idleSince + c.idleTimeout
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= maxIdlePerAddress {
		_ = c.conn.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// keepAlive returns the idle timeout that the peer announces in its Keep-Alive header, less a margin of half
// a second.
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

// Sweep closes connections that were idle for too long. For watched peers it also closes those that the peer
// has closed, and records how long the others have stayed open.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Mono()
	for address, idle := range p.idle {
		watched := p.idleRecords.watched(address)
		var remaining []*connection
		for _, c := range idle {
			if now < c.reusableUntil && (!watched || p.stillOpen(address, c, now)) {
				remaining = append(remaining, c)
				continue
			}
			_ = c.conn.Close()
		}
		if len(remaining) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = remaining
	}
	p.idleRecords.sweep(now, p.idleTimeout)
}

// stillOpen checks an idle connection to a watched peer and records whether it is still open.
func (p *Pool) stillOpen(address string, c *connection, now time.Duration) bool {
	if !c.quiet() {
		p.idleRecords.recordClosed(address)
		return false
	}
	p.idleRecords.recordOpen(address, now-c.idleSince, now)
	return true
}

// CloseIdle closes all idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.conn.Close()
	}
	delete(p.idle, address)
}

// Exchange sends a request on one connection and reads the head of the first response for which isOwn returns
// true. sent reports whether any byte of the request may have been sent; if not, the request has not run. If
// an idle connection breaks before a byte is sent, the request moves to another connection. The caller must
// end the response with Finish or Abort.
func (p *Pool) Exchange(ctx context.Context, address string, request *Request, isOwn func(*http.Response) bool) (r *Response, sent bool, err error) {
	for {
		c, err := p.get(ctx, address, request.RequireLive)
		if err != nil {
			return nil, false, err
		}
		stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
		response, err := p.roundTrip(c, request, isOwn)
		if err == nil {
			return &Response{Response: response, pool: p, connection: c, address: address, stop: stop}, true, nil
		}
		stop()
		_ = c.conn.Close()
		if c.responses > 0 && ctx.Err() == nil {
			p.recordClosed(address)
		}
		if c.requestWritten {
			return nil, true, err
		}
		if c.responses == 0 || ctx.Err() != nil {
			return nil, false, errors.Wrap(ErrNotConnected, err.Error())
		}
	}
}

// roundTrip writes a request and reads responses up to its own. It skips responses to other requests.
func (p *Pool) roundTrip(c *connection, request *Request, isOwn func(*http.Response) bool) (*http.Response, error) {
	if err := c.send(request); err != nil {
		return nil, err
	}
	for range MaxForeignResponses {
		response, err := c.readResponse(request.Method)
		if err != nil {
			return nil, err
		}
		if isOwn(response) {
			return response, nil
		}
		c.tainted = true
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return nil, ErrForeignResponse
		}
	}
	return nil, ErrForeignResponse
}

// CountIdle counts the idle connections to an address: those with nothing to read, and those with data, an
// end of stream or a reset to read.
func (p *Pool) CountIdle(address string) (quiet, readable int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		if c.quiet() {
			quiet++
		} else {
			readable++
		}
	}
	return quiet, readable
}

// AssumeOpenAfter records that the peer keeps connections open that have been idle for the given time.
func (p *Pool) AssumeOpenAfter(address string, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleRecords.recordOpen(address, idle, p.clock.Mono())
}
