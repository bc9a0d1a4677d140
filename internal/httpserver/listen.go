package httpserver

import (
	"net"

	"github.com/pkg/errors"

	"curlewreach/base"
)

// listen opens a listener. An address that is taken, or not there yet, is waited for until the scope ends.
func listen(s base.Scope, address string) (net.Listener, error) {
	listener, err := base.Persist(s, "listen at "+address, func() (net.Listener, error) { return s.Net.Listen(address) })
	if err != nil {
		return nil, err
	}
	return acceptor{listener}, nil
}

// acceptor is a listener whose failures to accept a connection are all temporary, so that http.Server logs them and
// tries again. Of itself it stops serving, without a word, for those that package net doesn't count as temporary, such as
// a lack of memory for sockets.
type acceptor struct{ net.Listener }

// Accept waits for a connection. An error other than net.ErrClosed is temporary.
func (a acceptor) Accept() (net.Conn, error) {
	connection, err := a.Listener.Accept()
	if err == nil || errors.Is(err, net.ErrClosed) {
		return connection, err
	}
	return nil, acceptError{err}
}

// acceptError is a temporary failure to accept a connection.
type acceptError struct{ error }

// Timeout implements net.Error.
func (acceptError) Timeout() bool { return false }

// Temporary implements net.Error.
func (acceptError) Temporary() bool { return true }

// Unwrap returns the failure.
func (e acceptError) Unwrap() error { return e.error }
