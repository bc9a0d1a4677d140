package dataplane

import (
	"bufio"
	"context"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/dataplane/forwarding"
)

var _ = ginkgo.Describe("a stopping node and a client that disconnects", func() {
	itSimulated("given an idle keep-alive connection, when a request arrives on it while the node begins to stop, then it is answered whole and the connection closes after it", func(s *testbed) {
		seeds, _, _ := s.startControllers(1, 0)
		n := s.startNode(1, seeds)
		n.controlClient.Adopt(testConfiguration(1), true)
		s.addUpstream(n, 4, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(30 * time.Millisecond)
			_, _ = w.Write([]byte("pages"))
		})
		scope := s.Scope(clientIP)
		conn, err := scope.Net.Dial(context.Background(), "tcp", n.params.Outward)
		Expect(err).NotTo(HaveOccurred())
		in := bufio.NewReader(conn)
		ask := func(id string) *http.Response {
			_, err := conn.Write([]byte("GET /search/x HTTP/1.1\r\nHost: books.example\r\n" + forwarding.DefaultHeaderNames.RequestID + ": " + id + "\r\n" + forwarding.DefaultHeaderNames.TimeLeft + ": 3000\r\n\r\n"))
			Expect(err).NotTo(HaveOccurred())
			response, err := http.ReadResponse(in, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			return response
		}
		Expect(ask("one").StatusCode).To(Equal(200))
		time.Sleep(100 * time.Millisecond)
		s.Go(n.Stop)
		time.Sleep(time.Millisecond)
		response := ask("two")
		Expect(response.StatusCode).To(Equal(200))
		Expect(response.Close).To(BeTrue(), "Connection: close tells the client to reconnect elsewhere")
	})

	itSimulated("given a client that disconnects while its request runs, when the node notices, then it doesn't write an empty 200", func(s *testbed) {
		seeds, _, _ := s.startControllers(1, 0)
		n := s.startNode(1, seeds)
		n.controlClient.Adopt(testConfiguration(1), true)
		s.addUpstream(n, 4, func(http.ResponseWriter, *http.Request) { time.Sleep(2 * time.Second) })
		ctx, cancel := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://books.example/search/x", nil)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set(forwarding.DefaultHeaderNames.RequestID, "one")
		request.Header.Set(forwarding.DefaultHeaderNames.TimeLeft, "3000")
		request.RequestURI = "/search/x"
		w := &recordingWriter{header: http.Header{}}
		s.Go(func() {
			time.Sleep(200 * time.Millisecond)
			cancel()
		})
		Expect(func() { n.serveClient(w, request) }).To(PanicWith(http.ErrAbortHandler))
		Expect(w.wrote).To(BeFalse())
	})
})

// recordingWriter is a response writer that records whether anything was written.
type recordingWriter struct {
	header http.Header
	wrote  bool
}

func (w *recordingWriter) Header() http.Header         { return w.header }
func (w *recordingWriter) WriteHeader(int)             { w.wrote = true }
func (w *recordingWriter) Write(b []byte) (int, error) { w.wrote = true; return len(b), nil }
