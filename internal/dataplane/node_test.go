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

var _ = ginkgo.Describe("a stop", func() {
	story("given a kept connection that is idle, when a request comes on it as the node is told to stop, then it is answered whole and the connection closes after it", func(s *stand) {
		seeds, _, _ := s.standControllers(1, 0)
		n := s.node(1, seeds)
		n.control.Adopt(aConfiguration(1), true)
		s.seat(n, 4, func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(30 * time.Millisecond)
			_, _ = w.Write([]byte("pages"))
		})
		scope := s.Scope(otherBox)
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
		Expect(response.Close).To(BeTrue(), "the visitor is told to go elsewhere")
	})

	story("given a visitor who leaves while its request runs, when the node notices, then it never writes an empty success", func(s *stand) {
		seeds, _, _ := s.standControllers(1, 0)
		n := s.node(1, seeds)
		n.control.Adopt(aConfiguration(1), true)
		s.seat(n, 4, func(http.ResponseWriter, *http.Request) { time.Sleep(2 * time.Second) })
		ctx, leave := context.WithCancel(context.Background())
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://books.example/search/x", nil)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set(forwarding.DefaultHeaderNames.RequestID, "one")
		request.Header.Set(forwarding.DefaultHeaderNames.TimeLeft, "3000")
		request.RequestURI = "/search/x"
		w := &noted{header: http.Header{}}
		s.Go(func() {
			time.Sleep(200 * time.Millisecond)
			leave()
		})
		Expect(func() { n.serveClient(w, request) }).To(PanicWith(http.ErrAbortHandler))
		Expect(w.wrote).To(BeFalse())
	})
})

type noted struct {
	header http.Header
	wrote  bool
}

func (w *noted) Header() http.Header         { return w.header }
func (w *noted) WriteHeader(int)             { w.wrote = true }
func (w *noted) Write(b []byte) (int, error) { w.wrote = true; return len(b), nil }
