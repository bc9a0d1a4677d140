package dataplane

import (
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"curlewreach/internal/dataplane/connection"
)

// answer is an upstream's answer: its head, and its body as far as it has been read.
type answer struct {
	status int
	header http.Header
	body   []byte
	rest   io.Reader        // what is still on the connection; nil if all has been read
	size   int64            // of the whole body in bytes, also where HEAD leaves it out; -1 if unknown
	end    func(whole bool) // runs once the rest has been read, or given up
}

func (a *answer) drop() {
	if a != nil && a.end != nil {
		a.end(false)
		a.end = nil
	}
}

var errUnframed = errors.New("an answer without a certain end")

func framed(r *http.Response) bool { return r.ContentLength >= 0 || len(r.TransferEncoding) > 0 }

// take reads an answer: whole up to held bytes, the rest stays on the connection.
func take(r *connection.Response, held int64, end func(whole bool)) (*answer, error) {
	a := &answer{status: r.StatusCode, header: passing(r.Header), size: r.ContentLength}
	delete(a.header, "Content-Length")
	if r.Request.Method == http.MethodHead {
		r.Finish()
		end(true)
		return a, nil
	}
	if !framed(r.Response) {
		return nil, errUnframed
	}
	room := held
	if a.size >= 0 && a.size <= held {
		room = a.size + 1
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, room))
	if err != nil {
		return nil, err
	}
	a.body = body
	if a.size >= 0 && int64(len(body)) == a.size || int64(len(body)) < room {
		a.size = int64(len(body))
		r.Finish()
		end(true)
		return a, nil
	}
	a.rest = r.Body
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

// relay writes an answer on; one that breaks off leaves a torn connection, never a whole look.
func relay(w http.ResponseWriter, a *answer) (whole bool) {
	to := w.Header()
	for name, values := range a.header {
		to[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, given := a.header[name]; !given {
			to[name] = nil
		}
	}
	if a.size >= 0 && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		to.Set("Content-Length", strconv.FormatInt(a.size, 10))
	}
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil && len(a.body) > 0 {
		a.drop()
		return false
	}
	if a.rest == nil {
		return true
	}
	_, err := io.Copy(w, a.rest)
	if a.end != nil {
		a.end(err == nil)
		a.end = nil
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return true
}
