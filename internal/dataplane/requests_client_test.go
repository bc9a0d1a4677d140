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

// streamedBody is larger than what a node holds back before it passes an answer on.
const streamedBody = 2 * heldFromUpstream

var _ = ginkgo.Describe("the table of requests, client to node", func() {
	var p *pair
	ginkgo.BeforeEach(func() { p = newPair(false) })
	ginkgo.AfterEach(func() { p.close() })

	ran := func(id string) int { return p.first.count(id) + p.second.count(id) }
	closed := func(c *client) {
		_ = c.conn.SetReadDeadline(time.Now().Add(clientTime))
		_, err := c.in.ReadByte()
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(MatchError(ContainSubstring("timeout")))
	}
	// servedStill shows that a request that never ran didn't only not run yet.
	servedStill := func(id string) {
		Expect(p.client().ask("last", once, nil).status).To(Equal(http.StatusOK))
		Expect(ran(id)).To(BeZero())
	}

	for _, kind := range []string{once, repeatable, bulk} {
		ginkgo.It("half a head and a close: nothing runs, "+kind, func() {
			c := p.client()
			_, _ = io.WriteString(c.conn, requestText("row", kind, nil)[:30])
			Expect(c.conn.CloseWrite()).To(Succeed())
			g := c.receive()
			Expect(g.err != nil || g.status == http.StatusBadRequest).To(BeTrue())
			servedStill("row")
		})
		ginkgo.It("half a body and a close: nothing runs, the connection closes, "+kind, func() {
			c := p.client()
			text := requestText("row", kind, make([]byte, 1000))
			_, _ = io.WriteString(c.conn, text[:len(text)-500])
			Expect(c.conn.CloseWrite()).To(Succeed())
			closed(c)
			servedStill("row")
		})
		ginkgo.It("half a body and a reset: nothing runs, "+kind, func() {
			c := p.client()
			text := requestText("row", kind, make([]byte, 1000))
			_, _ = io.WriteString(c.conn, text[:len(text)-500])
			_ = c.conn.SetLinger(0)
			_ = c.conn.Close()
			servedStill("row")
		})
		ginkgo.It("two requests at once on a connection: both are answered, in their order, "+kind, func() {
			c := p.client()
			c.send("row", kind, nil)
			c.send("row-2", kind, nil)
			for _, id := range []string{"row", "row-2"} {
				g := c.receive()
				Expect(g.status).To(Equal(http.StatusOK))
				Expect(g.body).To(Equal(bodyOf(id, "first")))
			}
		})
		ginkgo.It("bytes after a request that are none: it is answered whole, then the connection closes, "+kind, func() {
			c := p.client()
			_, _ = io.WriteString(c.conn, requestText("row", kind, []byte("whole"))+"and more\r\n\r\n")
			Expect(c.receive().body).To(Equal(bodyOf("row", "first")))
			g := c.receive()
			Expect(g.status).To(Equal(http.StatusBadRequest))
			closed(c)
			Expect(ran("row")).To(Equal(1))
		})
		ginkgo.It("a body in chunks: the upstream gets it whole, "+kind, func() {
			text := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: books.example\r\n%s: row\r\n%s: 3000\r\nTransfer-Encoding: chunked\r\n\r\n", kind, forwarding.DefaultHeaderNames.RequestID, forwarding.DefaultHeaderNames.TimeLeft)
			c := p.client()
			_, _ = io.WriteString(c.conn, text+"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n")
			Expect(c.receive().status).To(Equal(http.StatusOK))
			Expect(p.first.headers["row"].Get("Content-Length")).To(Equal("7"))
		})
		ginkgo.It("Expect: 100-continue: told to go on, then answered, "+kind, func() {
			c := p.client()
			text := strings.Replace(requestText("row", kind, []byte("whole")), "\r\n\r\nwhole", "\r\nExpect: 100-continue\r\n\r\n", 1)
			_, _ = io.WriteString(c.conn, text)
			response, err := http.ReadResponse(c.in, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusContinue))
			_, _ = io.WriteString(c.conn, "whole")
			Expect(c.receive().body).To(Equal(bodyOf("row", "first")))
			Expect(p.first.headers["row"].Get("Expect")).To(BeEmpty())
		})
		ginkgo.It("a client that leaves while its request runs: the upstream's connection closes, nothing else is asked, "+kind, func() {
			began, ended := make(chan struct{}), make(chan struct{})
			p.first.on("row", func(t *turn) bool {
				t.run()
				close(began)
				defer close(ended)
				return t.wait()
			})
			c := p.client()
			c.send("row", kind, nil)
			Eventually(began).Should(BeClosed())
			_ = c.conn.Close()
			Eventually(ended, routeCutoff/2).Should(BeClosed())
			Expect(ran("row")).To(Equal(1))
		})
		ginkgo.It("no time left: refused at once, with when to come back, "+kind, func() {
			c := p.client()
			_, _ = io.WriteString(c.conn, strings.Replace(requestText("row", kind, nil), forwarding.DefaultHeaderNames.TimeLeft+": "+forwarding.FormatMillis(clientTime), forwarding.DefaultHeaderNames.TimeLeft+": 0", 1))
			g := c.receive()
			Expect(g.status).To(Equal(http.StatusServiceUnavailable))
			Expect(g.again).To(BeNumerically(">", 0))
			Expect(ran("row")).To(BeZero())
		})
		ginkgo.It("the client's own deadline while its upstream is silent: told at the deadline that nothing is known, "+kind, func() {
			p.first.on("row", func(t *turn) bool { t.run(); return t.wait() })
			left := routeCutoff / 4
			c := p.client()
			began := time.Now()
			_, _ = io.WriteString(c.conn, strings.Replace(requestText("row", kind, nil), forwarding.DefaultHeaderNames.TimeLeft+": "+forwarding.FormatMillis(clientTime), forwarding.DefaultHeaderNames.TimeLeft+": "+forwarding.FormatMillis(left), 1))
			Expect(c.receive().status).To(Equal(http.StatusGatewayTimeout))
			Expect(time.Since(began)).To(BeNumerically("~", left, left/2))
		})
		ginkgo.It("no upstream that takes it: refused at once, with when to come back, "+kind, func() {
			mark := forwarding.DefaultHeaderNames.NotRun + ": full"
			p.first.on("row", turnsAway(http.StatusServiceUnavailable, mark))
			p.second.on("row", turnsAway(http.StatusServiceUnavailable, mark))
			began := time.Now()
			g := p.client().ask("row", kind, nil)
			Expect(g.status).To(Equal(http.StatusServiceUnavailable))
			Expect(g.again).To(BeNumerically(">", 0))
			Expect(time.Since(began)).To(BeNumerically("<", routeCutoff/4))
			Expect(ran("row")).To(BeZero())
		})
		ginkgo.It("a stream that breaks off midway: the client sees it broken, and it ran once, "+kind, func() {
			p.first.on("row", func(t *turn) bool {
				t.run()
				t.write(t.head(http.StatusOK, t.id, streamedBody, sealLine()) + strings.Repeat("x", streamedBody*3/4))
				return false
			})
			g := p.client().ask("row", kind, nil)
			Expect(g.status).To(Equal(http.StatusOK))
			Expect(g.err).To(HaveOccurred())
			Expect(ran("row")).To(Equal(1))
		})
		ginkgo.It("a stream that is whole: passed on whole, and the upstream's connection kept, "+kind, func() {
			p.first.on("row", func(t *turn) bool {
				t.run()
				t.write(t.head(http.StatusOK, t.id, streamedBody, sealLine()) + strings.Repeat("x", streamedBody))
				return true
			})
			g := p.client().ask("row", kind, nil)
			Expect(g.err).NotTo(HaveOccurred())
			Expect(g.body).To(HaveLen(streamedBody))
			Eventually(func() int {
				silent, spoken := p.near.instanceConnections.CountIdle(p.first.address)
				return silent + spoken
			}).Should(Equal(1))
			Expect(p.client().ask("after", repeatable, nil).status).To(Equal(http.StatusOK))
			Expect(p.came("row")).To(Equal(kept))
		})
		ginkgo.It("SIGTERM while its request runs: answered whole, and told to go elsewhere, "+kind, func() {
			began, finish := make(chan struct{}), make(chan struct{})
			p.first.on("row", func(t *turn) bool {
				t.run()
				close(began)
				<-finish
				t.write(t.answer(http.StatusOK))
				return true
			})
			c := p.client()
			c.send("row", kind, nil)
			Eventually(began).Should(BeClosed())
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				p.near.Stop()
			}()
			Eventually(p.near.Ready).Should(BeFalse())
			close(finish)
			g := c.receive()
			Expect(g.err).NotTo(HaveOccurred())
			Expect(g.body).To(Equal(bodyOf("row", "first")))
			Eventually(stopped, 2*time.Second).Should(BeClosed())
			closed(c)
		})
		ginkgo.It("SIGTERM before a request on an idle connection: another node runs it, and the connection closes after it, "+kind, func() {
			c := p.client()
			Expect(c.ask("before", repeatable, nil).status).To(Equal(http.StatusOK))
			p.near.stopping.Store(true)
			p.near.peers.SetOwnStatus(p.near.nodeStatus())
			g := c.ask("row", kind, nil)
			Expect(g.body).To(Equal(bodyOf("row", "second")))
			Expect(g.closes).To(BeTrue())
		})
		ginkgo.It("HEAD: the answer's head with the upstream's length, no body, and the connection stays, "+kind, func() {
			p.first.on("row", func(t *turn) bool {
				t.run()
				t.write(t.head(http.StatusOK, t.id, len(t.body()), sealLine()))
				return true
			})
			c := p.client()
			_, _ = io.WriteString(c.conn, strings.Replace(requestText("row", kind, nil), http.MethodGet, http.MethodHead, 1))
			response, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodHead})
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(response.Header.Get(forwarding.DefaultHeaderNames.Seal)).To(Equal(sealText))
			Expect(response.ContentLength).To(BeEquivalentTo(len(bodyOf("row", "first"))))
			Expect(c.ask("after", kind, nil).body).To(Equal(bodyOf("after", "first")))
			Expect(ran("row")).To(Equal(1))
		})
		ginkgo.It("trailers after a body in chunks: the upstream gets the body whole, and the next request is its own, "+kind, func() {
			text := fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: books.example\r\n%s: row\r\n%s: 3000\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n", kind, forwarding.DefaultHeaderNames.RequestID, forwarding.DefaultHeaderNames.TimeLeft)
			c := p.client()
			_, _ = io.WriteString(c.conn, text+"3\r\nabc\r\n0\r\nX-Sum: 6\r\n\r\n")
			Expect(c.receive().status).To(Equal(http.StatusOK))
			Expect(p.first.headers["row"].Get("Content-Length")).To(Equal("3"))
			Expect(c.ask("after", kind, nil).body).To(Equal(bodyOf("after", "first")))
		})
		ginkgo.It("a client that reads slowly: it gets the whole answer, "+kind, func() {
			p.first.on("row", func(t *turn) bool {
				t.run()
				t.write(t.head(http.StatusOK, t.id, streamedBody, sealLine()) + strings.Repeat("x", streamedBody))
				return true
			})
			c := p.client()
			c.send("row", kind, nil)
			time.Sleep(routeCutoff / 2)
			g := c.receive()
			Expect(g.err).NotTo(HaveOccurred())
			Expect(g.body).To(HaveLen(streamedBody))
		})
		ginkgo.It("a reset by the client while its answer is written: its place is free again, and nothing else is asked, "+kind, func() {
			p.first.on("row", func(t *turn) bool {
				t.run()
				t.write(t.head(http.StatusOK, t.id, 4*streamedBody, sealLine()) + strings.Repeat("x", 4*streamedBody))
				return true
			})
			c := p.client()
			c.send("row", kind, nil)
			_, err := c.in.Peek(1)
			Expect(err).NotTo(HaveOccurred())
			_ = c.conn.SetLinger(0)
			_ = c.conn.Close()
			_, queue, _ := p.near.instance.Current()
			Eventually(func() int { return queue.Load().InFlight }, routeCutoff).Should(BeZero())
			Expect(p.client().ask("after", kind, nil).body).To(Equal(bodyOf("after", "first")))
			Expect(ran("row")).To(Equal(1))
		})
		ginkgo.It("an upstream killed and back on the same address between two requests: the next runs once, on a new connection, "+kind, func() {
			c := p.client()
			Expect(c.ask("before", kind, nil).body).To(Equal(bodyOf("before", "first")))
			p.first.close()
			p.first = newStandIn("first", p.first.address, false)
			g := c.ask("row", kind, nil)
			Expect(g.status).To(Equal(http.StatusOK))
			Expect(g.body).To(Equal(bodyOf("row", "first")))
			Expect(ran("row")).To(Equal(1))
		})
		ginkgo.It("a kill while its request runs: the connection closes with no answer, and it ran once, "+kind, func() {
			began := make(chan struct{})
			p.first.on("row", func(t *turn) bool {
				t.run()
				close(began)
				return t.wait()
			})
			c := p.client()
			c.send("row", kind, nil)
			Eventually(began).Should(BeClosed())
			p.near.Kill()
			closed(c)
			Expect(ran("row")).To(Equal(1))
		})
	}

	for _, kind := range []string{once, repeatable, bulk} {
		ginkgo.It("a stream from a peer that breaks off midway: the client sees it broken, and it ran once, "+kind, func() {
			p := newPair(true)
			defer p.close()
			p.first.on("row", func(t *turn) bool {
				t.run()
				t.write(t.head(http.StatusOK, t.id, streamedBody, sealLine()) + strings.Repeat("x", streamedBody*3/4))
				return false
			})
			g := p.client().ask("row", kind, nil)
			Expect(g.status).To(Equal(http.StatusOK))
			Expect(g.err).To(HaveOccurred())
			Expect(p.first.count("row") + p.second.count("row")).To(Equal(1))
		})
	}

	ginkgo.It("clients that leave again and again while their requests run: each upstream connection closes long before the route's timeout", func() {
		for i := range 200 {
			id := fmt.Sprint("row-", i)
			began, ended := make(chan struct{}), make(chan struct{})
			p.first.on(id, func(t *turn) bool {
				t.run()
				close(began)
				defer close(ended)
				return t.wait()
			})
			c := p.client()
			c.send(id, once, nil)
			Eventually(began).Should(BeClosed())
			_ = c.conn.Close()
			Eventually(ended, routeCutoff/2).Should(BeClosed())
		}
	})
	ginkgo.It("a large failure that isn't passed on, as a second upstream served: its place and its connection are free again", func() {
		p.first.on("row", func(t *turn) bool {
			t.run()
			t.write(t.head(http.StatusInternalServerError, t.id, streamedBody, sealLine()) + strings.Repeat("x", streamedBody))
			return t.wait()
		})
		Expect(p.client().ask("row", repeatable, nil).body).To(Equal(bodyOf("row", "second")))
		_, gate, _ := p.near.instance.Current()
		Eventually(func() int { return gate.Load().InFlight }).Should(BeZero())
	})

	ginkgo.It("no route that fits: 404, and the connection stays", func() {
		c := p.client()
		Expect(c.ask("row", "unknown", nil).status).To(Equal(http.StatusNotFound))
		Expect(c.ask("after", once, nil).status).To(Equal(http.StatusOK))
	})
	ginkgo.It("no id: 400, and nothing runs", func() {
		c := p.client()
		_, _ = io.WriteString(c.conn, strings.Replace(requestText("row", once, nil), forwarding.DefaultHeaderNames.RequestID+": row\r\n", "", 1))
		Expect(c.receive().status).To(Equal(http.StatusBadRequest))
		Expect(ran("")).To(BeZero())
	})
	ginkgo.It("a peer's client that leaves: the node beside the upstream closes the upstream's connection", func() {
		began, ended := make(chan struct{}), make(chan struct{})
		p.second.on("row", func(t *turn) bool {
			t.run()
			close(began)
			defer close(ended)
			return t.wait()
		})
		conn, err := net.Dial("tcp", p.far.params.Inward)
		Expect(err).NotTo(HaveOccurred())
		c := &client{conn.(*net.TCPConn), bufio.NewReader(conn)}
		way := forwarding.Metadata{Service: books, Route: once, Serial: 1, SoftDeadlineIn: time.Second, HardDeadlineIn: time.Second, AtMostOnce: true}
		_, _ = io.WriteString(c.conn, strings.Replace(requestText("row", once, nil), "\r\n\r\n", "\r\n"+forwarding.MetadataHeader+": "+way.String()+"\r\n\r\n", 1))
		Eventually(began).Should(BeClosed())
		_ = c.conn.Close()
		Eventually(ended).Should(BeClosed())
	})
})
