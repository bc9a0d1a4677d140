package dataplane

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/durationpb"

	"curlewreach/base"
	"curlewreach/fleet/rig"
	"curlewreach/proto/wire"
)

var suite *testing.T

func TestDataPlane(t *testing.T) {
	suite = t
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "ford")
}

const (
	books    = "books"
	otherBox = "10.9.9.9"
)

var noControllers = []string{"10.9.0.1:7005"}

// stand is a network with a clock of its own, on which single nodes, control machines and peers are set up.
type stand struct {
	world *rig.World
	clock *rig.Clock
	mu    sync.Mutex
	seed  uint64
	ends  []func()
	crew  base.Crew
	wrap  func(base.Net) base.Net
}

func story(text string, tell func(s *stand)) { ginkgo.It(text, told(tell)) }

// distant is a story whose machines are further apart than the usual millisecond, one way.
func distant(text string, delay time.Duration, tell func(s *stand)) {
	ginkgo.It(text, toldAt(delay, tell))
}

func told(tell func(s *stand)) func() { return toldAt(time.Millisecond, tell) }

func toldAt(delay time.Duration, tell func(s *stand)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			defer ginkgo.GinkgoRecover()
			s := &stand{clock: rig.NewClock(time.Now())}
			s.world = rig.NewWorld(base.SeededRand(1), func(_, _ string) time.Duration { return delay })
			defer s.end()
			tell(s)
		})
	}
}

func (s *stand) end() {
	s.mu.Lock()
	ends := s.ends
	s.mu.Unlock()
	for _, end := range ends {
		end()
	}
	s.crew.Wait()
	s.world.Close()
	time.Sleep(time.Minute)
}

func (s *stand) aside(do func()) {
	s.crew.Go(func() {
		defer ginkgo.GinkgoRecover()
		do()
	})
}

func (s *stand) scope(ip string) base.Scope {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seed++
	ctx, cancel := context.WithCancel(context.Background())
	s.ends = append(s.ends, cancel)
	net := s.world.At(ip, ip)
	if s.wrap != nil {
		net = s.wrap(net)
	}
	return base.Scope{
		Context: ctx, Node: ip, Clock: s.clock, Net: net, Disk: base.NoDisk(),
		Rand: base.SeededRand(s.seed), Log: hclog.NewNullLogger(), Journal: base.NewJournal(400),
	}
}

func (s *stand) after(end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, end)
}

func (s *stand) serve(address string, handler http.Handler) {
	door, err := base.Open(s.scope(host(address)), address, handler)
	Expect(err).NotTo(HaveOccurred())
	s.after(door.Slam)
}

func host(address string) string {
	ip, _, err := net.SplitHostPort(address)
	Expect(err).NotTo(HaveOccurred())
	return ip
}

func (s *stand) node(i int, seeds []string) *Node {
	ip := fmt.Sprintf("10.9.1.%d", i)
	p := &wire.NodeParams{
		Name: fmt.Sprint("app-", i), Zone: "a", Service: books, Outward: ip + ":7001", Inward: ip + ":7002", Ready: ip + ":7003", Control: ip + ":7004", Seeds: seeds,
		Beat: durationpb.New(time.Hour), Leaving: durationpb.New(2 * time.Second), InForce: durationpb.New(2 * time.Second), Grace: durationpb.New(6 * time.Second),
		RepeatRatio: 0.2, RepeatWindow: durationpb.New(10 * time.Second), RepeatSlack: 64,
	}
	n, err := Start(s.scope(ip), p, Plain, func(*Node) http.Handler { return http.NotFoundHandler() })
	Expect(err).NotTo(HaveOccurred())
	s.after(n.Kill)
	return n
}

// seat puts an upstream beside a node.
func (s *stand) seat(n *Node, capacity uint32, handler http.HandlerFunc) {
	ip := host(n.params.Inward)
	s.serve(ip+":8080", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(Plain.Seal, "whole")
		w.Header()[Plain.Attempt] = r.Header[Plain.Attempt]
		handler(w, r)
	}))
	Expect(n.Beat(&wire.Instance{Id: "i-" + n.params.Name, Service: books, Address: ip + ":8080", Zone: "a", Capacity: capacity})).To(BeNil())
}

func aConfiguration(serial uint64) *wire.Configuration {
	service := books
	c := &wire.Configuration{Serial: serial, Services: []*wire.ConfigurationService{{Name: books, Probe: "/health", ConnLimit: 130, Protocol: "h1"}}}
	for i, name := range []string{"index", "search", "archive"} {
		c.Routes = append(c.Routes, &wire.ConfigurationRoute{
			Name: name, Host: "books.example", Prefix: "/" + name + "/", Repeat: wire.Repeat_REPEATABLE, CutoffMs: 5000, AimMs: 1000, Rank: uint32(i + 1), Tries: 2, Service: &service,
		})
	}
	return c
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
	scope := s.scope(otherBox)
	web := base.Wire(scope)
	defer web.CloseIdleConnections()
	r, err := http.NewRequestWithContext(scope, http.MethodGet, "http://"+to+path, nil)
	Expect(err).NotTo(HaveOccurred())
	r.Host, r.Header = "books.example", header
	began := s.clock.Mono()
	reply, err := web.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(reply.Body)
	Expect(err).NotTo(HaveOccurred())
	again, _ := strconv.ParseFloat(reply.Header.Get("Retry-After"), 64)
	return said{reply.StatusCode, len(body), time.Duration(again * float64(time.Second)), reply.Header.Get(outcomeHeader), s.clock.Mono() - began}
}

func asking(id string, left time.Duration) http.Header {
	return http.Header{Plain.canonical().Attempt: {id}, Plain.canonical().Left: {millis(left)}}
}

type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(what string, by int) (now int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	t.counts[what] += by
	return t.counts[what]
}
