package base

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

type Door struct {
	server   *http.Server
	listener net.Listener
	crew     Crew
}

func Open(s Scope, address string, handler http.Handler) (*Door, error) {
	return OpenWith(s, address, handler, func(*http.Server) {})
}

// OpenWith opens a door whose server is set further before it serves.
func OpenWith(s Scope, address string, handler http.Handler, set func(*http.Server)) (*Door, error) {
	listener, err := s.Net.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen %s", address)
	}
	base := s.Context
	door := &Door{listener: listener, server: &http.Server{
		Handler:           handler,
		BaseContext:       func(net.Listener) context.Context { return context.WithoutCancel(base) },
		ReadHeaderTimeout: 10 * time.Second,
		ErrorLog:          s.Log.StandardLogger(nil),
	}}
	set(door.server)
	door.crew.Go(func() { _ = door.server.Serve(listener) })
	return door, nil
}

func (d *Door) Address() string { return d.listener.Addr().String() }

func (d *Door) Drain(ctx context.Context) {
	_ = d.server.Shutdown(ctx)
	d.Slam()
}

func (d *Door) Wind() { d.server.SetKeepAlivesEnabled(false) }

func (d *Door) Fold() { _ = d.listener.Close() }

func (d *Door) Slam() {
	_ = d.server.Close()
	d.crew.Wait()
}

func Wire(s Scope) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         s.Net.Dial,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     30 * time.Second,
		DisableCompression:  true,
	}}
}

func Reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func Plain() connect.Option { return connect.WithOptions(connect.WithCompressMinBytes(compressFrom)) }

const compressFrom = 64 << 10
