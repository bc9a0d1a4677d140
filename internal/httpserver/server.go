package httpserver

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"curlewreach/base"
)

const (
	// headerWait is how long a client may take over a request's header, so
	// that silent connections don't pile up.
	headerWait = 10 * time.Second
	// idleConns is how many idle connections a client keeps to one process, so
	// that calls made at a time find one open.
	idleConns = 64
	// idleWait is how long an idle connection is kept, so that calls made every
	// few seconds find it open.
	idleWait = 30 * time.Second
)

// Server is an HTTP server and its listener.
type Server struct {
	server   *http.Server
	listener net.Listener
	tasks    base.Group
	inFlight atomic.Int64 // requests whose handler is at work
}

const (
	// calmLooks in a row that find no request in flight, lookPause apart, end a
	// server that quits.
	calmLooks = 3
	lookPause = 20 * time.Millisecond
)

// Serve listens at the address and serves it. Requests outlive the scope: a
// server ends by Shutdown or Close.
func Serve(s base.Scope, address string, handler http.Handler) (*Server, error) {
	return ServeWith(s, address, handler, func(*http.Server) {})
}

// ServeWith is Serve with a server that set changes before it serves.
func ServeWith(s base.Scope, address string, handler http.Handler, set func(*http.Server)) (*Server, error) {
	listener, err := s.Net.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen %s", address)
	}
	parent := s.Context
	server := &Server{listener: listener, server: &http.Server{
		Handler:           handler,
		BaseContext:       func(net.Listener) context.Context { return context.WithoutCancel(parent) },
		ReadHeaderTimeout: headerWait,
		ErrorLog:          s.Log.StandardLogger(nil),
	}}
	set(server.server)
	inner := server.server.Handler
	server.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.inFlight.Add(1)
		defer server.inFlight.Add(-1)
		inner.ServeHTTP(w, r)
	})
	server.tasks.Go(func() { _ = server.server.Serve(listener) })
	return server, nil
}

// Address returns the address that the server listens at, with the port that
// was chosen if port 0 was asked for.
func (d *Server) Address() string { return d.listener.Addr().String() }

// Shutdown stops listening and waits for the requests in flight until ctx ends,
// then breaks what is left.
func (d *Server) Shutdown(ctx context.Context) {
	_ = d.server.Shutdown(ctx)
	d.Close()
}

// CloseWhenIdle stops listening, waits until no request is in flight, at most until the
// scope ends, and closes all connections. Unlike Shutdown it doesn't wait for
// connections on which no request has come, which a client may have dialled in
// advance: Shutdown gives those five seconds.
func (d *Server) CloseWhenIdle(s base.Scope) {
	d.CloseListener()
	for calm := 0; calm < calmLooks && s.Err() == nil; calm++ {
		base.Await(s, lookPause)
		if d.inFlight.Load() > 0 {
			calm = -1
		}
	}
	d.Close()
}

// DisableKeepAlives makes the server close each connection after the answer in flight. New
// connections are still taken.
func (d *Server) DisableKeepAlives() { d.server.SetKeepAlivesEnabled(false) }

// CloseListener closes the listener and leaves the open connections.
func (d *Server) CloseListener() { _ = d.listener.Close() }

// Close closes the listener and all connections at once.
func (d *Server) Close() {
	_ = d.server.Close()
	d.tasks.Wait()
}

// NewClient returns an HTTP client for calls between the project's own processes
// over the scope's network.
func NewClient(s base.Scope) *http.Client { return NewClientWithDialTimeout(s, longestDial) }

// NewClientWithDialTimeout returns such a client that gives a connection up unless it comes up
// in time. A transport goes on dialling after the call that wanted the connection
// has ended: without such a bound each call to a dark machine leaves a dial behind.
func NewClientWithDialTimeout(s base.Scope, longest time.Duration) *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, longest)
		defer cancel()
		return s.Net.Dial(ctx, network, address)
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleWait,
		DisableCompression:  true,
	}}
}

// ReplyJSON answers with a status and a value as JSON.
func ReplyJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// HandlerOptions returns the connect option of our servers: answers under compressFrom
// are sent as they are.
func HandlerOptions() connect.Option {
	return connect.WithOptions(connect.WithCompressMinBytes(compressFrom))
}

// compressFrom is the size in bytes from which answers are compressed: below,
// the bytes saved are worth less than the time.
const compressFrom = 64 << 10

// longestDial is how long a connection may take to come up.
const longestDial = 3 * time.Second
