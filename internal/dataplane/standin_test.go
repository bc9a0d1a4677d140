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
	sealText     = "whole"
	routeCutoff  = 600 * time.Millisecond
	clientTime   = 5 * time.Second
	firstPort    = 20000
	portsPerPair = 20
	largeBody    = 1 << 20
)

// event is what a stand-in does with one request; it tells whether the connection stays open for another.
type event func(t *turn) (keep bool)

// turn is one request on one connection of a stand-in. The head has been read, the body has not.
type turn struct {
	standIn *standIn
	conn    *net.TCPConn
	in      *bufio.Reader
	request *http.Request
	id      string
}

// standIn is an upstream, or the node beside one, that does exactly what a row of the table says. It serves on a real socket.
type standIn struct {
	name     string
	address  string
	asPeer   bool
	listener net.Listener
	mu       sync.Mutex
	opened   int
	open     map[net.Conn]bool
	does     map[string]event
	ran      map[string]int
	refused  map[string]int
	usedBy   map[string]int
	headers  map[string]http.Header
	idle     time.Duration
	closed   chan struct{}
	crew     sync.WaitGroup
}

func newStandIn(name, address string, asPeer bool) *standIn {
	s := &standIn{
		name: name, address: address, asPeer: asPeer, open: map[net.Conn]bool{}, does: map[string]event{}, ran: map[string]int{}, refused: map[string]int{},
		usedBy: map[string]int{}, headers: map[string]http.Header{}, closed: make(chan struct{}),
	}
	s.listen()
	return s
}

func (s *standIn) listen() {
	listener, err := net.Listen("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	s.listener = listener
	s.crew.Add(1)
	go func() {
		defer s.crew.Done()
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.opened++
			number := s.opened
			s.open[conn] = true
			s.mu.Unlock()
			s.crew.Add(1)
			go func() {
				defer s.crew.Done()
				s.serve(conn.(*net.TCPConn), number)
			}()
		}
	}()
}

func (s *standIn) close() {
	close(s.closed)
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.open {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.crew.Wait()
}

// on sets what happens with the request of an id.
func (s *standIn) on(id string, does event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.does[id] = does
}

func (s *standIn) serve(conn *net.TCPConn, number int) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.open, conn)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		if s.idle > 0 {
			_ = conn.SetReadDeadline(time.Now().Add(s.idle))
		}
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		id := request.Header.Get(forwarding.DefaultHeaderNames.RequestID)
		s.mu.Lock()
		s.usedBy[id] = number
		s.headers[id] = request.Header
		does := s.does[id]
		s.mu.Unlock()
		if does == nil {
			does = sound
		}
		if !does(&turn{s, conn, in, request, id}) {
			return
		}
	}
}

// run takes the request whole and begins to work on it.
func (t *turn) run() {
	_, _ = io.Copy(io.Discard, t.request.Body)
	t.standIn.mu.Lock()
	defer t.standIn.mu.Unlock()
	t.standIn.ran[t.id]++
}

func (t *turn) refuse() {
	_, _ = io.Copy(io.Discard, t.request.Body)
	t.standIn.mu.Lock()
	defer t.standIn.mu.Unlock()
	t.standIn.refused[t.id]++
}

func (t *turn) write(text string) {
	_, _ = io.WriteString(t.conn, text)
}

func (t *turn) reset() bool {
	_ = t.conn.SetLinger(0)
	_ = t.conn.Close()
	return false
}

// wait stands still until the other side is gone or the row is over.
func (t *turn) wait() bool {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = t.in.ReadByte()
	}()
	select {
	case <-gone:
	case <-t.standIn.closed:
	}
	return false
}

func bodyOf(id, by string) string { return "the answer to " + id + " by " + by }

func (t *turn) body() string { return bodyOf(t.id, t.standIn.name) }

// head makes an answer's head. lines are added to it.
func (t *turn) head(status int, id string, size int, lines ...string) string {
	head := []string{fmt.Sprintf("HTTP/1.1 %d %s", status, http.StatusText(status))}
	if id != "" {
		head = append(head, forwarding.DefaultHeaderNames.RequestID+": "+id)
	}
	if size >= 0 {
		head = append(head, "Content-Length: "+strconv.Itoa(size))
	}
	if t.standIn.asPeer {
		head = append(head, forwarding.LoadHeader+": "+forwarding.LoadReport{Load: admission.Load{Limit: 4}}.String())
	}
	return strings.Join(append(head, lines...), "\r\n") + "\r\n\r\n"
}

func sealLine() string { return forwarding.DefaultHeaderNames.Seal + ": " + sealText }

func (t *turn) answer(status int) string {
	return t.head(status, t.id, len(t.body()), sealLine()) + t.body()
}

func sound(t *turn) bool {
	t.run()
	t.write(t.answer(http.StatusOK))
	return true
}

// answers runs the request and answers with a status of the upstream's own, sealed.
func answers(status int, lines ...string) event {
	return func(t *turn) bool {
		t.run()
		t.write(t.head(status, t.id, len(t.body()), append(lines, sealLine())...) + t.body())
		return true
	}
}

// turnsAway answers without running the request.
func turnsAway(status int, lines ...string) event {
	return func(t *turn) bool {
		t.refuse()
		t.write(t.head(status, t.id, 0, lines...))
		return true
	}
}

// writes runs the request and sends just this.
func writes(text func(t *turn) string, keep bool) event {
	return func(t *turn) bool {
		t.run()
		t.write(text(t))
		return keep
	}
}

var pairs atomic.Int64

// pair is a node that a client talks to, with a stand-in that does what a row says, and a second node whose upstream is sound.
type pair struct {
	near   *Node
	far    *Node
	first  *standIn
	second *standIn
	ends   []func()
}

func realScope(name string) (base.Scope, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	s := base.Scope{
		Context: ctx, Node: name, Clock: base.RealClock(), Net: base.RealNet(), Disk: storage.None(),
		Rand: random.Seeded(1), Log: hclog.NewNullLogger(), Journal: base.NewJournal(400),
	}
	return s, cancel
}

func (p *pair) node(name, zone string, address func() string) *Node {
	scope, cancel := realScope(name)
	params := &wire.NodeParams{
		Name: name, Zone: zone, Service: books, Outward: address(), Inward: address(), Ready: address(), Control: address(), Seeds: []string{address()},
		Beat: durationpb.New(time.Hour), Leaving: durationpb.New(2 * time.Second), InForce: durationpb.New(600 * time.Millisecond), Grace: durationpb.New(time.Second),
		RepeatRatio: 0.2, RepeatWindow: durationpb.New(10 * time.Second), RepeatSlack: 64,
	}
	n, err := Start(scope, params, forwarding.DefaultHeaderNames, func(*Node) http.Handler { return http.NotFoundHandler() })
	Expect(err).NotTo(HaveOccurred())
	p.ends = append(p.ends, n.Kill, cancel)
	return n
}

func requestConfiguration(serial uint64) *wire.Configuration {
	c := &wire.Configuration{Serial: serial, Services: []*wire.ConfigurationService{{Name: books, Probe: "/health", ConnLimit: 130, Protocol: "h1"}}}
	for name, repeat := range map[string]wire.Repeat{once: wire.Repeat_ONCE, repeatable: wire.Repeat_REPEATABLE, bulk: wire.Repeat_BULK} {
		c.Routes = append(c.Routes, &wire.ConfigurationRoute{
			Name: name, Host: "books.example", Prefix: "/" + name + "/", Repeat: repeat, CutoffMs: float64(routeCutoff.Milliseconds()), AimMs: 200, Rank: 1, Tries: 2,
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

// newPair puts the first stand-in beside the near node, or, with asPeer, in the place of a node in the near node's zone.
func newPair(asPeer bool) *pair {
	number := int(pairs.Add(1))
	pid := os.Getpid()
	ip, port := fmt.Sprintf("127.%d.%d.%d", 64+pid>>16&63, pid>>8&255, 1+pid&127), firstPort+number*portsPerPair
	address := func() string {
		port++
		return fmt.Sprintf("%s:%d", ip, port)
	}
	p := &pair{}
	p.first, p.second = newStandIn("first", address(), asPeer), newStandIn("second", address(), false)
	p.near, p.far = p.node("near", "a", address), p.node("far", "b", address)
	for _, n := range []*Node{p.near, p.far} {
		n.control.Adopt(requestConfiguration(1), true)
	}
	// The second counts as slow, so that requests go to the first however busy the machine is.
	warm := map[string]uint64{"second": uint64(time.Hour.Milliseconds())}
	instance := func(at *standIn, zone string) *wire.Instance {
		return &wire.Instance{Id: "i-" + at.name, Service: books, Address: at.address, Zone: zone, Capacity: 4, WarmMs: warm[at.name]}
	}
	Expect(p.far.Heartbeat(instance(p.second, "b"))).To(BeNil())
	observations := []*wire.Observation{{NodeStatus: p.far.nodeStatus()}}
	if asPeer {
		observations = append(observations, &wire.Observation{NodeStatus: &wire.NodeStatus{
			Node: "mate", Incarnation: "one", Number: 1, Inward: p.first.address, Zone: "a", Service: books, Instance: instance(p.first, "a"),
		}})
	} else {
		Expect(p.near.Heartbeat(instance(p.first, "a"))).To(BeNil())
	}
	p.near.peers.ApplyObservations("keel", true, observations)
	return p
}

func (p *pair) close() {
	p.first.close()
	p.second.close()
	for _, end := range p.ends {
		end()
	}
}

// client is one connection of a client.
type client struct {
	conn *net.TCPConn
	in   *bufio.Reader
}

func (p *pair) client() *client {
	conn, err := net.Dial("tcp", p.near.params.Outward)
	Expect(err).NotTo(HaveOccurred())
	p.ends = append(p.ends, func() { _ = conn.Close() })
	return &client{conn.(*net.TCPConn), bufio.NewReader(conn)}
}

// got is what a client gets.
type got struct {
	status int
	sealed bool
	id     string
	body   string
	again  time.Duration
	closes bool
	err    error
}

func requestText(id, route string, body []byte) string {
	method := http.MethodGet
	length := ""
	if body != nil {
		method, length = http.MethodPost, fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: books.example\r\n%s: %s\r\n%s: %s\r\n%s\r\n%s", method, route, forwarding.DefaultHeaderNames.RequestID, id, forwarding.DefaultHeaderNames.TimeLeft, forwarding.FormatMillis(clientTime), length, body)
}

func (c *client) send(id, route string, body []byte) {
	_, err := io.Copy(c.conn, strings.NewReader(requestText(id, route, body)))
	Expect(err).NotTo(HaveOccurred())
}

func (c *client) receive() got {
	_ = c.conn.SetReadDeadline(time.Now().Add(clientTime))
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return got{err: err}
	}
	var body bytes.Buffer
	_, err = body.ReadFrom(response.Body)
	again, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return got{
		status: response.StatusCode, sealed: response.Header.Get(forwarding.DefaultHeaderNames.Seal) != "", id: response.Header.Get(forwarding.DefaultHeaderNames.RequestID), body: body.String(),
		again: time.Duration(again * float64(time.Second)), closes: response.Close, err: err,
	}
}

func (c *client) ask(id, route string, body []byte) got {
	c.send(id, route, body)
	return c.receive()
}

// peerAsks sends a request as the node beside a client does.
func (p *pair) peerAsks(id, route string, way forwarding.Metadata) got {
	conn, err := net.Dial("tcp", p.far.params.Inward)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	c := &client{conn.(*net.TCPConn), bufio.NewReader(conn)}
	text := strings.Replace(requestText(id, route, nil), "\r\n\r\n", "\r\n"+forwarding.MetadataHeader+": "+way.String()+"\r\n\r\n", 1)
	_, err = io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
	return c.receive()
}
