package listednode

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
)

// startFlakyUpstream starts an upstream that closes connections as serveFlaky does. received counts the
// requests that it did not answer.
func startFlakyUpstream() (address string, received *atomic.Int64, stop func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	received = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveFlaky(conn, received)
		}
	}()
	return listener.Addr().String(), received, func() { _ = listener.Close() }
}

// serveFlaky answers requests of /warm. At any other request, which it counts, it closes the connection.
func serveFlaky(conn net.Conn, received *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path != "/warm" {
			received.Add(1)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

var _ = ginkgo.Describe("retries by the HTTP transport", func() {
	send := func(transport http.RoundTripper, address, path string) {
		request, err := http.NewRequest("GET", "http://"+address+path, nil)
		Expect(err).NotTo(HaveOccurred())
		if response, err := transport.RoundTrip(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	ginkgo.It("given a transport that reuses connections, when a reused connection breaks, then the upstream receives the request twice", func() {
		address, received, stop := startFlakyUpstream()
		defer stop()
		transport := &http.Transport{}
		send(transport, address, "/warm")
		send(transport, address, "/loan")
		Expect(received.Load()).To(Equal(int64(2)))
	})
	ginkgo.It("given a connection for each request, when it breaks, then the upstream receives the request once", func() {
		address, received, stop := startFlakyUpstream()
		defer stop()
		transport := newUpstreamTransport(base.RealNet())
		for _, path := range []string{"/warm", "/loan"} {
			conn, err := transport.NewClientConn(context.Background(), "http", address)
			Expect(err).NotTo(HaveOccurred())
			send(conn, address, path)
			_ = conn.Close()
		}
		Expect(received.Load()).To(Equal(int64(1)))
	})
})
