package dataplane

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"curlewreach/base"
	"curlewreach/internal/dataplane/connection"
	"curlewreach/internal/dataplane/forwarding"
)

// timeoutSlack is how far past its route's timeout a request may be held.
const timeoutSlack = 250 * time.Millisecond

// What the connection of a request came to, seen from the request after it.
const (
	connectionKept     = "kept"
	connectionReplaced = "replaced"
	serverAvoided      = "elsewhere"
)

// result is what a client gets and which upstreams ran its request.
type result struct {
	status    int
	sealed    bool
	server    string
	ranFirst  int
	ranSecond int
	refused   int
}

var (
	servedByFirst   = result{status: http.StatusOK, sealed: true, server: "first", ranFirst: 1}
	servedBySecond  = result{status: http.StatusOK, sealed: true, server: "second", ranSecond: 1}
	retriedOnSecond = result{status: http.StatusOK, sealed: true, server: "second", ranFirst: 1, ranSecond: 1}
	rejectedByFirst = result{status: http.StatusOK, sealed: true, server: "second", ranSecond: 1, refused: 1}
	answerLost      = result{status: http.StatusBadGateway, ranFirst: 1}
	requestLost     = result{status: http.StatusBadGateway}
	rejectionLost   = result{status: http.StatusBadGateway, refused: 1}
	timedOut        = result{status: http.StatusGatewayTimeout, ranFirst: 1}
)

func relayedFromFirst(status int) result {
	return result{status: status, sealed: true, server: "first", ranFirst: 1}
}

// requestCase is an event on one peerAttempt, with what it comes to for requests that may run once and for those that may be repeated.
type requestCase struct {
	name             string
	previous         behavior                // what happens with the request before, on the same connection
	setUp            func(p *requestFixture) // what happens to the stand-in between the two
	behavior         behavior                // what happens with the request
	body             []byte                  // the request's
	expectOnce       result
	expectRepeatable result
	connection       string
}

func (t *transaction) responseWith(lines ...string) string {
	return t.responseHead(http.StatusOK, t.id, len(t.body()), append(lines, sealHeader())...) + t.body()
}

func (t *transaction) truncatedResponse() string {
	return t.responseHead(http.StatusOK, t.id, len(t.body()), sealHeader()) + t.body()[:len(t.body())/2]
}

func (t *transaction) responseTo(id string) string {
	body := bodyOf(id, t.server.name)
	return t.responseHead(http.StatusOK, id, len(body), sealHeader()) + body
}

// succeedThen answers well and does something with the idle connection.
func succeedThen(onIdle func(t *transaction) (keep bool)) behavior {
	return func(t *transaction) bool {
		succeed(t)
		return onIdle(t)
	}
}

// exchangeCases are the events that both hops from a node have in common. lostNext is where the request after one goes
// whose exchange failed: beside an upstream to a new connection, else past the peer that failed.
func exchangeCases(afterLoss string) []requestCase {
	return slices.Concat(connectionCases(afterLoss), framingCases(afterLoss), headCases(afterLoss), statusCases())
}

// answeredCase is an event after which the answer counts.
func answeredCase(name string, behave behavior, connection string) requestCase {
	return requestCase{name: name, behavior: behave, expectOnce: servedByFirst, expectRepeatable: servedByFirst, connection: connection}
}

// doubtfulCase is an event after which nobody knows whether the request ran.
func doubtfulCase(name string, behave behavior, connection string) requestCase {
	return requestCase{name: name, behavior: behave, expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connection}
}

// connectionCases are about when a connection breaks or falls silent.
func connectionCases(afterLoss string) []requestCase {
	idle := func(event string, before behavior) requestCase {
		return requestCase{name: event, previous: before, expectOnce: servedByFirst, expectRepeatable: servedByFirst, connection: connectionKept}
	}
	doubt := func(event string, does behavior) requestCase { return doubtfulCase(event, does, afterLoss) }
	return []requestCase{
		answeredCase("a whole answer", succeed, connectionKept),
		{name: "dialling refused", setUp: func(p *requestFixture) { p.first.refuseConnections() }, expectOnce: servedBySecond, expectRepeatable: servedBySecond, connection: serverAvoided},
		{name: "silence while dialling", setUp: func(p *requestFixture) { p.first.blockDialing(p) }, expectOnce: servedBySecond, expectRepeatable: servedBySecond, connection: serverAvoided},
		idle("a reset on the idle connection", succeedThen(func(t *transaction) bool { return t.reset() })),
		idle("a close of the idle connection", succeedThen(func(*transaction) bool { return false })),
		idle("half a close of the idle connection", succeedThen(func(t *transaction) bool {
			_ = t.conn.CloseWrite()
			return true
		})),
		idle("bytes after the answer before", succeedThen(func(t *transaction) bool {
			t.send("surplus")
			return true
		})),
		idle("the answer before twice", succeedThen(func(t *transaction) bool {
			t.send(t.response(http.StatusOK))
			return true
		})),
		{name: "a reset while it is written", behavior: (*transaction).reset, body: make([]byte, largeBody), expectOnce: requestLost, expectRepeatable: servedBySecond, connection: afterLoss},
		doubt("a reset after it was written", func(t *transaction) bool { t.execute(); return t.reset() }),
		doubt("a close after it was written", executeAndSend(func(*transaction) string { return "" }, false)),
		{name: "silence after it was written", behavior: func(t *transaction) bool { t.execute(); return t.hang() }, expectOnce: timedOut, expectRepeatable: timedOut, connection: connectionReplaced},
		{name: "a standstill and a thaw", behavior: func(t *transaction) bool {
			t.execute()
			select {
			case <-time.After(routeTimeout / 4):
			case <-t.server.closed:
			}
			t.send(t.response(http.StatusOK))
			return true
		}, expectOnce: servedByFirst, expectRepeatable: servedByFirst, connection: connectionKept},
		{name: "a body read late", behavior: func(t *transaction) bool {
			select {
			case <-time.After(routeTimeout * 2 / 5):
			case <-t.server.closed:
			}
			return succeed(t)
		}, body: make([]byte, 2*largeBody), expectOnce: servedByFirst, expectRepeatable: servedByFirst, connection: connectionKept},
	}
}

// framingCases are about answers of the wrong length, of other requests, or that are none.
func framingCases(afterLoss string) []requestCase {
	doubt := func(event string, does behavior) requestCase { return doubtfulCase(event, does, afterLoss) }
	return []requestCase{
		doubt("half a head", executeAndSend(func(t *transaction) string { return t.response(http.StatusOK)[:20] }, false)),
		{name: "half a body and a close", behavior: executeAndSend((*transaction).truncatedResponse, false), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionReplaced},
		{name: "half a body and silence", behavior: func(t *transaction) bool {
			t.execute()
			t.send(t.truncatedResponse())
			return t.hang()
		}, expectOnce: timedOut, expectRepeatable: timedOut, connection: connectionReplaced},
		answeredCase("a body longer than told", executeAndSend(func(t *transaction) string { return t.response(http.StatusOK) + "and more" }, true), connectionReplaced),
		answeredCase("the answer twice", executeAndSend(func(t *transaction) string { return t.response(http.StatusOK) + t.response(http.StatusOK) }, true), connectionReplaced),
		doubt("an answer with another id and a close", executeAndSend(func(t *transaction) string { return t.responseTo("other") }, false)),
		answeredCase("an answer to the request before in its place, and then its own", executeAndSend(func(t *transaction) string { return t.responseTo("before") + t.response(http.StatusOK) }, true), connectionReplaced),
		doubt("answers to other requests only", executeAndSend(func(t *transaction) string { return strings.Repeat(t.responseTo("other"), connection.MostSurplus) }, true)),
		doubt("an answer without an id and a close", executeAndSend(func(t *transaction) string {
			return t.responseHead(http.StatusOK, "", len(t.body()), sealHeader()) + t.body()
		}, false)),
		doubt("bytes that are no answer", executeAndSend(func(*transaction) string { return "\x00\x01\x02 what is this\r\n\r\n" }, false)),
		{name: "a body without a length", behavior: executeAndSend(func(t *transaction) string {
			return t.responseHead(http.StatusOK, t.id, -1, "Connection: close", sealHeader()) + t.body()
		}, false), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionReplaced},
		answeredCase("a body in chunks", executeAndSend(func(t *transaction) string {
			return t.responseHead(http.StatusOK, t.id, -1, "Transfer-Encoding: chunked", sealHeader()) + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(t.body()), t.body())
		}, true), connectionKept),
		{name: "chunks that break off", behavior: executeAndSend(func(t *transaction) string {
			return t.responseHead(http.StatusOK, t.id, -1, "Transfer-Encoding: chunked", sealHeader()) + fmt.Sprintf("%x\r\n%s\r\n", len(t.body()), t.body())
		}, false), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionReplaced},
	}
}

// headCases are about what an answer's head asks for.
func headCases(afterLoss string) []requestCase {
	return []requestCase{
		answeredCase("100 and then its answer", executeAndSend(func(t *transaction) string { return "HTTP/1.1 100 Continue\r\n\r\n" + t.response(http.StatusOK) }, true), connectionReplaced),
		answeredCase("103 and then its answer", executeAndSend(func(t *transaction) string {
			return "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + t.response(http.StatusOK)
		}, true), connectionReplaced),
		doubtfulCase("101", executeAndSend(func(t *transaction) string {
			return t.responseHead(http.StatusSwitchingProtocols, t.id, -1, "Upgrade: other", "Connection: Upgrade")
		}, true), afterLoss),
		answeredCase("Connection: close on the answer", executeAndSend(func(t *transaction) string { return t.responseWith("Connection: close") }, true), connectionReplaced),
		answeredCase("Keep-Alive: timeout=0 on the answer", executeAndSend(func(t *transaction) string { return t.responseWith("Keep-Alive: timeout=0") }, true), connectionReplaced),
	}
}

// statusCases are about the statuses of whole answers.
func statusCases() []requestCase {
	return []requestCase{
		{name: "500", behavior: answerWith(http.StatusInternalServerError), expectOnce: relayedFromFirst(http.StatusInternalServerError), expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "501", behavior: answerWith(http.StatusNotImplemented), expectOnce: relayedFromFirst(http.StatusNotImplemented), expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "502", behavior: answerWith(http.StatusBadGateway), expectOnce: relayedFromFirst(http.StatusBadGateway), expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "503 without a word on whether it ran", behavior: answerWith(http.StatusServiceUnavailable, "Retry-After: 1"), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "504", behavior: answerWith(http.StatusGatewayTimeout), expectOnce: relayedFromFirst(http.StatusGatewayTimeout), expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "408 without a word on whether it ran", behavior: answerWith(http.StatusRequestTimeout), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "429 without a word on whether it ran", behavior: answerWith(http.StatusTooManyRequests), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "404", behavior: answerWith(http.StatusNotFound), expectOnce: relayedFromFirst(http.StatusNotFound), expectRepeatable: relayedFromFirst(http.StatusNotFound), connection: connectionKept},
		{name: "302", behavior: answerWith(http.StatusFound, "Location: /elsewhere"), expectOnce: relayedFromFirst(http.StatusFound), expectRepeatable: relayedFromFirst(http.StatusFound), connection: connectionKept},
	}
}

func upstreamCases() []requestCase {
	notRun := func(event string, does behavior, next string) requestCase {
		return requestCase{name: event, behavior: does, expectOnce: rejectedByFirst, expectRepeatable: rejectedByFirst, connection: next}
	}
	mark := forwarding.Plain.NotRun + ": full"
	return []requestCase{
		notRun("503 and not executed", rejectWith(http.StatusServiceUnavailable, mark), connectionReplaced),
		notRun("429 and not executed", rejectWith(http.StatusTooManyRequests, mark), connectionReplaced),
		notRun("400 and not executed", rejectWith(http.StatusBadRequest, mark), connectionReplaced),
		notRun("421: its address was passed on", rejectWith(http.StatusMisdirectedRequest), serverAvoided),
		{name: "200 that says it was not executed", behavior: answerWith(http.StatusOK, mark), expectOnce: servedByFirst, expectRepeatable: servedByFirst, connection: connectionKept},
		{name: "200 without a seal", behavior: executeAndSend(func(t *transaction) string { return t.responseHead(http.StatusOK, t.id, len(t.body())) + t.body() }, true), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionReplaced},
		{name: "503, not executed, without an id, on a kept connection", behavior: func(t *transaction) bool {
			t.reject()
			t.send(t.responseHead(http.StatusServiceUnavailable, "", 0, mark))
			return true
		}, expectOnce: rejectionLost, expectRepeatable: rejectedByFirst, connection: connectionReplaced},
	}
}

func peerCases() []requestCase {
	says := func(o forwarding.Outcome) behavior {
		return func(t *transaction) bool {
			if o.State == forwarding.Doubtful {
				t.execute()
			} else {
				t.reject()
			}
			t.send(t.responseHead(http.StatusServiceUnavailable, t.id, 0, forwarding.OutcomeHeader+": "+o.String()))
			return true
		}
	}
	return []requestCase{
		{name: "a peer that stops and has not run it", behavior: says(forwarding.NotRunBy(base.NewFault(base.Stopping, "", ""))), expectOnce: rejectedByFirst, expectRepeatable: rejectedByFirst, connection: serverAvoided},
		{name: "a peer that is full and has not run it", behavior: says(forwarding.NotRunBy(base.NewFault(base.Overloaded, "", ""))), expectOnce: rejectedByFirst, expectRepeatable: rejectedByFirst, connection: connectionKept},
		{name: "a peer whose upstream is gone", behavior: says(forwarding.NotRunBy(base.NewFault(base.NoInstance, "", ""))), expectOnce: rejectedByFirst, expectRepeatable: rejectedByFirst, connection: serverAvoided},
		{name: "a peer in doubt", behavior: says(forwarding.Doubt(base.Lost, "")), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "an answer of no peer", behavior: func(t *transaction) bool {
			t.server.asPeer = false
			defer func() { t.server.asPeer = true }()
			return succeed(t)
		}, expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionReplaced},
	}
}

// refuseConnections refuses connections from now on and closes those there are.
func (s *stubServer) refuseConnections() {
	_ = s.listener.Close()
	s.closeConnections()
}

func (s *stubServer) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.openConnections {
		_ = conn.Close()
	}
}

// blockDialing leaves dialling without an answer: the queue of a listener that accepts nothing is filled.
func (s *stubServer) blockDialing(p *requestFixture) {
	s.refuseConnections()
	host, port, err := net.SplitHostPort(s.address)
	Expect(err).NotTo(HaveOccurred())
	var number int
	_, err = fmt.Sscan(port, &number)
	Expect(err).NotTo(HaveOccurred())
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	Expect(err).NotTo(HaveOccurred())
	p.cleanups = append(p.cleanups, func() { _ = unix.Close(fd) })
	Expect(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)).To(Succeed())
	address := &unix.SockaddrInet4{Port: number}
	copy(address.Addr[:], net.ParseIP(host).To4())
	Expect(unix.Bind(fd, address)).To(Succeed())
	Expect(unix.Listen(fd, 0)).To(Succeed())
	for range 2 {
		if conn, err := net.DialTimeout("tcp", s.address, 50*time.Millisecond); err == nil {
			p.cleanups = append(p.cleanups, func() { _ = conn.Close() })
		}
	}
}

// awaitIdleEvent waits until what the stand-in did to an idle connection has come to the node.
func awaitIdleEvent(p *requestFixture, pool *connection.Pool, r requestCase) {
	if r.previous == nil {
		return
	}
	Eventually(func() (silent int) {
		silent, _ = pool.Idle(p.first.address)
		return silent
	}).Should(BeZero())
}

func (r requestCase) check(p *requestFixture, id, kind string, expected result, response clientResponse) {
	Expect(response.err).NotTo(HaveOccurred())
	Expect(response.status).To(Equal(expected.status), "status; body %q", response.body)
	Expect(response.sealed).To(Equal(expected.sealed), "seal")
	if expected.server != "" {
		Expect(response.body).To(Equal(bodyOf(id, expected.server)))
		Expect(response.id).To(Equal(id))
	}
	first, second := p.first.executionsOf(id), p.second.executionsOf(id)
	Expect(first).To(Equal(expected.ranFirst), "runs by the first")
	Expect(second).To(Equal(expected.ranSecond), "runs by the second")
	if kind == once {
		Expect(first+second).To(BeNumerically("<=", 1), "ran twice")
	}
	if forwarding.PromisesNotRun(response.status) {
		Expect(first+second).To(BeZero(), "a promise that it did not run")
	}
}

func (s *stubServer) executionsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

func (s *stubServer) connectionOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connectionNumbers[id]
}

func (p *requestFixture) connectionAfter(id string) string {
	switch p.first.connectionOf("after") {
	case 0:
		return serverAvoided
	case p.first.connectionOf(id):
		return connectionKept
	}
	return connectionReplaced
}

func (r requestCase) run(asPeer bool, kind string) {
	p := newRequestFixture(asPeer)
	defer p.close()
	pool := p.clientNode.instanceConnections
	if asPeer {
		pool = p.clientNode.peerConnections
	}
	client := p.connect()
	if r.previous != nil {
		p.first.setBehavior("before", r.previous)
	}
	if r.behavior != nil {
		p.first.setBehavior("row", r.behavior)
	}
	Expect(client.roundTrip("before", repeatable, nil).status).To(Equal(http.StatusOK))
	awaitIdleEvent(p, pool, r)
	pool.AssumeRest(p.first.address, time.Hour)
	if r.setUp != nil {
		r.setUp(p)
	}
	expected := r.expectRepeatable
	if kind == once {
		expected = r.expectOnce
	}
	startedAt := time.Now()
	response := client.roundTrip("row", kind, r.body)
	Expect(time.Since(startedAt)).To(BeNumerically("<", routeTimeout+timeoutSlack), "held")
	r.check(p, "row", kind, expected, response)
	Expect(client.roundTrip("after", repeatable, nil).status).To(Equal(http.StatusOK))
	Expect(p.connectionAfter("row")).To(Equal(r.connection), "the connection")
}

var _ = ginkgo.Describe("the table of requests", func() {
	hop := func(name string, asPeer bool, rows []requestCase) {
		ginkgo.Describe(name, func() {
			for _, r := range rows {
				for _, kind := range []string{once, repeatable, bulk} {
					ginkgo.It(r.name+", "+kind, func() { r.run(asPeer, kind) })
				}
			}
		})
	}
	hop("node to upstream", false, append(exchangeCases(connectionReplaced), upstreamCases()...))
	hop("node to node", true, append(exchangeCases(serverAvoided), peerCases()...))
})
