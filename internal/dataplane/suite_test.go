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
	simulation.RunSpecs(t, "ford")
}

const (
	books    = "books"
	otherBox = "10.9.9.9"
)

var noControllers = []string{"10.9.0.1:7005"}

// stand is a simulation on which single nodes, control machines and peers are set up.
type stand struct{ *simulation.Simulation }

func story(text string, tell func(s *stand)) { distant(text, simulation.DefaultDelay, tell) }

// distant is a story whose machines are further apart than usual, one way.
func distant(text string, delay time.Duration, tell func(s *stand)) {
	simulation.ItAt(text, delay, func(s *simulation.Simulation) { tell(&stand{s}) })
}

func (s *stand) node(i int, seeds []string) *Node {
	ip := fmt.Sprintf("10.9.1.%d", i)
	p := &wire.NodeParams{
		Name: fmt.Sprint("app-", i), Zone: "a", Service: books, Outward: ip + ":7001", Inward: ip + ":7002", Ready: ip + ":7003", Control: ip + ":7004", Seeds: seeds,
		Beat: durationpb.New(time.Hour), Leaving: durationpb.New(2 * time.Second), InForce: durationpb.New(2 * time.Second), Grace: durationpb.New(6 * time.Second),
		RepeatRatio: 0.2, RepeatWindow: durationpb.New(10 * time.Second), RepeatSlack: 64,
	}
	n, err := Start(s.Scope(ip), p, forwarding.DefaultHeaderNames, func(*Node) http.Handler { return http.NotFoundHandler() })
	Expect(err).NotTo(HaveOccurred())
	s.Cleanup(n.Kill)
	return n
}

// seat puts an upstream beside a node.
func (s *stand) seat(n *Node, capacity uint32, handler http.HandlerFunc) {
	ip := simulation.Host(n.params.Inward)
	s.Serve(ip+":8080", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(forwarding.DefaultHeaderNames.Seal, "whole")
		w.Header()[forwarding.DefaultHeaderNames.RequestID] = r.Header[forwarding.DefaultHeaderNames.RequestID]
		handler(w, r)
	}))
	Expect(n.Heartbeat(&wire.Instance{Id: "i-" + n.params.Name, Service: books, Address: ip + ":8080", Zone: "a", Capacity: capacity})).To(BeNil())
}

func aConfiguration(serial uint64) *wire.Configuration {
	return simulation.Configuration(serial, books)
}

type said struct {
	status int
	bytes  int
	again  time.Duration
	way    string
	took   time.Duration
}

// ask sends one request and reads its answer to the end.
func (s *stand) ask(to, path string, header http.Header) (t said) {
	scope := s.Scope(otherBox)
	web := httpserver.NewClient(scope)
	defer web.CloseIdleConnections()
	r, err := http.NewRequestWithContext(scope, http.MethodGet, "http://"+to+path, nil)
	Expect(err).NotTo(HaveOccurred())
	r.Host, r.Header = "books.example", header
	began := s.Clock.Mono()
	reply, err := web.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(reply.Body)
	Expect(err).NotTo(HaveOccurred())
	again, _ := strconv.ParseFloat(reply.Header.Get("Retry-After"), 64)
	return said{reply.StatusCode, len(body), time.Duration(again * float64(time.Second)), reply.Header.Get(forwarding.OutcomeHeader), s.Clock.Mono() - began}
}

func asking(id string, left time.Duration) http.Header {
	return http.Header{forwarding.DefaultHeaderNames.Canonical().RequestID: {id}, forwarding.DefaultHeaderNames.Canonical().TimeLeft: {forwarding.FormatMillis(left)}}
}
