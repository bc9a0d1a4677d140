package dataplane

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/attempts"
	"curlewreach/internal/dataplane/fencing"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/dataplane/retry"
	"curlewreach/internal/httpserver"
	"curlewreach/internal/testing/simulation"
	"curlewreach/proto/wire"
)

// connectionFault is what happens to a connection between nodes once a request with an attempt identity is written
// to it.
type connectionFault int

const (
	noFault connectionFault = iota
	// lostRequest discards what was written and resets the connection.
	lostRequest
	// delayedRequest resets the connection for the sender, but delivers what was written after requestDelay.
	delayedRequest
	// resetAfterRequest delivers the request and resets the connection at once.
	resetAfterRequest
	// lostAnswer delivers the request and resets the connection when the answer arrives.
	lostAnswer
)

const requestDelay = 120 * time.Millisecond

// faultyNet breaks connections of one node according to a script, with one entry for each request that carries an
// attempt identity. After the script's end connections stay intact.
type faultyNet struct {
	base.Net
	mu         sync.Mutex
	script     []connectionFault
	afterFault func()
}

// next takes the next fault from the script.
func (n *faultyNet) next() connectionFault {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.script) == 0 {
		return noFault
	}
	first := n.script[0]
	n.script = n.script[1:]
	return first
}

func (n *faultyNet) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.Net.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: conn, net: n}, nil
}

type faultyConn struct {
	net.Conn
	net   *faultyNet
	fault connectionFault
}

func (c *faultyConn) Write(data []byte) (int, error) {
	if !bytes.Contains(data, []byte(forwarding.AttemptHeader)) {
		return c.Conn.Write(data)
	}
	c.fault = c.net.next()
	switch c.fault {
	case lostRequest:
		_ = c.Conn.Close()
	case delayedRequest:
		copied := bytes.Clone(data)
		time.AfterFunc(requestDelay, func() { _, _ = c.Conn.Write(copied) })
	default:
		n, err := c.Conn.Write(data)
		if c.fault != noFault && c.net.afterFault != nil {
			c.net.afterFault()
		}
		return n, err
	}
	return len(data), nil
}

func (c *faultyConn) Read(buffer []byte) (int, error) {
	if c.fault != noFault && c.fault != lostAnswer {
		return 0, syscall.ECONNRESET
	}
	n, err := c.Conn.Read(buffer)
	if c.fault == lostAnswer {
		return 0, syscall.ECONNRESET
	}
	return n, err
}

func (c *faultyConn) Close() error {
	if c.fault == delayedRequest {
		return nil
	}
	return c.Conn.Close()
}

// fencingFixture is a node beside a client, another beside the only upstream, and the requests that the upstream
// ran.
type fencingFixture struct {
	*testbed
	clientNode, peerNode *Node
	net                  *faultyNet
	executions           simulation.EventCounter
	workTime             time.Duration
	answerSize           int
}

// fencingConfiguration adds a route to the test configuration whose requests must not be repeated.
func fencingConfiguration() *wire.Configuration {
	c := testConfiguration(1)
	service := books
	c.Routes = append(c.Routes, &wire.ConfigurationRoute{Name: "lend", Host: "books.example", Prefix: "/lend/", Repeat: wire.Repeat_ONCE, CutoffMs: 4000, AimMs: 1000, Rank: 1, Tries: 2, Service: &service})
	return c
}

// newFencingFixture starts both nodes, with faultyNet between clientNode and peerNode, and an upstream of capacity 1
// beside peerNode.
func (s *testbed) newFencingFixture() *fencingFixture {
	f := &fencingFixture{testbed: s, net: &faultyNet{}, workTime: 5 * time.Millisecond, answerSize: 100}
	s.Wrap = func(net base.Net) base.Net {
		f.net.Net = net
		return f.net
	}
	f.clientNode = s.startNode(1, unreachableControllers)
	s.Wrap = nil
	f.peerNode = s.startNode(2, unreachableControllers)
	for _, n := range []*Node{f.clientNode, f.peerNode} {
		n.controlClient.Adopt(fencingConfiguration(), true)
	}
	s.addUpstream(f.peerNode, 1, func(w http.ResponseWriter, r *http.Request) {
		f.executions.Add(r.Header.Get(forwarding.DefaultHeaderNames.RequestID), 1)
		time.Sleep(f.workTime)
		if r.Context().Err() != nil {
			f.executions.Add("dropped", 1)
		}
		_, _ = w.Write(bytes.Repeat([]byte(r.Header.Get(forwarding.DefaultHeaderNames.RequestID)[:1]), f.answerSize))
	})
	f.clientNode.peers.ApplyObservations("core-2", true, []*wire.Observation{{NodeStatus: f.peerNode.nodeStatus()}})
	return f
}

func (f *fencingFixture) executionsOf(id string) int { return f.executions.Add(id, 0) }

// requestOnce sends a request that must not be repeated.
func (f *fencingFixture) requestOnce(id string) httpReply {
	return f.get(f.clientNode.params.Outward, "/lend/1", requestHeader(id, 2*time.Second))
}

// learnMark sends a request, so that clientNode learns the mark of peerNode, and then sets the script of faults.
func (f *fencingFixture) learnMark(script ...connectionFault) {
	ExpectWithOffset(1, f.requestOnce("warm").status).To(Equal(http.StatusOK))
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	f.net.script = script
}

// outcomeCount returns how often the node has counted an outcome of that name.
func (n *Node) outcomeCount(what string) int {
	count, known := n.outcomeCounts.Get(what)
	if !known {
		return 0
	}
	return int(count.Load())
}

var _ = ginkgo.Describe("a broken connection between nodes", func() {
	itSimulated("given a request that was lost, when the peer is asked about it, then it is sent again and runs once", func(s *testbed) {
		f := s.newFencingFixture()
		f.learnMark(lostRequest)
		Expect(f.requestOnce("a").status).To(Equal(http.StatusOK))
		Expect(f.executionsOf("a")).To(Equal(1))
		Expect(f.clientNode.outcomeCount(fencing.CountBroken)).To(Equal(1))
		Expect(f.clientNode.outcomeCount(fencing.CountIndeterminate)).To(BeZero())
		Expect(f.clientNode.outcomeCount(fencing.CountReplied + "never_began")).To(Equal(1))
	})

	itSimulated("given connections that break before every request, when all attempts are used up, then the answer says that the request has not run, and it never does", func(s *testbed) {
		f := s.newFencingFixture()
		script := make([]connectionFault, 2*retry.MaxAttempts)
		for i := range script {
			script[i] = lostRequest
		}
		f.learnMark(script...)
		reply := f.requestOnce("a")
		Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
		Expect(reply.retryAfter).To(BeNumerically(">", 0))
		time.Sleep(time.Second)
		Expect(f.executionsOf("a")).To(BeZero())
	})

	itSimulated("given a request that arrives after it was fenced, when it comes, then it is rejected and the request runs once in all", func(s *testbed) {
		f := s.newFencingFixture()
		f.learnMark(delayedRequest)
		Expect(f.requestOnce("a").status).To(Equal(http.StatusOK))
		time.Sleep(time.Second)
		Expect(f.executionsOf("a")).To(Equal(1))
		Expect(f.peerNode.outcomeCount(fencing.CountRefused)).To(Equal(1), "the late attempt arrived")
	})

	itSimulated("given a running request, when the connection breaks, then its answer is fetched whole and it runs once", func(s *testbed) {
		f := s.newFencingFixture()
		f.workTime, f.answerSize = 600*time.Millisecond, 40_000
		f.learnMark(resetAfterRequest)
		reply := f.requestOnce("a")
		Expect(reply.status).To(Equal(http.StatusOK))
		Expect(reply.size).To(Equal(40_000))
		Expect(reply.elapsed).To(BeNumerically("<", f.workTime+100*time.Millisecond))
		Expect(f.executionsOf("a")).To(Equal(1))
		Expect(f.executionsOf("dropped")).To(BeZero())
		Expect(f.clientNode.outcomeCount(fencing.CountFetched)).To(Equal(1))
	})

	itSimulated("given a finished request, when its answer is lost between the nodes, then the answer is fetched whole and the request runs once", func(s *testbed) {
		f := s.newFencingFixture()
		f.learnMark(lostAnswer)
		reply := f.requestOnce("a")
		Expect(reply.status).To(Equal(http.StatusOK))
		Expect(reply.size).To(Equal(f.answerSize))
		Expect(f.executionsOf("a")).To(Equal(1))
		Expect(f.clientNode.outcomeCount(fencing.CountReplied + "finished")).To(Equal(1))
	})

	itSimulated("given an answer that is too large to be kept, when it is lost, then the outcome stays unknown and the request runs once", func(s *testbed) {
		f := s.newFencingFixture()
		f.answerSize = fencing.MaxAnswerBytes + 1
		f.learnMark(lostAnswer)
		Expect(f.requestOnce("a").status).To(Equal(http.StatusBadGateway))
		Expect(f.executionsOf("a")).To(Equal(1))
		Expect(f.clientNode.outcomeCount(fencing.CountIndeterminate)).To(Equal(1))
	})

	itSimulated("given a request that a full queue rejects, when the rejection is lost, then the client still gets a retry time", func(s *testbed) {
		f := s.newFencingFixture()
		f.workTime = 1500 * time.Millisecond
		// The peer measures the work, so that it expects no slot within the time left of the request that follows.
		f.get(f.peerNode.params.Outward, "/lend/1", requestHeader("measured", 2*time.Second))
		f.net.script = []connectionFault{noFault, lostAnswer}
		s.Go(func() { f.requestOnce("first") })
		time.Sleep(50 * time.Millisecond)
		f.clientNode.fences.Learn(f.peerNode.params.Name, f.peerNode.fences.Table.CurrentMark())
		reply := f.get(f.clientNode.params.Outward, "/lend/1", requestHeader("a", 300*time.Millisecond))
		Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
		Expect(reply.retryAfter).To(BeNumerically(">", 0))
		Expect(f.clientNode.outcomeCount(fencing.CountReplied + "turned_away")).To(Equal(1))
		s.Wait()
		Expect(f.executionsOf("a")).To(BeZero())
	})

	itSimulated("given a peer that was another incarnation when the request began, when it is asked, then the outcome stays unknown", func(s *testbed) {
		f := s.newFencingFixture()
		f.learnMark(lostRequest)
		f.clientNode.fences.Learn(f.peerNode.params.Name, attempts.Mark{Incarnation: "earlier", Era: 1})
		Expect(f.requestOnce("a").status).To(Equal(http.StatusBadGateway))
		Expect(f.clientNode.outcomeCount(fencing.CountReplied + "unknown")).To(Equal(1))
		Expect(f.clientNode.outcomeCount(fencing.CountIndeterminate)).To(Equal(1))
	})

	itSimulated("given a peer that never answered a request, when the first connection breaks, then its known incarnation is enough to ask it", func(s *testbed) {
		f := s.newFencingFixture()
		f.net.script = []connectionFault{lostRequest}
		Expect(f.requestOnce("a").status).To(Equal(http.StatusOK))
		Expect(f.clientNode.outcomeCount(fencing.CountIndeterminate)).To(BeZero())
		Expect(f.executionsOf("a")).To(Equal(1))
	})

	itSimulated("given a peer with an unknown incarnation, when the connection breaks, then it isn't asked and the outcome stays unknown", func(s *testbed) {
		f := s.newFencingFixture()
		nodeStatus := f.peerNode.nodeStatus()
		nodeStatus.Incarnation, nodeStatus.Number = "", nodeStatus.Number+1
		time.Sleep(time.Millisecond)
		f.clientNode.peers.ApplyObservations("core-2", true, []*wire.Observation{{NodeStatus: nodeStatus}})
		f.net.script = []connectionFault{lostRequest}
		Expect(f.requestOnce("a").status).To(Equal(http.StatusBadGateway))
		Expect(f.clientNode.outcomeCount(fencing.CountAsked)).To(BeZero())
		Expect(f.clientNode.outcomeCount(fencing.CountNoMark)).To(Equal(1))
	})

	itSimulated("given a repeatable request and an exhausted retry budget, when its connection breaks while it runs, then its answer is fetched", func(s *testbed) {
		f := s.newFencingFixture()
		f.learnMark(resetAfterRequest)
		for f.clientNode.retryBudget.Spend(books) {
		}
		f.workTime = 100 * time.Millisecond
		Expect(f.get(f.clientNode.params.Outward, "/index/1", requestHeader("a", 2*time.Second)).status).To(Equal(http.StatusOK))
		Expect(f.executionsOf("a")).To(Equal(1))
		Expect(f.clientNode.outcomeCount(fencing.CountFetched)).To(Equal(1))
	})

	itSimulated("given a mark that the peer has forgotten, when a request carries it, then it is rejected and sent again at once with the current mark", func(s *testbed) {
		f := s.newFencingFixture()
		f.learnMark()
		old := f.clientNode.fences.MarkOf(f.peerNode.params.Name)
		for i := range 2 * fencing.DefaultEntries {
			f.peerNode.fences.Table.Resolve(attempts.ID(fmt.Sprint(i)), f.peerNode.fences.Table.CurrentMark())
		}
		Expect(f.peerNode.fences.Table.CurrentMark().Era).To(BeNumerically(">", old.Era+3))
		Expect(f.requestOnce("a").status).To(Equal(http.StatusOK))
		Expect(f.peerNode.outcomeCount(fencing.CountRefused)).To(Equal(1))
		Expect(f.executionsOf("a")).To(Equal(1))
	})

	itSimulated("given a peer that became unreachable, when the connection breaks, then the question takes no more than its part of the time left", func(s *testbed) {
		f := s.newFencingFixture()
		f.learnMark(resetAfterRequest)
		f.net.afterFault = func() {
			for _, link := range [][2]string{{"10.9.1.1", "10.9.1.2"}, {"10.9.1.2", "10.9.1.1"}} {
				s.World.Cut(link[0], link[1])
			}
		}
		reply := f.requestOnce("a")
		Expect(reply.status).To(Equal(http.StatusBadGateway))
		Expect(reply.elapsed).To(BeNumerically("<", 950*time.Millisecond))
		Expect(f.clientNode.outcomeCount(fencing.CountUnanswered)).To(Equal(1))
	})

	itSimulated("given a peer that was killed, when nothing listens on its address, then it is asked once and the outcome is reported as unknown at once", func(s *testbed) {
		f := s.newFencingFixture()
		f.workTime = time.Second
		f.learnMark(resetAfterRequest)
		f.net.afterFault = func() { s.World.Crash("10.9.1.2", "10.9.1.2", false) }
		reply := f.requestOnce("a")
		Expect(reply.status).To(Equal(http.StatusBadGateway))
		Expect(reply.elapsed).To(BeNumerically("<", 50*time.Millisecond))
		Expect(f.clientNode.outcomeCount(fencing.CountAsked)).To(Equal(1))
	})

	itSimulated("given hundreds of peers that have forgotten their first eras, when a node without their marks sends a request, then it is served", func(s *testbed) {
		f := s.newFencingFixture()
		for i := range 2 * fencing.DefaultEntries {
			f.peerNode.fences.Table.Resolve(attempts.ID(fmt.Sprint(i)), f.peerNode.fences.Table.CurrentMark())
		}
		var observations []*wire.Observation
		for i := range 400 {
			nodeStatus := f.peerNode.nodeStatus()
			nodeStatus.Node = fmt.Sprint("peer-", i)
			observations = append(observations, &wire.Observation{NodeStatus: nodeStatus})
		}
		f.clientNode.peers.ApplyObservations("core-2", true, observations)
		Expect(f.requestOnce("a").status).To(Equal(http.StatusOK))
		Expect(f.peerNode.outcomeCount(fencing.CountRefused)).To(Equal(1))
	})

	ginkgo.It("given an answer with another request's ID, when it is read from a reply, then the outcome stays unknown", func() {
		reply := fencing.ReplyFromOutcome(forwarding.Outcome{State: forwarding.Answered, Response: &forwarding.Response{Status: http.StatusOK, Header: http.Header{"Curlew-Attempt": {"other"}}, Body: []byte("x")}})
		doubted := forwarding.IndeterminateOutcome(base.ResponseLost, "broken")
		ownedBy := func(id string) func(*forwarding.Response) bool {
			return func(response *forwarding.Response) bool { return response.Header.Get("Curlew-Attempt") == id }
		}
		Expect(fencing.OutcomeFromReply(reply, ownedBy("mine"), doubted)).To(Equal(doubted))
		Expect(fencing.OutcomeFromReply(reply, ownedBy("other"), doubted).State).To(Equal(forwarding.Answered))
	})

	itSimulated("given a client that disconnected, when nobody asks for the result of its request, then the connection to the upstream is closed", func(s *testbed) {
		f := s.newFencingFixture()
		f.workTime = 1200 * time.Millisecond
		f.learnMark()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		client := httpserver.NewClient(s.Scope(clientIP))
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.clientNode.params.Outward+"/lend/1", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host, r.Header = "books.example", requestHeader("a", 2*time.Second)
		_, err = client.Do(r)
		Expect(err).To(HaveOccurred())
		time.Sleep(3 * base.ScaleDuration(f.peerNode.params.InForce.AsDuration(), fencing.LingerRatio))
		_, queue, _ := f.peerNode.instance.Current()
		Expect(queue.Load().InFlight).To(BeZero())
		time.Sleep(2 * time.Second)
		Expect(f.executionsOf("dropped")).To(Equal(1))
	})

	itSimulated("given a request that waits in the queue, when its client disconnects, then it never begins and leaves the queue", func(s *testbed) {
		f := s.newFencingFixture()
		f.workTime = 400 * time.Millisecond
		f.learnMark()
		s.Go(func() { f.requestOnce("first") })
		time.Sleep(50 * time.Millisecond)
		s.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.clientNode.params.Outward+"/lend/1", nil)
			Expect(err).NotTo(HaveOccurred())
			r.Host, r.Header = "books.example", requestHeader("a", 2*time.Second)
			_, err = httpserver.NewClient(s.Scope(clientIP)).Do(r)
			Expect(err).To(HaveOccurred())
		})
		_, queue, _ := f.peerNode.instance.Current()
		time.Sleep(100 * time.Millisecond)
		Expect(queue.Load().Waiting).To(Equal(1))
		time.Sleep(120 * time.Millisecond)
		Expect(queue.Load().Waiting).To(BeZero())
		s.Wait()
		time.Sleep(2 * time.Second)
		Expect(f.executionsOf("a")).To(BeZero())
	})

	itSimulated("given a repeatable request, when it is forwarded, then it has no identity and nothing is remembered", func(s *testbed) {
		f := s.newFencingFixture()
		Expect(f.get(f.clientNode.params.Outward, "/index/1", requestHeader("a", 2*time.Second)).status).To(Equal(http.StatusOK))
		entries, _ := f.peerNode.fences.Table.Size()
		Expect(entries).To(BeZero())
	})

	itSimulated("given a client request whose path looks like a question, when it arrives, then it is handled like any other request", func(s *testbed) {
		f := s.newFencingFixture()
		configuration := fencingConfiguration()
		configuration.Serial = 2
		configuration.Routes = append(configuration.Routes, &wire.ConfigurationRoute{Name: "odd", Host: "books.example", Prefix: fencing.PathPrefix, CutoffMs: 4000, AimMs: 1000, Tries: 2, Service: configuration.Routes[0].Service})
		f.clientNode.controlClient.Adopt(configuration, true)
		Expect(f.get(f.clientNode.params.Outward, fencing.PathPrefix+"Resolve", requestHeader("a", 2*time.Second)).status).To(Equal(http.StatusOK))
		Expect(f.executionsOf("a")).To(Equal(1))
	})
})
