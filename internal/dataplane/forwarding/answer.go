package forwarding

import (
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"curlewreach/internal/dataplane/connection"
)

// Response is an upstream's answer: its head, and its body as far as it has been read.
type Response struct {
	Status    int
	Header    http.Header
	Body      []byte
	Remaining io.Reader        // what is still on the connection; nil if all has been read
	Size      int64            // of the whole body in bytes, also where HEAD leaves it out; -1 if unknown
	end       func(whole bool) // runs once the rest has been read, or given up
}

// Abort gives up what is still on the connection.
func (a *Response) Abort() {
	if a != nil && a.end != nil {
		a.end(false)
		a.end = nil
	}
}

// ErrUnframed means: where the answer ends is not certain, so that it may not be whole.
var ErrUnframed = errors.New("an answer without a certain end")

// framed tells whether the end of an answer is certain.
func framed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// ReadResponse reads an answer: whole up to held bytes, the rest stays on the connection.
func ReadResponse(r *connection.Response, held int64, end func(whole bool)) (*Response, error) {
	a := &Response{Status: r.StatusCode, Header: EndToEnd(r.Header), Size: r.ContentLength}
	delete(a.Header, "Content-Length")
	if r.Request.Method == http.MethodHead {
		r.Finish()
		end(true)
		return a, nil
	}
	if !framed(r.Response) {
		return nil, ErrUnframed
	}
	room := held
	if a.Size >= 0 && a.Size <= held {
		room = a.Size + 1
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, room))
	if err != nil {
		return nil, err
	}
	a.Body = body
	if a.Size >= 0 && int64(len(body)) == a.Size || int64(len(body)) < room {
		a.Size = int64(len(body))
		r.Finish()
		end(true)
		return a, nil
	}
	a.Remaining = r.Body
	a.end = func(whole bool) {
		if whole {
			r.Finish()
		} else {
			r.Abort()
		}
		end(whole)
	}
	return a, nil
}

// Relay writes an answer on; one that breaks off leaves a broken connection: it never looks whole.
func Relay(w http.ResponseWriter, a *Response) (whole bool) {
	to := w.Header()
	for name, values := range a.Header {
		to[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, given := a.Header[name]; !given {
			to[name] = nil
		}
	}
	if a.Size >= 0 && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		to.Set("Content-Length", strconv.FormatInt(a.Size, 10))
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil && len(a.Body) > 0 {
		a.Abort()
		return false
	}
	if a.Remaining == nil {
		return true
	}
	_, err := io.Copy(w, a.Remaining)
	if a.end != nil {
		a.end(err == nil)
		a.end = nil
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}
