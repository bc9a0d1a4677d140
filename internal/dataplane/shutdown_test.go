package dataplane

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/attempts"
	"curlewreach/internal/dataplane/fencing"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/testing/simulation"
	"curlewreach/proto/wire"
)

const (
	// stopGrace is the grace period of the nodes in these specs.
	stopGrace = 6 * time.Second
	// stopClientTimeout is how long the clients wait: longer than any stop.
	stopClientTimeout = 8 * time.Second
	// shortWork is far below the time that a stop leaves, longWork above the whole of it.
	shortWork = 10 * time.Millisecond
	longWork  = 7 * time.Second
	lendRoute = "lend"   // requests that must not be repeated
	seekRoute = "search" // repeatable requests
)

// phase is a moment of a stop, as a ratio of the grace period.
func phase(ratio float64) time.Duration { return base.ScaleDuration(stopGrace, ratio) }

var (
	whileDraining = phase(clientDrainRatio / 2)
	whenRejecting = phase(clientDrainRatio+peerDrainRatio) + 20*time.Millisecond
	// lastStart is the latest start of an attempt with little work.
	lastStart   = phase(answerRatio - withdrawalRatio)
	answersDue  = phase(answerRatio)
	connectsEnd = phase(stopDeadlineRatio)
)

// stopReply is what a client has received.
type stopReply struct {
	status     int
	retryAfter string
	body       string
	err        error
	at         time.Duration // since the stop began
}

// stopFixture is three nodes: clients send to stopping, which has no upstream; other has an upstream with one slot; a
// third one serves to take that slot. An upstream works for as long as the last part of the path says.
type stopFixture struct {
	*testbed
	stopping, other, third *Node
	executions             simulation.EventCounter
	startedAt              time.Duration
	begun, stopped         chan struct{}
}

func stopConfiguration() *wire.Configuration {
	service := books
	c := &wire.Configuration{Serial: 1, Services: []*wire.ConfigurationService{{Name: books, Probe: "/health", ConnLimit: 130, Protocol: "h1"}}}
	for name, repeat := range map[string]wire.Repeat{lendRoute: wire.Repeat_ONCE, seekRoute: wire.Repeat_REPEATABLE} {
		c.Routes = append(c.Routes, &wire.ConfigurationRoute{Name: name, Host: "books.example", Prefix: "/" + name + "/", Repeat: repeat, CutoffMs: float64(stopClientTimeout.Milliseconds()), AimMs: float64(stopClientTimeout.Milliseconds()), Rank: 1, Tries: 2, Service: &service})
	}
	return c
}

func (s *testbed) newStopFixture() *stopFixture {
	f := &stopFixture{testbed: s, begun: make(chan struct{}), stopped: make(chan struct{})}
	f.stopping, f.other, f.third = s.startNode(1, unreachableControllers), s.startNode(2, unreachableControllers), s.startNode(3, unreachableControllers)
	for _, n := range f.nodes() {
		n.controlClient.Adopt(stopConfiguration(), true)
	}
	f.addWorker(f.other, 1)
	f.slowDown(f.other, time.Second)
	for _, route := range []string{lendRoute, seekRoute} {
		Expect(f.roundTrip(f.stopping, route, "warm-"+route, shortWork).status).To(Equal(http.StatusOK))
	}
	return f
}

func (f *stopFixture) nodes() []*Node { return []*Node{f.stopping, f.other, f.third} }

// addWorker starts an upstream beside a node and tells the other nodes of it.
func (f *stopFixture) addWorker(node *Node, capacity uint32) {
	f.addUpstream(node, capacity, func(w http.ResponseWriter, r *http.Request) {
		f.executions.Add(r.Header.Get(forwarding.DefaultHeaderNames.RequestID), 1)
		ms, err := strconv.Atoi(path.Base(r.URL.Path))
		if err != nil {
			return
		}
		select {
		case <-time.After(time.Duration(ms) * time.Millisecond):
			_, _ = io.WriteString(w, "pages")
		case <-r.Context().Done():
		}
	})
	for _, n := range f.nodes() {
		n.peers.ApplyObservations("core-2", true, []*wire.Observation{{NodeStatus: node.nodeStatus()}})
	}
}

// slowDown lets the queue in front of a node's upstream learn that requests hold a slot for the given time. It takes a
// slot that is held for much longer for free.
func (f *stopFixture) slowDown(node *Node, serviceTime time.Duration) {
	_, queue, _ := node.instance.Current()
	for queue.MeanWork() < serviceTime {
		Expect(f.roundTrip(f.third, seekRoute, "slow", stopGrace).status).To(Equal(http.StatusOK))
	}
}

func stopRequest(route, id string, work time.Duration) string {
	return fmt.Sprintf("GET /%s/%d HTTP/1.1\r\nHost: books.example\r\n%s: %s\r\n%s: %s\r\n\r\n", route, work.Milliseconds(), forwarding.DefaultHeaderNames.RequestID, id, forwarding.DefaultHeaderNames.TimeLeft, forwarding.FormatMillis(stopClientTimeout))
}

// open opens a client's connection to a node.
func (f *stopFixture) open(to *Node) net.Conn {
	conn, err := f.Scope(clientIP).Net.Dial(context.Background(), "tcp", to.params.Outward)
	Expect(err).NotTo(HaveOccurred())
	f.Cleanup(func() { _ = conn.Close() })
	return conn
}

// receive reads one answer whole.
func (f *stopFixture) receive(conn net.Conn) (reply stopReply) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		reply.status, reply.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
		var body []byte
		body, err = io.ReadAll(response.Body)
		reply.body = string(body)
	}
	reply.err, reply.at = err, f.sinceStop()
	return reply
}

// exchange sends a request on a connection and reads the answer.
func (f *stopFixture) exchange(conn net.Conn, route, id string, work time.Duration) stopReply {
	_, _ = io.WriteString(conn, stopRequest(route, id, work))
	return f.receive(conn)
}

func (f *stopFixture) roundTrip(to *Node, route, id string, work time.Duration) stopReply {
	return f.exchange(f.open(to), route, id, work)
}

// begin sends a request in the background.
func (f *stopFixture) begin(to *Node, route, id string, work time.Duration) <-chan stopReply {
	replies := make(chan stopReply, 1)
	conn := f.open(to)
	f.Go(func() { replies <- f.exchange(conn, route, id, work) })
	time.Sleep(20 * time.Millisecond)
	return replies
}

// takeSlot occupies the only slot of the upstream beside node for a time.
func (f *stopFixture) takeSlot(work time.Duration) <-chan stopReply {
	return f.begin(f.third, seekRoute, "blocker", work)
}

// stop begins the stop of a node, as a SIGTERM does.
func (f *stopFixture) stop(node *Node) {
	f.startedAt = f.Clock.Mono()
	close(f.begun)
	f.Go(func() {
		defer close(f.stopped)
		node.Stop()
	})
	time.Sleep(time.Millisecond)
}

func (f *stopFixture) sinceStop() time.Duration { return f.Clock.Mono() - f.startedAt }

// sleepUntil waits until a moment after the stop began.
func (f *stopFixture) sleepUntil(at time.Duration) {
	<-f.begun
	time.Sleep(at - f.sinceStop())
}

func (f *stopFixture) ran(id string) int { return f.executions.Add(id, 0) }

// expectRefused expects a 503 with a time to come back by the given moment, and that the request never runs.
func (f *stopFixture) expectRefused(reply stopReply, id string, latest time.Duration) {
	ExpectWithOffset(1, reply.err).NotTo(HaveOccurred())
	ExpectWithOffset(1, reply.status).To(Equal(http.StatusServiceUnavailable))
	ExpectWithOffset(1, reply.retryAfter).NotTo(BeEmpty())
	ExpectWithOffset(1, reply.at).To(BeNumerically("<=", latest))
	time.Sleep(2 * stopGrace)
	ExpectWithOffset(1, f.ran(id)).To(BeZero())
}

func expectAnswered(reply stopReply) {
	ExpectWithOffset(1, reply.err).NotTo(HaveOccurred())
	ExpectWithOffset(1, reply.status).To(Equal(http.StatusOK), reply.body)
}

// Guards against requests that a stopping node has read and drops without an answer, though they never ran.
var _ = ginkgo.Describe("a request that waits at another node in a stop", func() {
	for _, route := range []string{lendRoute, seekRoute} {
		itSimulated("given no slot that comes free, then it is answered 503 in time and never runs, "+route, func(s *testbed) {
			f := s.newStopFixture()
			f.takeSlot(longWork)
			replies := f.begin(f.stopping, route, "a", shortWork)
			f.stop(f.stopping)
			f.expectRefused(<-replies, "a", answersDue)
			Expect(f.stopping.outcomeCount(countWithdrawn)).To(Equal(1))
		})
		itSimulated("given a slot that comes free in time, then it gets the upstream's answer, "+route, func(s *testbed) {
			f := s.newStopFixture()
			f.takeSlot(whenRejecting + 200*time.Millisecond)
			replies := f.begin(f.stopping, route, "a", shortWork)
			f.stop(f.stopping)
			reply := <-replies
			expectAnswered(reply)
			Expect(reply.at).To(BeNumerically(">", whenRejecting))
			Expect(f.ran("a")).To(Equal(1))
		})
		itSimulated("given that it came while the node drained, then the other node holds it no longer than the stop allows, "+route, func(s *testbed) {
			f := s.newStopFixture()
			f.takeSlot(longWork)
			f.stop(f.stopping)
			f.sleepUntil(whileDraining)
			replies := f.begin(f.stopping, route, "a", shortWork)
			f.expectRefused(<-replies, "a", lastStart+100*time.Millisecond)
			Expect(f.stopping.outcomeCount(countWithdrawn)).To(BeZero())
		})
	}

	itSimulated("given attempts that have ended, then the other nodes are asked about the waiting one only", func(s *testbed) {
		f := s.newStopFixture()
		f.takeSlot(longWork)
		replies := f.begin(f.stopping, lendRoute, "a", shortWork) // turned away by the full queue first, then it waits
		asked := f.stopping.outcomeCount(fencing.CountAsked)
		f.stop(f.stopping)
		f.expectRefused(<-replies, "a", answersDue)
		Expect(f.stopping.outcomeCount(fencing.CountAsked) - asked).To(Equal(1))
	})

	// The node beside the upstream decides who is first. A 503 for a request that ran would be worse than silence.
	itSimulated("given a slot that comes free at the moment of the withdrawal, then it gets its answer, or a 503 and never runs", func(s *testbed) {
		f := s.newStopFixture()
		refused, answered := 0, 0
		const offsets, step = 24, 500 * time.Microsecond
		for i := range offsets {
			node := s.startNode(10+i, unreachableControllers)
			node.controlClient.Adopt(stopConfiguration(), true)
			node.peers.ApplyObservations("core-2", true, []*wire.Observation{{NodeStatus: f.other.nodeStatus()}})
			expectAnswered(f.roundTrip(node, lendRoute, "warm", shortWork))
			id := fmt.Sprint("a", i)
			blocker := f.takeSlot(lastStart + 63*time.Millisecond)
			replies := f.begin(node, lendRoute, id, shortWork)
			time.Sleep(20*time.Millisecond + time.Duration(i-offsets/2)*step)
			node.shutdown.begin()
			reply := <-replies
			Expect(reply.err).NotTo(HaveOccurred())
			Expect(s.Clock.Mono() - node.shutdown.startedAt).To(BeNumerically("~", lastStart, 50*time.Millisecond))
			<-blocker
			time.Sleep(time.Second)
			if reply.status == http.StatusOK {
				answered++
				Expect(f.ran(id)).To(Equal(1))
				continue
			}
			refused++
			Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
			Expect(f.ran(id)).To(BeZero())
		}
		Expect(refused).To(BeNumerically(">", 5))
		Expect(answered).To(BeNumerically(">", 5))
	})

	itSimulated("given that the other node can't be asked, then it gets no promise that it has not run", func(s *testbed) {
		f := s.newStopFixture()
		f.takeSlot(longWork)
		replies := f.begin(f.stopping, lendRoute, "a", shortWork)
		f.stop(f.stopping)
		f.sleepUntil(whenRejecting)
		for _, link := range [][2]string{{"10.9.1.1", "10.9.1.2"}, {"10.9.1.2", "10.9.1.1"}} {
			s.World.Cut(link[0], link[1])
		}
		reply := <-replies
		Expect(reply.err).NotTo(HaveOccurred())
		Expect(reply.status).To(Equal(http.StatusBadGateway))
		s.World.HealAll()
	})

	itSimulated("given that the other node stops as well and goes first, then it is answered 503 and never runs", func(s *testbed) {
		f := s.newStopFixture()
		f.takeSlot(longWork)
		replies := f.begin(f.stopping, lendRoute, "a", shortWork)
		s.Go(f.other.Stop)
		time.Sleep(500 * time.Millisecond)
		f.stop(f.stopping)
		f.expectRefused(<-replies, "a", answersDue)
	})

	itSimulated("given a reload in the stop, then it is answered 503 all the same", func(s *testbed) {
		f := s.newStopFixture()
		f.takeSlot(longWork)
		replies := f.begin(f.stopping, lendRoute, "a", shortWork)
		f.stop(f.stopping)
		f.sleepUntil(whileDraining)
		Expect(f.stopping.Reload(f.stopping.params)).To(Succeed())
		f.expectRefused(<-replies, "a", answersDue)
	})
})

var _ = ginkgo.Describe("a request that waits at the stopping node", func() {
	itSimulated("given another upstream, when requests are rejected, then that one runs it", func(s *testbed) {
		f := s.newStopFixture()
		f.addWorker(f.stopping, 1)
		f.begin(f.stopping, lendRoute, "own", longWork) // one of the two has the slot of the node's own upstream
		f.begin(f.stopping, lendRoute, "other", 2*time.Second)
		replies := f.begin(f.stopping, lendRoute, "a", shortWork)
		f.stop(f.stopping)
		expectAnswered(<-replies)
		Expect(f.ran("a")).To(Equal(1))
	})
	itSimulated("given no other upstream, when requests are rejected, then it is answered 503 at once and never runs", func(s *testbed) {
		f := s.newStopFixture()
		f.other.instance.Leave("i-" + f.other.params.Name)
		f.stopping.peers.InstanceGone(f.other.params.Name, "i-"+f.other.params.Name)
		f.addWorker(f.stopping, 1)
		f.begin(f.stopping, lendRoute, "own", longWork)
		replies := f.begin(f.stopping, lendRoute, "a", shortWork)
		f.stop(f.stopping)
		f.expectRefused(<-replies, "a", whenRejecting+100*time.Millisecond)
	})
	itSimulated("given that it is a client's of another node, then it is told at once and gets an answer there", func(s *testbed) {
		f := s.newStopFixture()
		f.takeSlot(longWork)
		replies := f.begin(f.third, lendRoute, "a", shortWork)
		f.stop(f.other)
		f.expectRefused(<-replies, "a", whenRejecting+100*time.Millisecond)
	})
	itSimulated("given that it is a client's of another node and there is a second upstream, then that one runs it", func(s *testbed) {
		f := s.newStopFixture()
		f.takeSlot(longWork)
		replies := f.begin(f.third, lendRoute, "a", shortWork)
		f.addWorker(f.third, 1)
		f.stop(f.other)
		expectAnswered(<-replies)
		Expect(f.ran("a")).To(Equal(1))
	})
	itSimulated("given routes that take longer and shorter than the time left, when a slot comes free, then only the shorter one is begun", func(s *testbed) {
		f := s.newStopFixture()
		f.slowDown(f.other, 2500*time.Millisecond)
		blocker := f.takeSlot(2 * time.Second)
		long := f.begin(f.stopping, seekRoute, "long", shortWork)
		f.stop(f.other)
		expectAnswered(<-blocker)
		reply := <-long
		Expect(reply.at).To(BeNumerically(">", time.Second))
		expectAnswered(f.roundTrip(f.third, lendRoute, "short", shortWork))
		f.expectRefused(reply, "long", whenRejecting)
	})
})

var _ = ginkgo.Describe("a request that arrives in a stop", func() {
	for _, route := range []string{lendRoute, seekRoute} {
		itSimulated("given an open connection, while the node drains, then it is answered and the connection closes, "+route, func(s *testbed) {
			f := s.newStopFixture()
			conn := f.open(f.stopping)
			f.stop(f.stopping)
			f.sleepUntil(whileDraining)
			expectAnswered(f.exchange(conn, route, "a", shortWork))
			_, err := conn.Read(make([]byte, 1))
			Expect(err).To(HaveOccurred())
		})
		itSimulated("given an open connection, once requests are rejected, then it is answered 503 at once and never runs, "+route, func(s *testbed) {
			f := s.newStopFixture()
			running := f.begin(f.stopping, lendRoute, "running", whenRejecting+300*time.Millisecond)
			conn := f.open(f.stopping)
			f.stop(f.stopping)
			f.sleepUntil(whenRejecting)
			f.expectRefused(f.exchange(conn, route, "a", shortWork), "a", whenRejecting+50*time.Millisecond)
			expectAnswered(<-running)
		})
		// Guards against a body that ends late being passed on and then cut off.
		itSimulated("given a body that ends once requests are rejected, then it is answered 503 at once and never runs, "+route, func(s *testbed) {
			f := s.newStopFixture()
			conn := f.open(f.stopping)
			head := strings.Replace(stopRequest(route, "a", shortWork), "\r\n\r\n", "\r\nContent-Length: 10\r\n\r\n", 1)
			_, _ = io.WriteString(conn, strings.Replace(head, "GET", "POST", 1)+"half!")
			f.stop(f.stopping)
			f.sleepUntil(whenRejecting)
			_, _ = io.WriteString(conn, "whole")
			f.expectRefused(f.receive(conn), "a", whenRejecting+50*time.Millisecond)
		})
	}
	itSimulated("given a body that doesn't end, then the connection closes at the end of the stop and nothing runs", func(s *testbed) {
		f := s.newStopFixture()
		conn := f.open(f.stopping)
		head := strings.Replace(stopRequest(lendRoute, "a", shortWork), "\r\n\r\n", "\r\nContent-Length: 10\r\n\r\n", 1)
		_, _ = io.WriteString(conn, strings.Replace(head, "GET", "POST", 1)+"half!")
		f.stop(f.stopping)
		reply := f.receive(conn)
		Expect(reply.err).To(HaveOccurred())
		Expect(reply.at).To(BeNumerically("~", connectsEnd, 100*time.Millisecond))
		Expect(f.ran("a")).To(BeZero())
	})
	itSimulated("given a route that takes longer than the time left, then it is answered 503 at once and never runs", func(s *testbed) {
		f := s.newStopFixture()
		for f.stopping.latencies.Mean(seekRoute) < 4*time.Second {
			f.stopping.latencies.Record(seekRoute, stopGrace)
		}
		conn := f.open(f.stopping)
		f.stop(f.stopping)
		f.sleepUntil(whileDraining)
		f.expectRefused(f.exchange(conn, seekRoute, "a", shortWork), "a", whileDraining+50*time.Millisecond)
	})
})

var _ = ginkgo.Describe("a client that a stopping node rejects", func() {
	itSimulated("given a node that is about to end, then the client is told to come back when the process has ended at the latest, and not before", func(s *testbed) {
		f := s.newStopFixture()
		conn := f.open(f.stopping)
		f.stop(f.stopping)
		f.sleepUntil(base.ScaleDuration(stopGrace, clientDrainRatio+peerDrainRatio) + 10*time.Millisecond)
		reply := f.exchange(conn, seekRoute, "a", shortWork)
		Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
		retryAfter, err := strconv.ParseFloat(reply.retryAfter, 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.at + time.Duration(retryAfter*float64(time.Second))).To(BeNumerically("~", base.ScaleDuration(stopGrace, stopDeadlineRatio), 20*time.Millisecond))
	})
})

var _ = ginkgo.Describe("a request between two attempts in a stop", func() {
	itSimulated("given that the time for attempts is over, then no other one starts and it is answered 503", func(s *testbed) {
		f := s.newStopFixture()
		f.takeSlot(lastStart)
		tries := 0
		s.Serve("10.9.1.3:8080", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			tries++
			f.sleepUntil(lastStart + 100*time.Millisecond)
			w.Header()[forwarding.DefaultHeaderNames.RequestID] = r.Header[forwarding.DefaultHeaderNames.RequestID]
			w.Header().Set(forwarding.DefaultHeaderNames.NotRun, "full")
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		Expect(f.third.Heartbeat(&wire.Instance{Id: "i-app-3", Service: books, Address: "10.9.1.3:8080", Zone: "a", Capacity: 1})).To(BeNil())
		f.stopping.peers.ApplyObservations("core-2", true, []*wire.Observation{{NodeStatus: f.third.nodeStatus()}})
		replies := f.begin(f.stopping, lendRoute, "a", shortWork)
		f.stop(f.stopping)
		f.expectRefused(<-replies, "a", lastStart+200*time.Millisecond)
		Expect(tries).To(Equal(1))
	})
	// The attempt may overtake or be overtaken by the query that withdraws it.
	ginkgo.It("given an attempt that is being withdrawn, when the other node knows its mark no longer, then it isn't sent again", func() {
		attempt := &sentAttempt{reference: attempts.Reference{ID: "first"}}
		Expect(attempt.renew(attempts.Reference{ID: "second"})).To(BeTrue())
		Expect(attempt.startWithdrawal().ID).To(BeEquivalentTo("second"))
		Expect(attempt.renew(attempts.Reference{ID: "third"})).To(BeFalse())
	})
})

var _ = ginkgo.Describe("a request that runs in a stop", func() {
	for _, route := range []string{lendRoute, seekRoute} {
		itSimulated("given that it ends before the last answers are due, then it gets the upstream's answer, "+route, func(s *testbed) {
			f := s.newStopFixture()
			replies := f.begin(f.stopping, route, "a", answersDue-100*time.Millisecond)
			f.stop(f.stopping)
			expectAnswered(<-replies)
		})
		itSimulated("given that it ends later, then it gets an answer in time that promises nothing, "+route, func(s *testbed) {
			f := s.newStopFixture()
			replies := f.begin(f.stopping, route, "a", longWork)
			f.stop(f.stopping)
			reply := <-replies
			Expect(reply.err).NotTo(HaveOccurred())
			Expect(reply.status).To(Equal(http.StatusBadGateway))
			Expect(reply.at).To(BeNumerically("~", answersDue, 50*time.Millisecond))
			Expect(f.ran("a")).To(Equal(1))
		})
	}
})

var _ = ginkgo.Describe("an answer that is streamed in a stop", func() {
	// stream starts an answer that ends at a moment of the stop, and returns whether it arrived whole, and when.
	stream := func(s *testbed, end time.Duration) (reply stopReply) {
		f := s.newStopFixture()
		part := strings.Repeat("x", upstreamAnswerBuffer)
		s.Serve("10.9.1.3:8080", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(forwarding.DefaultHeaderNames.Seal, "whole")
			w.Header()[forwarding.DefaultHeaderNames.RequestID] = r.Header[forwarding.DefaultHeaderNames.RequestID]
			_, _ = io.WriteString(w, part+part)
			_ = http.NewResponseController(w).Flush()
			f.sleepUntil(end)
			_, _ = io.WriteString(w, part)
		}))
		Expect(f.third.Heartbeat(&wire.Instance{Id: "i-app-3", Service: books, Address: "10.9.1.3:8080", Zone: "a", Capacity: 1})).To(BeNil())
		f.stopping.peers.InstanceGone("app-2", "i-app-2")
		f.stopping.peers.ApplyObservations("core-2", true, []*wire.Observation{{NodeStatus: f.third.nodeStatus()}})
		replies := f.begin(f.stopping, seekRoute, "a", shortWork)
		f.stop(f.stopping)
		return <-replies
	}
	itSimulated("given that it ends before the connections close, then it arrives whole", func(s *testbed) {
		reply := stream(s, answersDue)
		expectAnswered(reply)
		Expect(reply.at).To(BeNumerically(">", answersDue))
	})
	itSimulated("given that it ends later, then the client sees it break off", func(s *testbed) {
		reply := stream(s, stopGrace)
		Expect(reply.err).To(HaveOccurred())
		Expect(reply.at).To(BeNumerically("~", connectsEnd, 100*time.Millisecond))
	})
})
