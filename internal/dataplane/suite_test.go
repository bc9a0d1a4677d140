package dataplane

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/testing/simulation"
	"curlewreach/proto/wire"
)

func TestDataPlane(t *testing.T) {
	simulation.RunSpecs(t, "data plane")
}

const (
	books    = "books"
	clientIP = "10.9.9.9"
)

// unreachableControllers is the address of a controller that is not running.
var unreachableControllers = []string{"10.9.0.1:7005"}

// testbed is a simulation to which a test adds nodes, controllers and peers.
type testbed struct{ *simulation.Simulation }

// itSimulated adds a spec that runs in a simulation with the usual network delay.
func itSimulated(text string, spec func(s *testbed)) {
	itSimulatedWithDelay(text, simulation.DefaultDelay, spec)
}

// itSimulatedWithDelay is like itSimulated, with the given one-way network delay.
func itSimulatedWithDelay(text string, delay time.Duration, spec func(s *testbed)) {
	simulation.ItAt(text, delay, func(s *simulation.Simulation) { spec(&testbed{s}) })
}

func (s *testbed) startNode(i int, seeds []string) *Node {
	ip := fmt.Sprintf("10.9.1.%d", i)
	p := &wire.NodeParams{
		Name: fmt.Sprint("app-", i), Zone: "a", Service: books, Outward: ip + ":7001", Inward: ip + ":7002", Ready: ip + ":7003", Control: ip + ":7004", Seeds: seeds,
		Beat: durationpb.New(time.Hour), Leaving: durationpb.New(2 * time.Second), InForce: durationpb.New(2 * time.Second), Grace: durationpb.New(6 * time.Second),
		RepeatRatio: 0.2, RepeatWindow: durationpb.New(10 * time.Second), RepeatSlack: 64,
	}
	n, err := Start(s.Scope(ip), p, forwarding.DefaultHeaderNames, func(*Node) http.Handler { return http.NotFoundHandler() })
	Expect(err).NotTo(HaveOccurred())
	n.instance.ApplyDepartures(nil, true) // no controller runs that could confirm it
	s.Cleanup(n.Kill)
	return n
}

// addUpstream starts an upstream beside a node. It adds the seal and the request ID to the handler's answers.
func (s *testbed) addUpstream(node *Node, capacity uint32, handler http.HandlerFunc) {
	ip := simulation.Host(node.params.Inward)
	s.Serve(ip+":8080", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(forwarding.DefaultHeaderNames.Seal, "whole")
		w.Header()[forwarding.DefaultHeaderNames.RequestID] = r.Header[forwarding.DefaultHeaderNames.RequestID]
		handler(w, r)
	}))
	Expect(node.Heartbeat(&wire.Instance{Id: "i-" + node.params.Name, Service: books, Address: ip + ":8080", Zone: "a", Capacity: capacity})).To(BeNil())
}

func testConfiguration(serial uint64) *wire.Configuration {
	return simulation.Configuration(serial, books)
}

// httpReply is the answer to a request. size is the length of its body in bytes.
type httpReply struct {
	status     int
	size       int
	retryAfter time.Duration
	outcome    string
	elapsed    time.Duration
}

// get sends one request and reads its whole answer.
func (s *testbed) get(to, path string, header http.Header) (reply httpReply) {
	scope := s.Scope(clientIP)
	client := httpserver.NewClient(scope)
	defer client.CloseIdleConnections()
	r, err := http.NewRequestWithContext(scope, http.MethodGet, "http://"+to+path, nil)
	Expect(err).NotTo(HaveOccurred())
	r.Host, r.Header = "books.example", header
	startedAt := s.Clock.Mono()
	response, err := client.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	retryAfter, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return httpReply{response.StatusCode, len(body), time.Duration(retryAfter * float64(time.Second)), response.Header.Get(forwarding.OutcomeHeader), s.Clock.Mono() - startedAt}
}

// requestHeader returns the header of a request with an ID and a timeout.
func requestHeader(id string, left time.Duration) http.Header {
	return http.Header{forwarding.DefaultHeaderNames.Canonical().RequestID: {id}, forwarding.DefaultHeaderNames.Canonical().TimeLeft: {forwarding.FormatMillis(left)}}
}
