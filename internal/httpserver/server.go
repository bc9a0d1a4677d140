package httpserver

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	"curlewreach/base"
)

const (
	// headerTimeout is the time a client has to send a request's header. It keeps
	// silent connections from accumulating.
	headerTimeout = 10 * time.Second
	// maxIdleConns is the number of idle connections that a client keeps to one
	// process, so that concurrent calls find an open one.
	maxIdleConns = 64
	// idleTimeout is how long a client keeps an idle connection, so that calls made
	// every few seconds find it open.
	idleTimeout = 30 * time.Second
)

// Server is an HTTP server with its listener.
type Server struct {
	server   *http.Server
	listener net.Listener
	tasks    base.Group
	inFlight atomic.Int64 // requests whose handler is running
}

const (
	// CloseWhenIdle closes a server after idleChecks consecutive checks,
	// idleCheckInterval apart, that find no request in flight.
	idleChecks        = 3
	idleCheckInterval = 20 * time.Millisecond
)

// Serve listens at the address, as soon as it is free, and serves requests with the
// handler. It fails only if the scope ends before. The end of the scope cancels neither
// the server nor its requests: it runs until Shutdown, CloseWhenIdle or Close.
func Serve(s base.Scope, address string, handler http.Handler) (*Server, error) {
	return ServeWith(s, address, handler, func(*http.Server) {})
}

// ServeWith is like Serve, but calls configure on the HTTP server before it serves.
func ServeWith(s base.Scope, address string, handler http.Handler, configure func(*http.Server)) (*Server, error) {
	listener, err := listen(s, address)
	if err != nil {
		return nil, err
	}
	parent := s.Context
	server := &Server{listener: listener, server: &http.Server{
		Handler:           handler,
		BaseContext:       func(net.Listener) context.Context { return context.WithoutCancel(parent) },
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          s.Log.StandardLogger(nil),
	}}
	configure(server.server)
	inner := server.server.Handler
	server.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		server.inFlight.Add(1)
		defer server.inFlight.Add(-1)
		inner.ServeHTTP(w, r)
	})
	server.tasks.Go(func() { _ = server.server.Serve(listener) })
	return server, nil
}

// Address returns the address that the server listens at, with the actual port if
// port 0 was requested.
func (srv *Server) Address() string { return srv.listener.Addr().String() }

// Shutdown stops listening, waits for the requests in flight until ctx ends, and
// then closes all connections.
func (srv *Server) Shutdown(ctx context.Context) {
	_ = srv.server.Shutdown(ctx)
	srv.Close()
}

// CloseWhenIdle stops listening, waits until no request is in flight, at most until
// the scope ends, and closes all connections. Unlike Shutdown it doesn't wait for
// connections without a request yet, which a client may have dialled in advance:
// Shutdown waits five seconds for those.
func (srv *Server) CloseWhenIdle(s base.Scope) {
	srv.CloseListener()
	for idle := 0; idle < idleChecks && s.Err() == nil; idle++ {
		base.Await(s, idleCheckInterval)
		if srv.inFlight.Load() > 0 {
			idle = -1
		}
	}
	srv.Close()
}

// DisableKeepAlives makes the server close each connection after its current
// response. New connections are still accepted.
func (srv *Server) DisableKeepAlives() { srv.server.SetKeepAlivesEnabled(false) }

// CloseListener closes the listener. Open connections stay open.
func (srv *Server) CloseListener() { _ = srv.listener.Close() }

// Close closes the listener and all connections at once.
func (srv *Server) Close() {
	_ = srv.server.Close()
	srv.tasks.Wait()
}

// NewClient returns an HTTP client for calls between processes of the mesh over the
// scope's network.
func NewClient(s base.Scope) *http.Client { return NewClientWithDialTimeout(s, defaultDialTimeout) }

// NewClientWithDialTimeout is like NewClient with a timeout for establishing a
// connection. A transport keeps dialling after the call that needed the connection
// has ended; without the timeout each call to an unreachable machine would leave a
// pending dial behind.
func NewClientWithDialTimeout(s base.Scope, dialTimeout time.Duration) *http.Client {
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return s.Net.Dial(ctx, network, address)
	}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// ReplyJSON writes a response with the status and the body encoded as JSON.
func ReplyJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// HandlerOptions returns the connect option for all handlers: responses smaller than
// minCompressBytes are not compressed.
func HandlerOptions() connect.Option {
	return connect.WithOptions(connect.WithCompressMinBytes(minCompressBytes))
}

// minCompressBytes is the size in bytes from which responses are compressed. For
// smaller ones the bytes saved are worth less than the time spent.
const minCompressBytes = 64 << 10

// defaultDialTimeout is the time that NewClient allows for establishing a connection.
const defaultDialTimeout = 3 * time.Second
