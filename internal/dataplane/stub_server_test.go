package dataplane

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
	"curlewreach/internal/dataplane/admission"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/random"
	"curlewreach/internal/storage"
	"curlewreach/proto/wire"
)

const (
	sealValue       = "whole"
	routeTimeout    = 600 * time.Millisecond
	clientTimeout   = 5 * time.Second
	firstPort       = 20000
	portsPerFixture = 20
	largeBody       = 1 << 20
)

// behavior handles one request at a stub server. It returns whether the connection stays open for another request.
type behavior func(t *transaction) (keep bool)

// transaction is one request on a connection of a stub server. Its head has been read, its body has not.
type transaction struct {
	server  *stubServer
	conn    *net.TCPConn
	reader  *bufio.Reader
	request *http.Request
	id      string
}

// stubServer stands in for an upstream, or for a peer, and handles each request as the test sets. It serves on a
// real socket.
type stubServer struct {
	name              string
	address           string
	asPeer            bool // it answers as a node would
	listener          net.Listener
	mu                sync.Mutex
	connectionCount   int
	openConnections   map[net.Conn]bool
	behaviors         map[string]behavior // by request ID, like the maps below
	executions        map[string]int
	rejections        map[string]int
	connectionNumbers map[string]int // which connection brought the request
	headers           map[string]http.Header
	idleTimeout       time.Duration
	closed            chan struct{}
	tasks             sync.WaitGroup
}

func newStubServer(name, address string, asPeer bool) *stubServer {
	s := &stubServer{
		name: name, address: address, asPeer: asPeer, openConnections: map[net.Conn]bool{}, behaviors: map[string]behavior{}, executions: map[string]int{}, rejections: map[string]int{},
		connectionNumbers: map[string]int{}, headers: map[string]http.Header{}, closed: make(chan struct{}),
	}
	s.listen()
	return s
}

func (s *stubServer) listen() {
	listener, err := net.Listen("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	s.listener = listener
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.connectionCount++
			number := s.connectionCount
			s.openConnections[conn] = true
			s.mu.Unlock()
			s.tasks.Add(1)
			go func() {
				defer s.tasks.Done()
				s.serve(conn.(*net.TCPConn), number)
			}()
		}
	}()
}

func (s *stubServer) close() {
	close(s.closed)
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.openConnections {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

// setBehavior sets how the request with the given ID is handled. By default it succeeds.
func (s *stubServer) setBehavior(id string, behave behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviors[id] = behave
}

func (s *stubServer) serve(conn *net.TCPConn, number int) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.openConnections, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		if s.idleTimeout > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(s.idleTimeout))
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		id := request.Header.Get(forwarding.DefaultHeaderNames.RequestID)
		s.mu.Lock()
		s.connectionNumbers[id] = number
		s.headers[id] = request.Header
		behave := s.behaviors[id]
		s.mu.Unlock()
		if behave == nil {
			behave = succeed
		}
		if !behave(&transaction{s, conn, reader, request, id}) {
			return
		}
	}
}

// execute reads the whole request and counts it as run.
func (t *transaction) execute() {
	_, _ = io.Copy(io.Discard, t.request.Body)
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	t.server.executions[t.id]++
}

// reject reads the whole request and counts it as rejected.
func (t *transaction) reject() {
	_, _ = io.Copy(io.Discard, t.request.Body)
	t.server.mu.Lock()
	defer t.server.mu.Unlock()
	t.server.rejections[t.id]++
}

func (t *transaction) send(text string) {
	_, _ = io.WriteString(t.conn, text)
}

// reset closes the connection with a TCP RST.
func (t *transaction) reset() bool {
	_ = t.conn.SetLinger(0)
	_ = t.conn.Close()
	return false
}

// hang sends nothing until the other side sends a byte or closes, or the stub server is closed.
func (t *transaction) hang() bool {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = t.reader.ReadByte()
	}()
	select {
	case <-gone:
	case <-t.server.closed:
	}
	return false
}

func bodyOf(id, server string) string { return "the answer to " + id + " by " + server }

func (t *transaction) body() string { return bodyOf(t.id, t.server.name) }

// responseHead returns the head of a response, with additional header lines. An empty id or a negative size leaves
// out its header.
func (t *transaction) responseHead(status int, id string, size int, lines ...string) string {
	head := []string{fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status))}
	if id != "" {
		head = append(head, forwarding.DefaultHeaderNames.RequestID+": "+id)
	}
	if size >= 0 {
		head = append(head, "Content-Length: "+strconv.Itoa(size))
	}
	if t.server.asPeer {
		head = append(head, forwarding.LoadHeader+": "+forwarding.LoadReport{Load: admission.Load{Limit: 4}}.String())
	}
	return strings.Join(append(head, lines...), "\r\n") + "\r\n\r\n"
}

func sealHeader() string { return forwarding.DefaultHeaderNames.Seal + ": " + sealValue }

// response returns a whole sealed response.
func (t *transaction) response(status int) string {
	return t.responseHead(status, t.id, len(t.body()), sealHeader()) + t.body()
}

// succeed runs the request and answers 200.
func succeed(t *transaction) bool {
	t.execute()
	t.send(t.response(http.StatusOK))
	return true
}

// answerWith runs the request and answers with the given status, sealed.
func answerWith(status int, lines ...string) behavior {
	return func(t *transaction) bool {
		t.execute()
		t.send(t.responseHead(status, t.id, len(t.body()), append(lines, sealHeader())...) + t.body())
		return true
	}
}

// rejectWith answers without running the request.
func rejectWith(status int, lines ...string) behavior {
	return func(t *transaction) bool {
		t.reject()
		t.send(t.responseHead(status, t.id, 0, lines...))
		return true
	}
}

// executeAndSend runs the request and sends the given text as its whole response.
func executeAndSend(text func(t *transaction) string, keep bool) behavior {
	return func(t *transaction) bool {
		t.execute()
		t.send(text(t))
		return keep
	}
}

var fixtureCount atomic.Int64

// requestFixture is a node that clients talk to, a stub server (first) beside it or in the place of a peer, and a
// second node with a stub server (second) that succeeds by default.
type requestFixture struct {
	clientNode *Node
	peerNode   *Node
	first      *stubServer
	second     *stubServer
	cleanups   []func()
}

// realScope returns a scope on the operating system's clock and network, and the function that ends it.
func realScope(name string) (base.Scope, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s := base.Scope{
		Context: ctx, Node: name, Clock: base.RealClock(), Net: base.RealNet(), Disk: storage.None(),
		Rand: random.Seeded(1), Log: hclog.NewNullLogger(), Journal: base.NewJournal(400),
	}
	return s, cancel
}

func (f *requestFixture) startNode(name, zone string, address func() string) *Node {
	scope, cancel := realScope(name)
	params := &wire.NodeParams{
		Name: name, Zone: zone, Service: books, Outward: address(), Inward: address(), Ready: address(), Control: address(), Seeds: []string{address()},
		Beat: durationpb.New(time.Hour), Leaving: durationpb.New(2 * time.Second), InForce: durationpb.New(600 * time.Millisecond), Grace: durationpb.New(time.Second),
		RepeatRatio: 0.2, RepeatWindow: durationpb.New(10 * time.Second), RepeatSlack: 64,
	}
	n, err := Start(scope, params, forwarding.DefaultHeaderNames, func(*Node) http.Handler { return http.NotFoundHandler() })
	Expect(err).NotTo(HaveOccurred())
	f.cleanups = append(f.cleanups, n.Kill, cancel)
	n.instance.ApplyDepartures(nil, true) // no controller runs that could confirm it
	return n
}

// routeClassConfiguration returns a configuration with one route of each repeat class.
func routeClassConfiguration(serial uint64) *wire.Configuration {
	c := &wire.Configuration{Serial: serial, Services: []*wire.ConfigurationService{{Name: books, Probe: "/health", ConnLimit: 130, Protocol: "h1"}}}
	for name, repeat := range map[string]wire.Repeat{once: wire.Repeat_ONCE, repeatable: wire.Repeat_REPEATABLE, bulk: wire.Repeat_BULK} {
		c.Routes = append(c.Routes, &wire.ConfigurationRoute{
			Name: name, Host: "books.example", Prefix: "/" + name + "/", Repeat: repeat, CutoffMs: float64(routeTimeout.Milliseconds()), AimMs: 200, Rank: 1, Tries: 2,
			Service: proto.String(books),
		})
	}
	return c
}

const (
	once       = "once"
	repeatable = "repeatable"
	bulk       = "bulk"
)

// newRequestFixture puts the first stub server beside clientNode or, with asPeer, in the place of a node in the same
// zone. The IP address is derived from the process ID and the ports from a counter, so that test processes and
// fixtures don't collide.
func newRequestFixture(asPeer bool) *requestFixture {
	number := int(fixtureCount.Add(1))
	pid := os.Getpid()
	ip, port := fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, 1+pid&127), firstPort+number*portsPerFixture
	address := func() string {
		port++
		return fmt.Sprintf("%s:%d", ip, port)
	}
	f := &requestFixture{}
	f.first, f.second = newStubServer("first", address(), asPeer), newStubServer("second", address(), false)
	f.clientNode, f.peerNode = f.startNode("near", "a", address), f.startNode("far", "b", address)
	for _, n := range []*Node{f.clientNode, f.peerNode} {
		n.controlClient.Adopt(routeClassConfiguration(1), true)
	}
	// A long warm-up makes the second rank last, so that requests go to the first however busy the test machine is.
	warmup := map[string]uint64{"second": uint64(time.Hour.Milliseconds())}
	instance := func(server *stubServer, zone string) *wire.Instance {
		return &wire.Instance{Id: "i-" + server.name, Service: books, Address: server.address, Zone: zone, Capacity: 4, WarmMs: warmup[server.name]}
	}
	Expect(f.peerNode.Heartbeat(instance(f.second, "b"))).To(BeNil())
	observations := []*wire.Observation{{NodeStatus: f.peerNode.nodeStatus()}}
	if asPeer {
		observations = append(observations, &wire.Observation{NodeStatus: &wire.NodeStatus{
			Node: "peer", Incarnation: "one", Number: 1, Inward: f.first.address, Zone: "a", Service: books, Instance: instance(f.first, "a"),
		}})
	} else {
		Expect(f.clientNode.Heartbeat(instance(f.first, "a"))).To(BeNil())
	}
	f.clientNode.peers.ApplyObservations("core-2", true, observations)
	return f
}

func (f *requestFixture) close() {
	f.first.close()
	f.second.close()
	for _, end := range f.cleanups {
		end()
	}
}

// client is a client with a single connection to clientNode.
type client struct {
	conn   *net.TCPConn
	reader *bufio.Reader
}

func (f *requestFixture) connect() *client {
	conn, err := net.Dial("tcp", f.clientNode.params.Outward)
	Expect(err).NotTo(HaveOccurred())
	f.cleanups = append(f.cleanups, func() { _ = conn.Close() })
	return &client{conn.(*net.TCPConn), bufio.NewReader(conn)}
}

// clientResponse is the response that a client received, or its error.
type clientResponse struct {
	status     int
	sealed     bool
	id         string
	body       string
	retryAfter time.Duration
	closes     bool
	err        error
}

// rawRequest returns the text of a GET request or, with a body, of a POST request.
func rawRequest(id, route string, body []byte) string {
	method := http.MethodGet
	length := ""
	if body != nil {
		method, length = http.MethodPost, fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: books.example\r\n%s: %s\r\n%s: %s\r\n%s\r\n%s", method, route, forwarding.DefaultHeaderNames.RequestID, id, forwarding.DefaultHeaderNames.TimeLeft, forwarding.FormatMillis(clientTimeout), length, body)
}

func (c *client) send(id, route string, body []byte) {
	_, err := io.Copy(c.conn, strings.NewReader(rawRequest(id, route, body)))
	Expect(err).NotTo(HaveOccurred())
}

// receive reads the next response, for clientTimeout at most.
func (c *client) receive() clientResponse {
	_ = c.conn.SetReadDeadline(time.Now().Add(clientTimeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return clientResponse{err: err}
	}
	var body bytes.Buffer
	_, err = body.ReadFrom(response.Body)
	retryAfter, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return clientResponse{
		status: response.StatusCode, sealed: response.Header.Get(forwarding.DefaultHeaderNames.Seal) != "", id: response.Header.Get(forwarding.DefaultHeaderNames.RequestID), body: body.String(),
		retryAfter: time.Duration(retryAfter * float64(time.Second)), closes: response.Close, err: err,
	}
}

// roundTrip sends a request and reads its response.
func (c *client) roundTrip(id, route string, body []byte) clientResponse {
	c.send(id, route, body)
	return c.receive()
}

// sendAsPeer sends a request to peerNode as another node does.
func (f *requestFixture) sendAsPeer(id, route string, metadata forwarding.Metadata) clientResponse {
	conn, err := net.Dial("tcp", f.peerNode.params.Inward)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	c := &client{conn.(*net.TCPConn), bufio.NewReader(conn)}
	text := strings.Replace(rawRequest(id, route, nil), "\r\n\r\n", "\r\n"+forwarding.MetadataHeader+": "+metadata.String()+"\r\n\r\n", 1)
	_, err = io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
	return c.receive()
}
