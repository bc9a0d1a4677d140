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

func startFlakyUpstream() (address string, seen *atomic.Int64, end func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	seen = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveFlaky(conn, seen)
		}
	}()
	return listener.Addr().String(), seen, func() { _ = listener.Close() }
}

// serveFlaky answers requests of /warm and breaks the connection at any other, which it counts.
func serveFlaky(conn net.Conn, seen *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if request.URL.Path != "/warm" {
			seen.Add(1)
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

var _ = ginkgo.Describe("the transport's silent retries", func() {
	ask := func(trip http.RoundTripper, address, path string) {
		request, err := http.NewRequest("GET", "http://"+address+path, nil)
		Expect(err).NotTo(HaveOccurred())
		if response, err := trip.RoundTrip(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	ginkgo.It("given an ordinary pooled transport, when a reused connection breaks, then the upstream sees the request twice", func() {
		address, seen, end := startFlakyUpstream()
		defer end()
		trip := &http.Transport{}
		ask(trip, address, "/warm")
		ask(trip, address, "/loan")
		Expect(seen.Load()).To(Equal(int64(2)))
	})
	ginkgo.It("given our one-shot connections, when a connection breaks, then the upstream sees it once", func() {
		address, seen, end := startFlakyUpstream()
		defer end()
		outward := newUpstreamTransport(base.RealNet())
		for _, path := range []string{"/warm", "/loan"} {
			conn, err := outward.NewClientConn(context.Background(), "http", address)
			Expect(err).NotTo(HaveOccurred())
			ask(conn, address, path)
			_ = conn.Close()
		}
		Expect(seen.Load()).To(Equal(int64(1)))
	})
})
