package connection

import "net/http"

// Response is the head of a response, with its body still on the connection.
type Response struct {
	*http.Response
	pool       *Pool
	connection *connection
	address    string
	stop       func() bool
	ended      bool
}

// IsFirst tells that nothing came on the connection before this answer, so that it can only belong to this request.
func (r *Response) IsFirst() bool { return r.connection.passed == 0 && !r.connection.odd }

// DisableReuse lets the connection go after this answer.
func (r *Response) DisableReuse() { r.connection.odd = true }

// Finish ends a response whose body was read to its end.
func (r *Response) Finish() {
	if r.ended {
		return
	}
	r.ended = true
	if !r.stop() {
		_ = r.connection.conn.Close()
		return
	}
	r.pool.give(r.address, r.connection, r.Response)
}

// Abort ends a response whose body was not read to its end: its connection is closed.
func (r *Response) Abort() {
	if !r.ended {
		r.ended = true
		r.stop()
		_ = r.connection.conn.Close()
	}
}
