package connection

import (
	"bufio"
	"net/http"
	"strconv"
	"sync"
)

// Request is an HTTP/1.1 request with its whole body.
type Request struct {
	Method string
	// Target is the path and query as they were asked for.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// RequireLive asks for a connection that is certain to be open: the request may run once at most.
	RequireLive bool
}

// requestWriters holds buffers for requests that are being written: one of its own for each would be a tenth of all that
// a request allocates.
var requestWriters = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferBytes) }}

// writeTo writes the request as HTTP/1.1. An error stays with out until it is flushed.
func (m *Request) writeTo(out *bufio.Writer) {
	writeAll(out, m.Method, " ", m.Target, " HTTP/1.1\r\n")
	writeField(out, "Host", m.Host)
	if len(m.Body) > 0 || m.Method != http.MethodGet && m.Method != http.MethodHead {
		writeField(out, "Content-Length", strconv.Itoa(len(m.Body)))
	}
	for name, values := range m.Header {
		if name == "Content-Length" || name == "Host" {
			continue
		}
		for _, value := range values {
			writeField(out, name, value)
		}
	}
	writeAll(out, "\r\n")
	_, _ = out.Write(m.Body)
}

func writeField(out *bufio.Writer, name, value string) { writeAll(out, name, ": ", value, "\r\n") }

func writeAll(out *bufio.Writer, texts ...string) {
	for _, text := range texts {
		_, _ = out.WriteString(text)
	}
}
