package forwarding

import (
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"curlewreach/internal/dataplane/connection"
)

// Response is the response of an upstream: its head, and its body as far as it has been read.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	Remaining io.Reader        // the part of the body still on the connection; nil if the body was read completely
	Size      int64            // of the whole body in bytes, also for HEAD, where the body is left out; -1 if unknown
	finish    func(whole bool) // called once the rest was read or given up
}

// Abort gives up the part of the body that is still on the connection.
func (r *Response) Abort() {
	if r != nil && r.finish != nil {
		r.finish(false)
		r.finish = nil
	}
}

// ErrUnframed means that the end of a response is not marked, so that a truncated one could not be told from
// a complete one.
var ErrUnframed = errors.New("response has neither a length nor a chunked encoding")

// hasFraming reports whether the end of a response is marked by its length or by its encoding.
func hasFraming(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// ReadResponse reads a response into memory up to maxBuffered bytes; the rest of a longer body stays on the
// connection. onEnd is called when the response has been read completely or given up.
func ReadResponse(r *connection.Response, maxBuffered int64, onEnd func(whole bool)) (*Response, error) {
	response := &Response{Status: r.StatusCode, Header: EndToEnd(r.Header), Size: r.ContentLength}
	delete(response.Header, "Content-Length")
	if r.Request.Method == http.MethodHead {
		r.Finish()
		onEnd(true)
		return response, nil
	}
	if !hasFraming(r.Response) {
		return nil, ErrUnframed
	}
	limit := maxBuffered
	if response.Size >= 0 && response.Size <= maxBuffered {
		limit = response.Size + 1
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit))
	if err != nil {
		return nil, err
	}
	response.Body = body
	if response.Size >= 0 && int64(len(body)) == response.Size || int64(len(body)) < limit {
		response.Size = int64(len(body))
		r.Finish()
		onEnd(true)
		return response, nil
	}
	response.Remaining = r.Body
	response.finish = func(whole bool) {
		if whole {
			r.Finish()
		} else {
			r.Abort()
		}
		onEnd(whole)
	}
	return response, nil
}

// Relay writes a response to the client. If the body breaks off, it aborts the client's connection, so that a
// truncated response never looks complete.
func Relay(w http.ResponseWriter, r *Response) (complete bool) {
	header := w.Header()
	for name, values := range r.Header {
		header[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, given := r.Header[name]; !given {
			header[name] = nil
		}
	}
	if r.Size >= 0 && r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.FormatInt(r.Size, 10))
	}
	w.WriteHeader(r.Status)
	if _, err := w.Write(r.Body); err != nil && len(r.Body) > 0 {
		r.Abort()
		return false
	}
	if r.Remaining == nil {
		return true
	}
	_, err := io.Copy(w, r.Remaining)
	if r.finish != nil {
		r.finish(err == nil)
		r.finish = nil
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}
