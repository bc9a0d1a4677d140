package connection

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/random"
	"curlewreach/internal/testing/simulation"
)

const (
	clientIP   = "10.9.9.9"
	idleTime   = 8 * time.Second
	sweepEvery = 500 * time.Millisecond
)

// idleUpstream closes each connection after so long a rest, as some upstreams do without a word.
func idleUpstream(s *simulation.Simulation, address string, rest time.Duration) *http.Server {
	listener, err := s.Scope(simulation.Host(address)).Net.Listen(address)
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{IdleTimeout: rest, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })}
	s.Go(func() { _ = server.Serve(listener) })
	s.Cleanup(func() { _ = server.Close() })
	return server
}

func anyAnswer(*http.Response) bool { return true }

// exchanged tells whether a request was answered, or its fate is not known.
func exchanged(pool *Pool, address string, certain bool) (answered, doubtful bool) {
	r, sent, err := pool.Exchange(context.Background(), address, &Request{Method: http.MethodGet, Target: "/", Host: "books.example", RequireLive: certain}, anyAnswer)
	if err != nil {
		return false, sent
	}
	_, _ = io.Copy(io.Discard, r.Body)
	r.Finish()
	return true, false
}

var _ = ginkgo.Describe("kept connections", func() {
	const address = "10.9.2.1:8080"
	const rest = 320 * time.Millisecond
	simulation.It("given an upstream that closes connections after a short rest, when requests come that may run once, then none is in doubt, and many still use kept connections", func(s *simulation.Simulation) {
		idleUpstream(s, address, rest)
		scope := s.Scope(clientIP)
		pool := NewPool(scope.Net, s.Clock, idleTime, time.Second, time.Second)
		s.Go(func() { base.Tick(scope, sweepEvery, func(base.Scope) { pool.Sweep() }) })
		rand := random.Seeded(3)
		const asked = 4000
		doubts, fails := 0, 0
		for range asked {
			answered, doubtful := exchanged(pool, address, true)
			if doubtful {
				doubts++
			}
			if !answered {
				fails++
			}
			time.Sleep(time.Duration(rand.Float64() * rand.Float64() * float64(2*rest)))
		}
		share := float64(pool.dialed) / asked
		ginkgo.AddReportEntry("new connections a request", share)
		Expect(doubts).To(BeZero())
		Expect(fails).To(BeZero())
		Expect(share).To(BeNumerically("<", 0.8))
	})

	simulation.It("given an upstream that keeps connections, when requests that may run once come at a steady pace, then hardly any needs a new connection", func(s *simulation.Simulation) {
		idleUpstream(s, address, time.Hour)
		scope := s.Scope(clientIP)
		pool := NewPool(scope.Net, s.Clock, idleTime, time.Second, time.Second)
		s.Go(func() { base.Tick(scope, sweepEvery, func(base.Scope) { pool.Sweep() }) })
		rand := random.Seeded(3)
		const asked = 1000
		for range asked {
			exchanged(pool, address, true)
			time.Sleep(time.Duration(2 * rand.Float64() * float64(rest)))
		}
		ginkgo.AddReportEntry("new connections a request", float64(pool.dialed)/asked)
		Expect(pool.dialed).To(BeNumerically("<", 10))
	})

	simulation.It("given a peer that broke a rest, when a request that may run once comes, then it takes a new connection, and few are left idle", func(s *simulation.Simulation) {
		idleUpstream(s, address, time.Hour)
		pool := NewPool(s.Scope(clientIP).Net, s.Clock, idleTime, time.Second, time.Second)
		exchanged(pool, address, false)
		pool.rests.held(address, time.Minute, s.Clock.Mono())
		time.Sleep(time.Second)
		exchanged(pool, address, true)
		Expect(pool.dialed).To(BeEquivalentTo(1))
		for range 2 * spareKept {
			pool.forgetRest(address)
			time.Sleep(idleTime / 20)
			exchanged(pool, address, true)
		}
		Expect(pool.dialed).To(BeEquivalentTo(1 + 2*spareKept))
		Expect(pool.kept[address]).To(HaveLen(spareKept))
	})

	simulation.It("given peers to which no request goes that may run once, when their connections rest, then nobody looks at them", func(s *simulation.Simulation) {
		idleUpstream(s, address, time.Hour)
		pool := NewPool(s.Scope(clientIP).Net, s.Clock, idleTime, time.Second, time.Second)
		exchanged(pool, address, false)
		kept := pool.kept[address][0]
		looks := &simulation.Tally{}
		kept.conn = watchedConn{kept.conn, looks}
		pool.Sweep()
		Expect(looks.Add("looks", 0)).To(BeZero())
		time.Sleep(idleTime / 4)
		exchanged(pool, address, true)
		pool.Sweep()
		Expect(looks.Add("looks", 0)).To(Equal(1), "now the peer is watched")
		time.Sleep(idleTime)
		pool.Sweep()
		Expect(pool.kept[address]).To(BeEmpty(), "idle for too long, watched or not")
	})

	simulation.It("given a kept connection that takes no byte, when a request is written on it, then it goes once on a new one", func(s *simulation.Simulation) {
		asked := &simulation.Tally{}
		s.Serve(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			asked.Add("asked", 1)
			w.WriteHeader(http.StatusNoContent)
		}))
		pool := NewPool(s.Scope(clientIP).Net, s.Clock, idleTime, time.Second, time.Second)
		exchanged(pool, address, true)
		kept := pool.kept[address][0]
		kept.conn = deaf{kept.conn}
		pool.rests.held(address, time.Minute, s.Clock.Mono())
		answered, _ := exchanged(pool, address, true)
		Expect(answered).To(BeTrue())
		Expect(asked.Add("asked", 0)).To(Equal(2))
		Expect(pool.dialed).To(BeEquivalentTo(2))
	})

	simulation.It("given a connection that breaks after a part of the request, when it is written, then it is in doubt and sent no second time", func(s *simulation.Simulation) {
		asked := &simulation.Tally{}
		s.Serve(address, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { asked.Add("asked", 1) }))
		pool := NewPool(s.Scope(clientIP).Net, s.Clock, idleTime, time.Second, time.Second)
		exchanged(pool, address, true)
		kept := pool.kept[address][0]
		kept.conn = cutShort{kept.conn}
		pool.rests.held(address, time.Minute, s.Clock.Mono())
		answered, doubtful := exchanged(pool, address, true)
		Expect(answered).To(BeFalse())
		Expect(doubtful).To(BeTrue())
		Expect(asked.Add("asked", 0)).To(Equal(1))
		Expect(pool.dialed).To(BeEquivalentTo(1))
	})

	ginkgo.It("given a keep-alive time that an upstream tells, when a connection rests, then it is used up to half a second before that", func() {
		told, known := keepAlive(http.Header{"Keep-Alive": {"timeout=" + strconv.Itoa(5) + ", max=100"}})
		Expect(known).To(BeTrue())
		Expect(told).To(Equal(4500 * time.Millisecond))
	})
})

// deaf looks open and takes no byte: a reset is on its way up from the kernel.
type deaf struct{ net.Conn }

func (deaf) Quiet() bool               { return true }
func (deaf) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }

// watchedConn counts how often it is looked at while it rests.
type watchedConn struct {
	net.Conn
	looks *simulation.Tally
}

func (c watchedConn) Quiet() bool {
	c.looks.Add("looks", 1)
	return quiet(c.Conn)
}

// cutShort takes one byte and breaks.
type cutShort struct{ net.Conn }

func (cutShort) Quiet() bool               { return true }
func (cutShort) Write([]byte) (int, error) { return 1, syscall.ECONNRESET }
