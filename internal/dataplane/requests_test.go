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

// What became of the connection of a request, as seen from the request after it: reused, replaced by a new one, or not
// needed because the server was avoided.
const (
	connectionKept     = "kept"
	connectionReplaced = "replaced"
	serverAvoided      = "elsewhere"
)

// result is the expected answer to a client and which servers ran its request.
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

// relayedFromFirst is an answer of the first server with another status, relayed unchanged.
func relayedFromFirst(status int) result {
	return result{status: status, sealed: true, server: "first", ranFirst: 1}
}

// requestCase is something that goes wrong, or right, with a request at the first server, and the results for
// requests that may run once and for those that may be repeated.
type requestCase struct {
	name             string
	previous         behavior                // handles the request before, on the same connection
	setUp            func(f *requestFixture) // changes the server between the two requests
	behavior         behavior                // handles the request
	body             []byte                  // of the request
	expectOnce       result
	expectRepeatable result
	connection       string // what becomes of the connection
}

// responseWith returns a whole sealed 200 response with additional header lines.
func (t *transaction) responseWith(lines ...string) string {
	return t.responseHead(http.StatusOK, t.id, len(t.body()), append(lines, sealHeader())...) + t.body()
}

// truncatedResponse returns a response that ends in the middle of its body.
func (t *transaction) truncatedResponse() string {
	return t.responseHead(http.StatusOK, t.id, len(t.body()), sealHeader()) + t.body()[:len(t.body())/2]
}

// responseTo returns a response that carries the ID of another request.
func (t *transaction) responseTo(id string) string {
	body := bodyOf(id, t.server.name)
	return t.responseHead(http.StatusOK, id, len(body), sealHeader()) + body
}

// succeedThen answers 200 and then acts on the idle connection.
func succeedThen(onIdle func(t *transaction) (keep bool)) behavior {
	return func(t *transaction) bool {
		succeed(t)
		return onIdle(t)
	}
}

// exchangeCases are the cases common to both hops from a node. afterLoss is what the next request does after a
// failed exchange: an upstream gets it on a new connection, while a peer is avoided.
func exchangeCases(afterLoss string) []requestCase {
	return slices.Concat(connectionCases(afterLoss), framingCases(afterLoss), headCases(afterLoss), statusCases())
}

// answeredCase is a case in which the answer counts.
func answeredCase(name string, behave behavior, connection string) requestCase {
	return requestCase{name: name, behavior: behave, expectOnce: servedByFirst, expectRepeatable: servedByFirst, connection: connection}
}

// doubtfulCase is a case in which the node can't know whether the request ran.
func doubtfulCase(name string, behave behavior, connection string) requestCase {
	return requestCase{name: name, behavior: behave, expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connection}
}

// connectionCases are about connections that break or stall.
func connectionCases(afterLoss string) []requestCase {
	idle := func(name string, previous behavior) requestCase {
		return requestCase{name: name, previous: previous, expectOnce: servedByFirst, expectRepeatable: servedByFirst, connection: connectionKept}
	}
	doubtful := func(name string, behave behavior) requestCase { return doubtfulCase(name, behave, afterLoss) }
	return []requestCase{
		answeredCase("a complete answer", succeed, connectionKept),
		{name: "dialing refused", setUp: func(f *requestFixture) { f.first.refuseConnections() }, expectOnce: servedBySecond, expectRepeatable: servedBySecond, connection: serverAvoided},
		{name: "no reply to dialing", setUp: func(f *requestFixture) { f.first.blockDialing(f) }, expectOnce: servedBySecond, expectRepeatable: servedBySecond, connection: serverAvoided},
		idle("a reset on the idle connection", succeedThen(func(t *transaction) bool { return t.reset() })),
		idle("a close of the idle connection", succeedThen(func(*transaction) bool { return false })),
		idle("half a close of the idle connection", succeedThen(func(t *transaction) bool {
			_ = t.conn.CloseWrite()
			return true
		})),
		idle("extra bytes after the previous answer", succeedThen(func(t *transaction) bool {
			t.send("surplus")
			return true
		})),
		idle("the previous answer twice", succeedThen(func(t *transaction) bool {
			t.send(t.response(http.StatusOK))
			return true
		})),
		{name: "a reset while the request is written", behavior: (*transaction).reset, body: make([]byte, largeBody), expectOnce: requestLost, expectRepeatable: servedBySecond, connection: afterLoss},
		doubtful("a reset after the request was written", func(t *transaction) bool { t.execute(); return t.reset() }),
		doubtful("a close after the request was written", executeAndSend(func(*transaction) string { return "" }, false)),
		{name: "no answer after the request was written", behavior: func(t *transaction) bool { t.execute(); return t.hang() }, expectOnce: timedOut, expectRepeatable: timedOut, connection: connectionReplaced},
		{name: "an answer after a pause", behavior: func(t *transaction) bool {
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

// framingCases are about answers that have the wrong length, belong to other requests, or are no HTTP responses.
func framingCases(afterLoss string) []requestCase {
	doubtful := func(name string, behave behavior) requestCase { return doubtfulCase(name, behave, afterLoss) }
	return []requestCase{
		doubtful("half a head", executeAndSend(func(t *transaction) string { return t.response(http.StatusOK)[:20] }, false)),
		{name: "half a body and a close", behavior: executeAndSend((*transaction).truncatedResponse, false), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionReplaced},
		{name: "half a body and then nothing", behavior: func(t *transaction) bool {
			t.execute()
			t.send(t.truncatedResponse())
			return t.hang()
		}, expectOnce: timedOut, expectRepeatable: timedOut, connection: connectionReplaced},
		answeredCase("a body longer than its Content-Length", executeAndSend(func(t *transaction) string { return t.response(http.StatusOK) + "and more" }, true), connectionReplaced),
		answeredCase("the answer twice", executeAndSend(func(t *transaction) string { return t.response(http.StatusOK) + t.response(http.StatusOK) }, true), connectionReplaced),
		doubtful("an answer with another ID and a close", executeAndSend(func(t *transaction) string { return t.responseTo("other") }, false)),
		answeredCase("an answer to the previous request, and then its own", executeAndSend(func(t *transaction) string { return t.responseTo("before") + t.response(http.StatusOK) }, true), connectionReplaced),
		doubtful("answers to other requests only", executeAndSend(func(t *transaction) string {
			return strings.Repeat(t.responseTo("other"), connection.MaxForeignResponses)
		}, true)),
		doubtful("an answer without an ID and a close", executeAndSend(func(t *transaction) string {
			return t.responseHead(http.StatusOK, "", len(t.body()), sealHeader()) + t.body()
		}, false)),
		doubtful("bytes that are no HTTP response", executeAndSend(func(*transaction) string { return "\x00\x01\x02 what is this\r\n\r\n" }, false)),
		{name: "a body without a length", behavior: executeAndSend(func(t *transaction) string {
			return t.responseHead(http.StatusOK, t.id, -1, "Connection: close", sealHeader()) + t.body()
		}, false), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionReplaced},
		answeredCase("a chunked body", executeAndSend(func(t *transaction) string {
			return t.responseHead(http.StatusOK, t.id, -1, "Transfer-Encoding: chunked", sealHeader()) + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(t.body()), t.body())
		}, true), connectionKept),
		{name: "a chunked body that is cut off", behavior: executeAndSend(func(t *transaction) string {
			return t.responseHead(http.StatusOK, t.id, -1, "Transfer-Encoding: chunked", sealHeader()) + fmt.Sprintf("%x\r\n%s\r\n", len(t.body()), t.body())
		}, false), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionReplaced},
	}
}

// headCases are about interim responses and connection headers.
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

// statusCases are about the statuses of complete answers.
func statusCases() []requestCase {
	return []requestCase{
		{name: "500", behavior: answerWith(http.StatusInternalServerError), expectOnce: relayedFromFirst(http.StatusInternalServerError), expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "501", behavior: answerWith(http.StatusNotImplemented), expectOnce: relayedFromFirst(http.StatusNotImplemented), expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "502", behavior: answerWith(http.StatusBadGateway), expectOnce: relayedFromFirst(http.StatusBadGateway), expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "503 that doesn't say whether it ran", behavior: answerWith(http.StatusServiceUnavailable, "Retry-After: 1"), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "504", behavior: answerWith(http.StatusGatewayTimeout), expectOnce: relayedFromFirst(http.StatusGatewayTimeout), expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "408 that doesn't say whether it ran", behavior: answerWith(http.StatusRequestTimeout), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "429 that doesn't say whether it ran", behavior: answerWith(http.StatusTooManyRequests), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "404", behavior: answerWith(http.StatusNotFound), expectOnce: relayedFromFirst(http.StatusNotFound), expectRepeatable: relayedFromFirst(http.StatusNotFound), connection: connectionKept},
		{name: "302", behavior: answerWith(http.StatusFound, "Location: /elsewhere"), expectOnce: relayedFromFirst(http.StatusFound), expectRepeatable: relayedFromFirst(http.StatusFound), connection: connectionKept},
	}
}

// upstreamCases are the cases that only an upstream can cause.
func upstreamCases() []requestCase {
	notRun := func(name string, behave behavior, next string) requestCase {
		return requestCase{name: name, behavior: behave, expectOnce: rejectedByFirst, expectRepeatable: rejectedByFirst, connection: next}
	}
	notRunHeader := forwarding.DefaultHeaderNames.NotRun + ": full"
	return []requestCase{
		notRun("503 and not executed", rejectWith(http.StatusServiceUnavailable, notRunHeader), connectionReplaced),
		notRun("429 and not executed", rejectWith(http.StatusTooManyRequests, notRunHeader), connectionReplaced),
		notRun("400 and not executed", rejectWith(http.StatusBadRequest, notRunHeader), connectionReplaced),
		notRun("421: another instance has its address", rejectWith(http.StatusMisdirectedRequest), serverAvoided),
		{name: "200 that says it was not executed", behavior: answerWith(http.StatusOK, notRunHeader), expectOnce: servedByFirst, expectRepeatable: servedByFirst, connection: connectionKept},
		{name: "200 without a seal", behavior: executeAndSend(func(t *transaction) string { return t.responseHead(http.StatusOK, t.id, len(t.body())) + t.body() }, true), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionReplaced},
		{name: "503, not executed, without an ID, on a reused connection", behavior: func(t *transaction) bool {
			t.reject()
			t.send(t.responseHead(http.StatusServiceUnavailable, "", 0, notRunHeader))
			return true
		}, expectOnce: rejectionLost, expectRepeatable: rejectedByFirst, connection: connectionReplaced},
	}
}

// peerCases are the cases that only a peer can cause.
func peerCases() []requestCase {
	answersWith := func(o forwarding.Outcome) behavior {
		return func(t *transaction) bool {
			if o.State == forwarding.Indeterminate {
				t.execute()
			} else {
				t.reject()
			}
			t.send(t.responseHead(http.StatusServiceUnavailable, t.id, 0, forwarding.OutcomeHeader+": "+o.String()))
			return true
		}
	}
	return []requestCase{
		{name: "a stopping peer that has not run it", behavior: answersWith(forwarding.NotRunOutcome(base.NewFault(base.Stopping, "", ""))), expectOnce: rejectedByFirst, expectRepeatable: rejectedByFirst, connection: serverAvoided},
		{name: "a full peer that has not run it", behavior: answersWith(forwarding.NotRunOutcome(base.NewFault(base.Overloaded, "", ""))), expectOnce: rejectedByFirst, expectRepeatable: rejectedByFirst, connection: connectionKept},
		{name: "a peer whose upstream is gone", behavior: answersWith(forwarding.NotRunOutcome(base.NewFault(base.NoInstance, "", ""))), expectOnce: rejectedByFirst, expectRepeatable: rejectedByFirst, connection: serverAvoided},
		{name: "a peer that doesn't know whether it ran", behavior: answersWith(forwarding.IndeterminateOutcome(base.ResponseLost, "")), expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionKept},
		{name: "an answer without a load report", behavior: func(t *transaction) bool {
			t.server.asPeer = false
			defer func() { t.server.asPeer = true }()
			return succeed(t)
		}, expectOnce: answerLost, expectRepeatable: retriedOnSecond, connection: connectionReplaced},
	}
}

// refuseConnections closes the listener and all open connections.
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

// blockDialing makes dialing hang: it replaces the listener by one that accepts nothing and fills its backlog.
func (s *stubServer) blockDialing(f *requestFixture) {
	s.refuseConnections()
	host, port, err := net.SplitHostPort(s.address)
	Expect(err).NotTo(HaveOccurred())
	var number int
	_, err = fmt.Sscan(port, &number)
	Expect(err).NotTo(HaveOccurred())
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	Expect(err).NotTo(HaveOccurred())
	f.cleanups = append(f.cleanups, func() { _ = unix.Close(fd) })
	Expect(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)).To(Succeed())
	address := &unix.SockaddrInet4{Port: number}
	copy(address.Addr[:], net.ParseIP(host).To4())
	Expect(unix.Bind(fd, address)).To(Succeed())
	Expect(unix.Listen(fd, 0)).To(Succeed())
	for range 2 {
		if conn, err := net.DialTimeout("tcp", s.address, 50*time.Millisecond); err == nil {
			f.cleanups = append(f.cleanups, func() { _ = conn.Close() })
		}
	}
}

// awaitIdleEvent waits until the node's machine has received what the server did to an idle connection.
func awaitIdleEvent(f *requestFixture, pool *connection.Pool, r requestCase) {
	if r.previous == nil {
		return
	}
	Eventually(func() (quiet int) {
		quiet, _ = pool.CountIdle(f.first.address)
		return quiet
	}).Should(BeZero())
}

// check compares the answer and the runs with the expected result. In no case may a request that may run once run
// twice, or one run that was reported as not run.
func (r requestCase) check(f *requestFixture, id, kind string, expected result, response clientResponse) {
	Expect(response.err).NotTo(HaveOccurred())
	Expect(response.status).To(Equal(expected.status), "status; body %q", response.body)
	Expect(response.sealed).To(Equal(expected.sealed), "seal")
	if expected.server != "" {
		Expect(response.body).To(Equal(bodyOf(id, expected.server)))
		Expect(response.id).To(Equal(id))
	}
	first, second := f.first.executionsOf(id), f.second.executionsOf(id)
	Expect(first).To(Equal(expected.ranFirst), "runs by the first")
	Expect(second).To(Equal(expected.ranSecond), "runs by the second")
	if kind == once {
		Expect(first+second).To(BeNumerically("<=", 1), "ran twice")
	}
	if forwarding.ImpliesNotRun(response.status) {
		Expect(first+second).To(BeZero(), "ran although the status says that it did not")
	}
}

// executionsOf returns how often the request with the given ID ran.
func (s *stubServer) executionsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// connectionOf returns the number of the connection that brought the request, 0 if it never came.
func (s *stubServer) connectionOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connectionNumbers[id]
}

// connectionAfter returns what became of the connection of the request with the given ID, by the connection that
// request "after" used.
func (f *requestFixture) connectionAfter(id string) string {
	switch f.first.connectionOf("after") {
	case 0:
		return serverAvoided
	case f.first.connectionOf(id):
		return connectionKept
	}
	return connectionReplaced
}

// run sends three requests on one client connection: "before" opens the connection to the server, "case" is the case,
// and "after" shows what became of that connection.
func (r requestCase) run(asPeer bool, kind string) {
	f := newRequestFixture(asPeer)
	defer f.close()
	pool := f.clientNode.instanceConnections
	if asPeer {
		pool = f.clientNode.peerConnections
	}
	client := f.connect()
	if r.previous != nil {
		f.first.setBehavior("before", r.previous)
	}
	if r.behavior != nil {
		f.first.setBehavior("case", r.behavior)
	}
	Expect(client.roundTrip("before", repeatable, nil).status).To(Equal(http.StatusOK))
	awaitIdleEvent(f, pool, r)
	pool.AssumeOpenAfter(f.first.address, time.Hour)
	if r.setUp != nil {
		r.setUp(f)
	}
	expected := r.expectRepeatable
	if kind == once {
		expected = r.expectOnce
	}
	startedAt := time.Now()
	response := client.roundTrip("case", kind, r.body)
	Expect(time.Since(startedAt)).To(BeNumerically("<", routeTimeout+timeoutSlack), "held past its timeout")
	r.check(f, "case", kind, expected, response)
	Expect(client.roundTrip("after", repeatable, nil).status).To(Equal(http.StatusOK))
	Expect(f.connectionAfter("case")).To(Equal(r.connection), "the connection")
}

var _ = ginkgo.Describe("request cases", func() {
	describe := func(name string, asPeer bool, cases []requestCase) {
		ginkgo.Describe(name, func() {
			for _, r := range cases {
				for _, kind := range []string{once, repeatable, bulk} {
					ginkgo.It(r.name+", "+kind, func() { r.run(asPeer, kind) })
				}
			}
		})
	}
	describe("node to upstream", false, append(exchangeCases(connectionReplaced), upstreamCases()...))
	describe("node to node", true, append(exchangeCases(serverAvoided), peerCases()...))
})
