package connection

import (
	"net"
	"net/http"
	"sync"
	"time"

	"curlewreach/base"
)

// ClientConnections closes idle connections of clients. A client may rely on the longest idle limit that was
// in force since its connection became idle: a lowered limit does not apply to connections already idle, a
// raised one does. The grace period covers a new limit that has not reached this node yet.
type ClientConnections struct {
	clock     base.Clock
	idleLimit func() time.Duration
	grace     time.Duration
	mu        sync.Mutex
	idle      map[net.Conn]*idleConnection
	// unused holds the connections on which no request has begun, active those on which one has and is not answered.
	unused, active map[net.Conn]bool
}

// idleConnection is the state of an idle client connection.
type idleConnection struct {
	since        time.Duration
	promisedIdle time.Duration // the idle time that the client may rely on
	overdue      bool          // a sweep has found the connection idle for longer
}

// NewClientConnections returns a set without connections. idleLimit returns the idle limit of the newest
// configuration.
func NewClientConnections(clock base.Clock, grace time.Duration, idleLimit func() time.Duration) *ClientConnections {
	return &ClientConnections{clock: clock, idleLimit: idleLimit, grace: grace, idle: map[net.Conn]*idleConnection{}, unused: map[net.Conn]bool{}, active: map[net.Conn]bool{}}
}

// StateChanged is called by the HTTP server when a connection changes state (http.Server.ConnState).
func (c *ClientConnections) StateChanged(conn net.Conn, state http.ConnState) {
	limit := c.idleLimit()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idle, conn)
	delete(c.unused, conn)
	delete(c.active, conn)
	switch state {
	case http.StateNew:
		c.unused[conn] = true
	case http.StateActive:
		c.active[conn] = true
	case http.StateIdle:
		c.idle[conn] = &idleConnection{since: c.clock.Mono(), promisedIdle: limit}
	case http.StateClosed, http.StateHijacked:
	}
}

// Quiescent reports whether no request has begun to arrive without having been answered, those included of which
// nothing has been read yet. A server that closes its connections then cuts no request that it has got.
func (c *ClientConnections) Quiescent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.active) > 0 {
		return false
	}
	for conn := range c.idle {
		if !quiet(conn) {
			return false
		}
	}
	for conn := range c.unused {
		if !quiet(conn) {
			return false
		}
	}
	return true
}

// Sweep closes connections that were idle for longer than promised. A connection with data to read is left to
// the server. None is closed the first time it is found overdue, because after a pause of the process the
// server may just be reading a request from it.
func (c *ClientConnections) Sweep() {
	limit, now := c.idleLimit(), c.clock.Mono()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.idle {
		state.promisedIdle = max(state.promisedIdle, limit)
		if now-state.since <= state.promisedIdle+c.grace {
			continue
		}
		if !state.overdue {
			state.overdue = true
			continue
		}
		if quiet(conn) {
			_ = conn.Close()
			delete(c.idle, conn)
		}
	}
}
