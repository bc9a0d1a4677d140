package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/dataplane/forwarding"
)

// streamedBody is larger than what a node buffers before it relays an answer.
const streamedBody = 2 * upstreamAnswerBuffer

var _ = ginkgo.Describe("request cases, client to node", func() {
	var f *requestFixture
	ginkgo.BeforeEach(func() { f = newRequestFixture(false) })
	ginkgo.AfterEach(func() { f.close() })

	ran := func(id string) int { return f.first.executionsOf(id) + f.second.executionsOf(id) }
	expectClosed := func(c *client) {
		_ = c.conn.SetReadDeadline(time.Now().Add(clientTimeout))
		_, err := c.reader.ReadByte()
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(ContainSubstring("timeout")))
	}
	// expectNeverRan sends one more request before it checks, so that a request that runs late is noticed.
	expectNeverRan := func(id string) {
		Expect(f.connect().roundTrip("last", once, nil).status).To(Equal(http.StatusOK))
		Expect(ran(id)).To(BeZero())
	}

	for _, kind := range []string{once, repeatable, bulk} {
		ginkgo.It("half a head and a close: nothing runs, "+kind, func() {
			c := f.connect()
			_, _ = io.WriteString(c.conn, rawRequest("case", kind, nil)[:30])
			Expect(c.conn.CloseWrite()).To(Succeed())
			response := c.receive()
			Expect(response.err != nil || response.status == http.StatusBadRequest).To(BeTrue())
			expectNeverRan("case")
		})
		ginkgo.It("half a body and a close: nothing runs, the connection closes, "+kind, func() {
			c := f.connect()
			text := rawRequest("case", kind, make([]byte, 1000))
			_, _ = io.WriteString(c.conn, text[:len(text)-500])
			Expect(c.conn.CloseWrite()).To(Succeed())
			expectClosed(c)
			expectNeverRan("case")
		})
		ginkgo.It("half a body and a reset: nothing runs, "+kind, func() {
			c := f.connect()
			text := rawRequest("case", kind, make([]byte, 1000))
			_, _ = io.WriteString(c.conn, text[:len(text)-500])
			_ = c.conn.SetLinger(0)
			_ = c.conn.Close()
			expectNeverRan("case")
		})
		ginkgo.It("two requests at once on a connection: both are answered, in their order, "+kind, func() {
			c := f.connect()
			c.send("case", kind, nil)
			c.send("case-2", kind, nil)
			for _, id := range []string{"case", "case-2"} {
				response := c.receive()
				Expect(response.status).To(Equal(http.StatusOK))
				Expect(response.body).To(Equal(bodyOf(id, "first")))
			}
		})
		ginkgo.It("bytes after a request that are no request: the first is answered whole, then the connection closes, "+kind, func() {
			c := f.connect()
			_, _ = io.WriteString(c.conn, rawRequest("case", kind, []byte("whole"))+"and more\r\n\r\n")
			Expect(c.receive().body).To(Equal(bodyOf("case", "first")))
			response := c.receive()
			Expect(response.status).To(Equal(http.StatusBadRequest))
			expectClosed(c)
			Expect(ran("case")).To(Equal(1))
		})
		ginkgo.It("a chunked body: the upstream gets it whole, "+kind, func() {
			text := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: books.example\r\n%s: case\r\n%s: 3000\r\nTransfer-Encoding: chunked\r\n\r\n", kind, forwarding.DefaultHeaderNames.RequestID, forwarding.DefaultHeaderNames.TimeLeft)
			c := f.connect()
			_, _ = io.WriteString(c.conn, text+"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
			Expect(c.receive().status).To(Equal(http.StatusOK))
			Expect(f.first.headers["case"].Get("Content-Length")).To(Equal("7"))
		})
		ginkgo.It("Expect: 100-continue: it gets a 100, then the answer, "+kind, func() {
			c := f.connect()
			text := strings.Replace(rawRequest("case", kind, []byte("whole")), "\r\n\r\nwhole", "\r\nExpect: 100-continue\r\n\r\n", 1)
			_, _ = io.WriteString(c.conn, text)
			response, err := http.ReadResponse(c.reader, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusContinue))
			_, _ = io.WriteString(c.conn, "whole")
			Expect(c.receive().body).To(Equal(bodyOf("case", "first")))
			Expect(f.first.headers["case"].Get("Expect")).To(BeEmpty())
		})
		ginkgo.It("a client that disconnects while its request runs: the connection to the upstream closes, and there is no retry, "+kind, func() {
			began, ended := make(chan struct{}), make(chan struct{})
			f.first.setBehavior("case", func(t *transaction) bool {
				t.execute()
				close(began)
				defer close(ended)
				return t.hang()
			})
			c := f.connect()
			c.send("case", kind, nil)
			Eventually(began).Should(BeClosed())
			_ = c.conn.Close()
			Eventually(ended, routeTimeout/2).Should(BeClosed())
			Expect(ran("case")).To(Equal(1))
		})
		ginkgo.It("no time left: rejected at once, with a retry time, "+kind, func() {
			c := f.connect()
			_, _ = io.WriteString(c.conn, strings.Replace(rawRequest("case", kind, nil), forwarding.DefaultHeaderNames.TimeLeft+": "+forwarding.FormatMillis(clientTimeout), forwarding.DefaultHeaderNames.TimeLeft+": 0", 1))
			response := c.receive()
			Expect(response.status).To(Equal(http.StatusServiceUnavailable))
			Expect(response.retryAfter).To(BeNumerically(">", 0))
			Expect(ran("case")).To(BeZero())
		})
		ginkgo.It("the client's own deadline while the upstream is silent: a 504 at the deadline, "+kind, func() {
			f.first.setBehavior("case", func(t *transaction) bool { t.execute(); return t.hang() })
			left := routeTimeout / 4
			c := f.connect()
			began := time.Now()
			_, _ = io.WriteString(c.conn, strings.Replace(rawRequest("case", kind, nil), forwarding.DefaultHeaderNames.TimeLeft+": "+forwarding.FormatMillis(clientTimeout), forwarding.DefaultHeaderNames.TimeLeft+": "+forwarding.FormatMillis(left), 1))
			Expect(c.receive().status).To(Equal(http.StatusGatewayTimeout))
			Expect(time.Since(began)).To(BeNumerically("~", left, left/2))
		})
		ginkgo.It("no upstream that accepts it: rejected at once, with a retry time, "+kind, func() {
			notRunHeader := forwarding.DefaultHeaderNames.NotRun + ": full"
			f.first.setBehavior("case", rejectWith(http.StatusServiceUnavailable, notRunHeader))
			f.second.setBehavior("case", rejectWith(http.StatusServiceUnavailable, notRunHeader))
			began := time.Now()
			response := f.connect().roundTrip("case", kind, nil)
			Expect(response.status).To(Equal(http.StatusServiceUnavailable))
			Expect(response.retryAfter).To(BeNumerically(">", 0))
			Expect(time.Since(began)).To(BeNumerically("<", routeTimeout/4))
			Expect(ran("case")).To(BeZero())
		})
		ginkgo.It("a stream that is cut off midway: the client sees it broken, and it ran once, "+kind, func() {
			f.first.setBehavior("case", func(t *transaction) bool {
				t.execute()
				t.send(t.responseHead(http.StatusOK, t.id, streamedBody, sealHeader()) + strings.Repeat("x", streamedBody*3/4))
				return false
			})
			response := f.connect().roundTrip("case", kind, nil)
			Expect(response.status).To(Equal(http.StatusOK))
			Expect(response.err).To(HaveOccurred())
			Expect(ran("case")).To(Equal(1))
		})
		ginkgo.It("a complete stream: relayed whole, and the connection to the upstream is kept, "+kind, func() {
			f.first.setBehavior("case", func(t *transaction) bool {
				t.execute()
				t.send(t.responseHead(http.StatusOK, t.id, streamedBody, sealHeader()) + strings.Repeat("x", streamedBody))
				return true
			})
			response := f.connect().roundTrip("case", kind, nil)
			Expect(response.err).NotTo(HaveOccurred())
			Expect(response.body).To(HaveLen(streamedBody))
			Eventually(func() int {
				quiet, readable := f.clientNode.instanceConnections.CountIdle(f.first.address)
				return quiet + readable
			}).Should(Equal(1))
			Expect(f.connect().roundTrip("after", repeatable, nil).status).To(Equal(http.StatusOK))
			Expect(f.connectionAfter("case")).To(Equal(connectionKept))
		})
		ginkgo.It("SIGTERM while its request runs: answered whole, then the connection closes, "+kind, func() {
			began, finish := make(chan struct{}), make(chan struct{})
			f.first.setBehavior("case", func(t *transaction) bool {
				t.execute()
				close(began)
				<-finish
				t.send(t.response(http.StatusOK))
				return true
			})
			c := f.connect()
			c.send("case", kind, nil)
			Eventually(began).Should(BeClosed())
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				f.clientNode.Stop()
			}()
			Eventually(f.clientNode.Ready).Should(BeFalse())
			close(finish)
			response := c.receive()
			Expect(response.err).NotTo(HaveOccurred())
			Expect(response.body).To(Equal(bodyOf("case", "first")))
			Eventually(stopped, 2*time.Second).Should(BeClosed())
			expectClosed(c)
		})
		ginkgo.It("SIGTERM before a request on an idle connection: another upstream runs it, and the connection closes after it, "+kind, func() {
			c := f.connect()
			Expect(c.roundTrip("before", repeatable, nil).status).To(Equal(http.StatusOK))
			f.clientNode.shutdown.begin()
			f.clientNode.peers.SetOwnStatus(f.clientNode.nodeStatus())
			response := c.roundTrip("case", kind, nil)
			Expect(response.body).To(Equal(bodyOf("case", "second")))
			Expect(response.closes).To(BeTrue())
		})
		ginkgo.It("HEAD: the answer's head with the upstream's length, no body, and the connection stays open, "+kind, func() {
			f.first.setBehavior("case", func(t *transaction) bool {
				t.execute()
				t.send(t.responseHead(http.StatusOK, t.id, len(t.body()), sealHeader()))
				return true
			})
			c := f.connect()
			_, _ = io.WriteString(c.conn, strings.Replace(rawRequest("case", kind, nil), http.MethodGet, http.MethodHead, 1))
			response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodHead})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(response.Header.Get(forwarding.DefaultHeaderNames.Seal)).To(Equal(sealValue))
			Expect(response.ContentLength).To(BeEquivalentTo(len(bodyOf("case", "first"))))
			Expect(c.roundTrip("after", kind, nil).body).To(Equal(bodyOf("after", "first")))
			Expect(ran("case")).To(Equal(1))
		})
		ginkgo.It("trailers after a chunked body: the upstream gets the body whole, and the next request is separate, "+kind, func() {
			text := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: books.example\r\n%s: case\r\n%s: 3000\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n", kind, forwarding.DefaultHeaderNames.RequestID, forwarding.DefaultHeaderNames.TimeLeft)
			c := f.connect()
			_, _ = io.WriteString(c.conn, text+"3\r\nabc\r\n0\r\nX-Sum: 6\r\n\r\n")
			Expect(c.receive().status).To(Equal(http.StatusOK))
			Expect(f.first.headers["case"].Get("Content-Length")).To(Equal("3"))
			Expect(c.roundTrip("after", kind, nil).body).To(Equal(bodyOf("after", "first")))
		})
		ginkgo.It("a client that reads slowly: it gets the whole answer, "+kind, func() {
			f.first.setBehavior("case", func(t *transaction) bool {
				t.execute()
				t.send(t.responseHead(http.StatusOK, t.id, streamedBody, sealHeader()) + strings.Repeat("x", streamedBody))
				return true
			})
			c := f.connect()
			c.send("case", kind, nil)
			time.Sleep(routeTimeout / 2)
			response := c.receive()
			Expect(response.err).NotTo(HaveOccurred())
			Expect(response.body).To(HaveLen(streamedBody))
		})
		ginkgo.It("a reset by the client while its answer is written: its slot is free again, and there is no retry, "+kind, func() {
			f.first.setBehavior("case", func(t *transaction) bool {
				t.execute()
				t.send(t.responseHead(http.StatusOK, t.id, 4*streamedBody, sealHeader()) + strings.Repeat("x", 4*streamedBody))
				return true
			})
			c := f.connect()
			c.send("case", kind, nil)
			_, err := c.reader.Peek(1)
			Expect(err).NotTo(HaveOccurred())
			_ = c.conn.SetLinger(0)
			_ = c.conn.Close()
			_, queue, _ := f.clientNode.instance.Current()
			Eventually(func() int { return queue.Load().InFlight }, routeTimeout).Should(BeZero())
			Expect(f.connect().roundTrip("after", kind, nil).body).To(Equal(bodyOf("after", "first")))
			Expect(ran("case")).To(Equal(1))
		})
		ginkgo.It("an upstream killed and back on the same address between two requests: the next runs once, on a new connection, "+kind, func() {
			c := f.connect()
			Expect(c.roundTrip("before", kind, nil).body).To(Equal(bodyOf("before", "first")))
			f.first.close()
			f.first = newStubServer("first", f.first.address, false)
			response := c.roundTrip("case", kind, nil)
			Expect(response.status).To(Equal(http.StatusOK))
			Expect(response.body).To(Equal(bodyOf("case", "first")))
			Expect(ran("case")).To(Equal(1))
		})
		ginkgo.It("a kill while its request runs: the connection closes with no answer, and it ran once, "+kind, func() {
			began := make(chan struct{})
			f.first.setBehavior("case", func(t *transaction) bool {
				t.execute()
				close(began)
				return t.hang()
			})
			c := f.connect()
			c.send("case", kind, nil)
			Eventually(began).Should(BeClosed())
			f.clientNode.Kill()
			expectClosed(c)
			Expect(ran("case")).To(Equal(1))
		})
	}

	for _, kind := range []string{once, repeatable, bulk} {
		ginkgo.It("a stream from a peer that is cut off midway: the client sees it broken, and it ran once, "+kind, func() {
			f := newRequestFixture(true)
			defer f.close()
			f.first.setBehavior("case", func(t *transaction) bool {
				t.execute()
				t.send(t.responseHead(http.StatusOK, t.id, streamedBody, sealHeader()) + strings.Repeat("x", streamedBody*3/4))
				return false
			})
			response := f.connect().roundTrip("case", kind, nil)
			Expect(response.status).To(Equal(http.StatusOK))
			Expect(response.err).To(HaveOccurred())
			Expect(f.first.executionsOf("case") + f.second.executionsOf("case")).To(Equal(1))
		})
	}

	ginkgo.It("many clients that disconnect while their requests run: each upstream connection closes long before the route's timeout", func() {
		for i := range 200 {
			id := fmt.Sprint("case-", i)
			began, ended := make(chan struct{}), make(chan struct{})
			f.first.setBehavior(id, func(t *transaction) bool {
				t.execute()
				close(began)
				defer close(ended)
				return t.hang()
			})
			c := f.connect()
			c.send(id, once, nil)
			Eventually(began).Should(BeClosed())
			_ = c.conn.Close()
			Eventually(ended, routeTimeout/2).Should(BeClosed())
		}
	})
	ginkgo.It("a large failure that isn't relayed, as a second upstream served: its slot and its connection are free again", func() {
		f.first.setBehavior("case", func(t *transaction) bool {
			t.execute()
			t.send(t.responseHead(http.StatusInternalServerError, t.id, streamedBody, sealHeader()) + strings.Repeat("x", streamedBody))
			return t.hang()
		})
		Expect(f.connect().roundTrip("case", repeatable, nil).body).To(Equal(bodyOf("case", "second")))
		_, queue, _ := f.clientNode.instance.Current()
		Eventually(func() int { return queue.Load().InFlight }).Should(BeZero())
	})

	ginkgo.It("no matching route: 404, and the connection stays open", func() {
		c := f.connect()
		Expect(c.roundTrip("case", "unknown", nil).status).To(Equal(http.StatusNotFound))
		Expect(c.roundTrip("after", once, nil).status).To(Equal(http.StatusOK))
	})
	ginkgo.It("no ID: 400, and nothing runs", func() {
		c := f.connect()
		_, _ = io.WriteString(c.conn, strings.Replace(rawRequest("case", once, nil), forwarding.DefaultHeaderNames.RequestID+": case\r\n", "", 1))
		Expect(c.receive().status).To(Equal(http.StatusBadRequest))
		Expect(ran("")).To(BeZero())
	})
	ginkgo.It("a peer that disconnects: the node beside the upstream closes the connection to it", func() {
		began, ended := make(chan struct{}), make(chan struct{})
		f.second.setBehavior("case", func(t *transaction) bool {
			t.execute()
			close(began)
			defer close(ended)
			return t.hang()
		})
		conn, err := net.Dial("tcp", f.peerNode.params.Inward)
		Expect(err).NotTo(HaveOccurred())
		c := &client{conn.(*net.TCPConn), bufio.NewReader(conn)}
		metadata := forwarding.Metadata{Service: books, Route: once, Serial: 1, WantedStartIn: time.Second, LatestStartIn: time.Second, AtMostOnce: true}
		_, _ = io.WriteString(c.conn, strings.Replace(rawRequest("case", once, nil), "\r\n\r\n", "\r\n"+forwarding.MetadataHeader+": "+metadata.String()+"\r\n\r\n", 1))
		Eventually(began).Should(BeClosed())
		_ = c.conn.Close()
		Eventually(ended).Should(BeClosed())
	})
})
