package connection

import "net/http"

// Response is the head of a response whose body is still on the connection.
type Response struct {
	*http.Response
	pool       *Pool
	connection *connection
	address    string
	stop       func() bool
	ended      bool
}

// IsFirst reports whether nothing was read on the connection before this response, so that it can only belong
// to this request.
func (r *Response) IsFirst() bool { return r.connection.responses == 0 && !r.connection.tainted }

// DisableReuse closes the connection after this response instead of returning it to the pool.
func (r *Response) DisableReuse() { r.connection.tainted = true }

// Finish ends a response whose body was read completely.
func (r *Response) Finish() {
	if r.ended {
		return
	}
	r.ended = true
	if !r.stop() {
		_ = r.connection.conn.Close()
		return
	}
	r.pool.put(r.address, r.connection, r.Response)
}

// Abort ends a response whose body was not read completely; its connection is closed.
func (r *Response) Abort() {
	if !r.ended {
		r.ended = true
		r.stop()
		_ = r.connection.conn.Close()
	}
}
