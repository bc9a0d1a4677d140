package connection

import (
	"bufio"
	"net/http"
	"strconv"
	"sync"
)

// Request is an HTTP/1.1 request with its complete body.
type Request struct {
	Method string
	// Target is the path and query in the form in which they were received.
	Target string
	Host   string
	Header http.Header
	// Body is the body in one or more blocks.
	Body [][]byte
	// RequireLive restricts the request to a connection that is proven to be open. It is set for requests
	// that must not run more than once.
	RequireLive bool
}

// requestWriters pools the buffers for writing requests. A new buffer for each request would be a tenth of
// all memory that a request allocates.
var requestWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}

// writeTo writes the request in HTTP/1.1 format. Write errors are kept by the writer until it is flushed.
func (r *Request) writeTo(out *bufio.Writer) {
	writeAll(out, r.Method, " ", r.Target, " HTTP/1.1\r\n")
	writeField(out, "Host", r.Host)
	length := 0
	for _, block := range r.Body {
		length += len(block)
	}
	if length > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		writeField(out, "Content-Length", strconv.Itoa(length))
	}
	for name, values := range r.Header {
		if name == "Content-Length" || name == "Host" {
			continue
		}
		for _, value := range values {
			writeField(out, name, value)
		}
	}
	writeAll(out, "\r\n")
	for _, block := range r.Body {
		_, _ = out.Write(block)
	}
}

func writeField(out *bufio.Writer, name, value string) { writeAll(out, name, ": ", value, "\r\n") }

func writeAll(out *bufio.Writer, texts ...string) {
	for _, text := range texts {
		_, _ = out.WriteString(text)
	}
}
