package connection

import (
	"net"
	"net/http"
	"sync"
	"time"

	"curlewreach/base"
)

// ClientConnections closes the idle connections of clients. A client may come back on a connection as long as any
// limit promises that was in force since the connection fell idle, so a limit that is lowered shortens no promise,
// and one that is raised prolongs it. A limit that is on its way to this node is allowed for by the slack.
type ClientConnections struct {
	clock base.Clock
	limit func() time.Duration
	slack time.Duration
	mu    sync.Mutex
	idle  map[net.Conn]*idleConnection
}

type idleConnection struct {
	since    time.Duration
	promised time.Duration
	overdue  bool
}

// NewClientConnections asks limit for the idle time that the newest configuration promises.
func NewClientConnections(clock base.Clock, slack time.Duration, limit func() time.Duration) *ClientConnections {
	return &ClientConnections{clock: clock, limit: limit, slack: slack, idle: map[net.Conn]*idleConnection{}}
}

// StateChanged is the server's hook for the states of connections.
func (c *ClientConnections) StateChanged(conn net.Conn, state http.ConnState) {
	limit := c.limit()
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != http.StateIdle {
		delete(c.idle, conn)
		return
	}
	c.idle[conn] = &idleConnection{since: c.clock.Mono(), promised: limit}
}

// Sweep closes the connections that were idle for longer than promised. One on which something has come is left to the
// server, and none is closed the first time it is found overdue: after a standstill a request may just be being read.
func (c *ClientConnections) Sweep() {
	limit, now := c.limit(), c.clock.Mono()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, at := range c.idle {
		at.promised = max(at.promised, limit)
		if now-at.since <= at.promised+c.slack {
			continue
		}
		if !at.overdue {
			at.overdue = true
			continue
		}
		if quiet(conn) {
			_ = conn.Close()
			delete(c.idle, conn)
		}
	}
}
