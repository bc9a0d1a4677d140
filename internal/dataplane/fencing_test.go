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

// connectionFault is what happens to a connection between nodes once a request that may not be repeated is written to it.
type connectionFault int

const (
	noFault connectionFault = iota
	// lostRequest loses what was written and resets the connection.
	lostRequest
	// delayedRequest resets it for the sender, and what was written arrives all the same after a while.
	delayedRequest
	// resetAfterRequest delivers the request and resets at once.
	resetAfterRequest
	// lostAnswer delivers the request and resets once the answer is on its way.
	lostAnswer
)

const requestDelay = 120 * time.Millisecond

// faultyNet breaks the connections of one node as a script says, one entry for each request that bears an attempt's identity.
type faultyNet struct {
	base.Net
	mu         sync.Mutex
	script     []connectionFault
	afterFault func()
}

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

// fencingFixture is a node beside a client, another beside the only upstream, and what that upstream ran.
type fencingFixture struct {
	*testbed
	clientNode, peerNode *Node
	net                  *faultyNet
	executions           simulation.Tally
	workTime             time.Duration
	answerSize           int
}

func fencingConfiguration() *wire.Configuration {
	c := testConfiguration(1)
	service := books
	c.Routes = append(c.Routes, &wire.ConfigurationRoute{Name: "lend", Host: "books.example", Prefix: "/lend/", Repeat: wire.Repeat_ONCE, CutoffMs: 4000, AimMs: 1000, Rank: 1, Tries: 2, Service: &service})
	return c
}

func (s *testbed) newFencingFixture() *fencingFixture {
	p := &fencingFixture{testbed: s, net: &faultyNet{}, workTime: 5 * time.Millisecond, answerSize: 100}
	s.Wrap = func(net base.Net) base.Net {
		p.net.Net = net
		return p.net
	}
	p.clientNode = s.startNode(1, unreachableControllers)
	s.Wrap = nil
	p.peerNode = s.startNode(2, unreachableControllers)
	for _, n := range []*Node{p.clientNode, p.peerNode} {
		n.controlClient.Adopt(fencingConfiguration(), true)
	}
	s.addUpstream(p.peerNode, 1, func(w http.ResponseWriter, r *http.Request) {
		p.executions.Add(r.Header.Get(forwarding.Plain.Attempt), 1)
		time.Sleep(p.workTime)
		if r.Context().Err() != nil {
			p.executions.Add("dropped", 1)
		}
		_, _ = w.Write(bytes.Repeat([]byte(r.Header.Get(forwarding.Plain.Attempt)[:1]), p.answerSize))
	})
	p.clientNode.peers.Heard("keel", true, []*wire.Observation{{NodeStatus: p.peerNode.nodeStatus()}})
	return p
}

func (p *fencingFixture) executionsOf(id string) int { return p.executions.Add(id, 0) }

func (p *fencingFixture) requestOnce(id string) httpReply {
	return p.get(p.clientNode.params.Outward, "/lend/1", requestHeader(id, 2*time.Second))
}

// learnMark lets the near node learn the far one's mark.
func (p *fencingFixture) learnMark(script ...connectionFault) {
	ExpectWithOffset(1, p.requestOnce("warm").status).To(Equal(http.StatusOK))
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.net.script = script
}

func (n *Node) outcomeCount(what string) int {
	count, known := n.outcomeCounts.Get(what)
	if !known {
		return 0
	}
	return int(count.Load())
}

var _ = ginkgo.Describe("a connection between nodes that breaks", func() {
	itSimulated("given a request that never left, when the other node is asked, then it is tried again there and runs once", func(s *testbed) {
		p := s.newFencingFixture()
		p.learnMark(lostRequest)
		Expect(p.requestOnce("a").status).To(Equal(http.StatusOK))
		Expect(p.executionsOf("a")).To(Equal(1))
		Expect(p.clientNode.outcomeCount(fencing.CountBroken)).To(Equal(1))
		Expect(p.clientNode.outcomeCount(fencing.CountDoubt)).To(BeZero())
		Expect(p.clientNode.outcomeCount(fencing.CountReplied + "never_began")).To(Equal(1))
	})

	itSimulated("given connections that break before every request, when the rejects are used up, then the promise not to have run is given and kept", func(s *testbed) {
		p := s.newFencingFixture()
		script := make([]connectionFault, 2*retry.MostAttempts)
		for i := range script {
			script[i] = lostRequest
		}
		p.learnMark(script...)
		t := p.requestOnce("a")
		Expect(t.status).To(Equal(http.StatusServiceUnavailable))
		Expect(t.retryAfter).To(BeNumerically(">", 0))
		time.Sleep(time.Second)
		Expect(p.executionsOf("a")).To(BeZero())
	})

	itSimulated("given a request that arrives after its fence, when it comes, then it is turned away and runs once in all", func(s *testbed) {
		p := s.newFencingFixture()
		p.learnMark(delayedRequest)
		Expect(p.requestOnce("a").status).To(Equal(http.StatusOK))
		time.Sleep(time.Second)
		Expect(p.executionsOf("a")).To(Equal(1))
		Expect(p.peerNode.outcomeCount(fencing.CountRefused)).To(Equal(1), "the late one came")
	})

	itSimulated("given a request at work, when the connection breaks, then its answer is fetched whole and it runs once", func(s *testbed) {
		p := s.newFencingFixture()
		p.workTime, p.answerSize = 600*time.Millisecond, 40_000
		p.learnMark(resetAfterRequest)
		t := p.requestOnce("a")
		Expect(t.status).To(Equal(http.StatusOK))
		Expect(t.size).To(Equal(40_000))
		Expect(t.elapsed).To(BeNumerically("<", p.workTime+100*time.Millisecond))
		Expect(p.executionsOf("a")).To(Equal(1))
		Expect(p.executionsOf("dropped")).To(BeZero())
		Expect(p.clientNode.outcomeCount(fencing.CountFetched)).To(Equal(1))
	})

	itSimulated("given a request that finished, when its answer is lost between the nodes, then it is fetched whole and runs once", func(s *testbed) {
		p := s.newFencingFixture()
		p.learnMark(lostAnswer)
		t := p.requestOnce("a")
		Expect(t.status).To(Equal(http.StatusOK))
		Expect(t.size).To(Equal(p.answerSize))
		Expect(p.executionsOf("a")).To(Equal(1))
		Expect(p.clientNode.outcomeCount(fencing.CountReplied + "finished")).To(Equal(1))
	})

	itSimulated("given an answer larger than what is held, when it is lost, then doubt stays and it runs once", func(s *testbed) {
		p := s.newFencingFixture()
		p.answerSize = fencing.LargestAnswer + 1
		p.learnMark(lostAnswer)
		Expect(p.requestOnce("a").status).To(Equal(http.StatusBadGateway))
		Expect(p.executionsOf("a")).To(Equal(1))
		Expect(p.clientNode.outcomeCount(fencing.CountDoubt)).To(Equal(1))
	})

	itSimulated("given a request turned away by a full gate, when that word is lost, then it is told when to come back", func(s *testbed) {
		p := s.newFencingFixture()
		p.workTime = 1500 * time.Millisecond
		p.net.script = []connectionFault{noFault, lostAnswer}
		s.Go(func() { p.requestOnce("first") })
		time.Sleep(50 * time.Millisecond)
		p.clientNode.fences.Learn(p.peerNode.params.Name, p.peerNode.fences.Table.Mark())
		t := p.get(p.clientNode.params.Outward, "/lend/1", requestHeader("a", 300*time.Millisecond))
		Expect(t.status).To(Equal(http.StatusServiceUnavailable))
		Expect(t.retryAfter).To(BeNumerically(">", 0))
		Expect(p.clientNode.outcomeCount(fencing.CountReplied + "turned_away")).To(Equal(1))
		s.Wait()
		Expect(p.executionsOf("a")).To(BeZero())
	})

	itSimulated("given a node that was another incarnation when the request began, when it is asked, then doubt stays", func(s *testbed) {
		p := s.newFencingFixture()
		p.learnMark(lostRequest)
		p.clientNode.fences.Learn(p.peerNode.params.Name, attempts.Mark{Incarnation: "earlier", Era: 1})
		Expect(p.requestOnce("a").status).To(Equal(http.StatusBadGateway))
		Expect(p.clientNode.outcomeCount(fencing.CountReplied + "unknown")).To(Equal(1))
		Expect(p.clientNode.outcomeCount(fencing.CountDoubt)).To(Equal(1))
	})

	itSimulated("given a peer that was never spoken to, when the first connection breaks, then the incarnation known of it will do", func(s *testbed) {
		p := s.newFencingFixture()
		p.net.script = []connectionFault{lostRequest}
		Expect(p.requestOnce("a").status).To(Equal(http.StatusOK))
		Expect(p.clientNode.outcomeCount(fencing.CountDoubt)).To(BeZero())
		Expect(p.executionsOf("a")).To(Equal(1))
	})

	itSimulated("given a peer of which no incarnation is known, when the connection breaks, then nobody is asked and doubt stays", func(s *testbed) {
		p := s.newFencingFixture()
		nodeStatus := p.peerNode.nodeStatus()
		nodeStatus.Incarnation, nodeStatus.Number = "", nodeStatus.Number+1
		time.Sleep(time.Millisecond)
		p.clientNode.peers.Heard("keel", true, []*wire.Observation{{NodeStatus: nodeStatus}})
		p.net.script = []connectionFault{lostRequest}
		Expect(p.requestOnce("a").status).To(Equal(http.StatusBadGateway))
		Expect(p.clientNode.outcomeCount(fencing.CountAsked)).To(BeZero())
		Expect(p.clientNode.outcomeCount(fencing.CountNoMark)).To(Equal(1))
	})

	itSimulated("given a repeatable request whose repeat could not be paid, when its connection breaks at work, then its answer is fetched", func(s *testbed) {
		p := s.newFencingFixture()
		p.learnMark(resetAfterRequest)
		for p.clientNode.retryBudget.Spend(books) {
		}
		p.workTime = 100 * time.Millisecond
		Expect(p.get(p.clientNode.params.Outward, "/index/1", requestHeader("a", 2*time.Second)).status).To(Equal(http.StatusOK))
		Expect(p.executionsOf("a")).To(Equal(1))
		Expect(p.clientNode.outcomeCount(fencing.CountFetched)).To(Equal(1))
	})

	itSimulated("given a mark that the peer has forgotten, when a request bears it, then it is turned away and tried again at once with the new one", func(s *testbed) {
		p := s.newFencingFixture()
		p.learnMark()
		old := p.clientNode.fences.MarkOf(p.peerNode.params.Name)
		for i := range 2 * fencing.DefaultEntries {
			p.peerNode.fences.Table.Ask(attempts.ID(fmt.Sprint(i)), p.peerNode.fences.Table.Mark())
		}
		Expect(p.peerNode.fences.Table.Mark().Era).To(BeNumerically(">", old.Era+3))
		Expect(p.requestOnce("a").status).To(Equal(http.StatusOK))
		Expect(p.peerNode.outcomeCount(fencing.CountRefused)).To(Equal(1))
		Expect(p.executionsOf("a")).To(Equal(1))
	})

	itSimulated("given a peer that can't be reached any more, when the connection breaks, then the question takes no more than its part of the time left", func(s *testbed) {
		p := s.newFencingFixture()
		p.learnMark(resetAfterRequest)
		p.net.afterFault = func() {
			for _, way := range [][2]string{{"10.9.1.1", "10.9.1.2"}, {"10.9.1.2", "10.9.1.1"}} {
				s.World.Cut(way[0], way[1])
			}
		}
		t := p.requestOnce("a")
		Expect(t.status).To(Equal(http.StatusBadGateway))
		Expect(t.elapsed).To(BeNumerically("<", 950*time.Millisecond))
		Expect(p.clientNode.outcomeCount(fencing.CountSilent)).To(Equal(1))
	})

	itSimulated("given a peer that was killed, when nobody listens there any more, then it is asked once and doubt is told at once", func(s *testbed) {
		p := s.newFencingFixture()
		p.workTime = time.Second
		p.learnMark(resetAfterRequest)
		p.net.afterFault = func() { s.World.Crash("10.9.1.2", "10.9.1.2", false) }
		t := p.requestOnce("a")
		Expect(t.status).To(Equal(http.StatusBadGateway))
		Expect(t.elapsed).To(BeNumerically("<", 50*time.Millisecond))
		Expect(p.clientNode.outcomeCount(fencing.CountAsked)).To(Equal(1))
	})

	itSimulated("given hundreds of peers that have forgotten their first eras, when a node that never spoke to them sends a request, then it is served", func(s *testbed) {
		p := s.newFencingFixture()
		for i := range 2 * fencing.DefaultEntries {
			p.peerNode.fences.Table.Ask(attempts.ID(fmt.Sprint(i)), p.peerNode.fences.Table.Mark())
		}
		var observations []*wire.Observation
		for i := range 400 {
			nodeStatus := p.peerNode.nodeStatus()
			nodeStatus.Node = fmt.Sprint("mate-", i)
			observations = append(observations, &wire.Observation{NodeStatus: nodeStatus})
		}
		p.clientNode.peers.Heard("keel", true, observations)
		Expect(p.requestOnce("a").status).To(Equal(http.StatusOK))
		Expect(p.peerNode.outcomeCount(fencing.CountRefused)).To(Equal(1))
	})

	ginkgo.It("given an answer that bears another request's id, when it is read from a reply, then doubt stays", func() {
		reply := fencing.ResultOf(forwarding.Outcome{State: forwarding.Answered, Answer: &forwarding.Answer{Status: http.StatusOK, Header: http.Header{"Curlew-Attempt": {"other"}}, Body: []byte("x")}})
		doubted := forwarding.Doubt(base.Lost, "broken")
		ownedBy := func(id string) func(*forwarding.Answer) bool {
			return func(a *forwarding.Answer) bool { return a.Header.Get("Curlew-Attempt") == id }
		}
		Expect(fencing.OutcomeOf(reply, ownedBy("mine"), doubted)).To(Equal(doubted))
		Expect(fencing.OutcomeOf(reply, ownedBy("other"), doubted).State).To(Equal(forwarding.Answered))
	})

	itSimulated("given a visitor who left, when nobody asks for the end of the request, then the upstream is let go of", func(s *testbed) {
		p := s.newFencingFixture()
		p.workTime = 1200 * time.Millisecond
		p.learnMark()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		web := httpserver.NewClient(s.Scope(clientIP))
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.clientNode.params.Outward+"/lend/1", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host, r.Header = "books.example", requestHeader("a", 2*time.Second)
		_, err = web.Do(r)
		Expect(err).To(HaveOccurred())
		time.Sleep(3 * base.Ratio(p.peerNode.params.InForce.AsDuration(), fencing.LingerRatio))
		_, gate, _ := p.peerNode.instance.Current()
		Expect(gate.Load().InFlight).To(BeZero())
		time.Sleep(2 * time.Second)
		Expect(p.executionsOf("dropped")).To(Equal(1))
	})

	itSimulated("given a request that waits for its turn, when its visitor leaves, then it never begins and holds no place in the queue", func(s *testbed) {
		p := s.newFencingFixture()
		p.workTime = 400 * time.Millisecond
		p.learnMark()
		s.Go(func() { p.requestOnce("first") })
		time.Sleep(50 * time.Millisecond)
		s.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.clientNode.params.Outward+"/lend/1", nil)
			Expect(err).NotTo(HaveOccurred())
			r.Host, r.Header = "books.example", requestHeader("a", 2*time.Second)
			_, err = httpserver.NewClient(s.Scope(clientIP)).Do(r)
			Expect(err).To(HaveOccurred())
		})
		_, gate, _ := p.peerNode.instance.Current()
		time.Sleep(100 * time.Millisecond)
		Expect(gate.Load().Waiting).To(Equal(1))
		time.Sleep(120 * time.Millisecond)
		Expect(gate.Load().Waiting).To(BeZero())
		s.Wait()
		time.Sleep(2 * time.Second)
		Expect(p.executionsOf("a")).To(BeZero())
	})

	itSimulated("given a repeatable request, when it is carried, then it has no identity and nothing is remembered", func(s *testbed) {
		p := s.newFencingFixture()
		Expect(p.get(p.clientNode.params.Outward, "/index/1", requestHeader("a", 2*time.Second)).status).To(Equal(http.StatusOK))
		entries, _ := p.peerNode.fences.Table.Size()
		Expect(entries).To(BeZero())
	})

	itSimulated("given a visitor's request whose path looks like a question, when it comes, then it is a request like any other", func(s *testbed) {
		p := s.newFencingFixture()
		configuration := fencingConfiguration()
		configuration.Serial = 2
		configuration.Routes = append(configuration.Routes, &wire.ConfigurationRoute{Name: "odd", Host: "books.example", Prefix: fencing.PathPrefix, CutoffMs: 4000, AimMs: 1000, Tries: 2, Service: configuration.Routes[0].Service})
		p.clientNode.controlClient.Adopt(configuration, true)
		Expect(p.get(p.clientNode.params.Outward, fencing.PathPrefix+"Resolve", requestHeader("a", 2*time.Second)).status).To(Equal(http.StatusOK))
		Expect(p.executionsOf("a")).To(Equal(1))
	})
})
