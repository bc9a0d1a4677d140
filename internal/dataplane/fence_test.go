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

// breakage is what happens to a connection between nodes once a request that may not be repeated is written to it.
type breakage int

const (
	intact breakage = iota
	// lostRequest loses what was written and resets the connection.
	lostRequest
	// lateRequest resets it for the sender, and what was written arrives all the same after a while.
	lateRequest
	// resetAfter delivers the request and resets at once.
	resetAfter
	// lostAnswer delivers the request and resets once the answer is on its way.
	lostAnswer
)

const lateBy = 120 * time.Millisecond

// brittleNet breaks the connections of one node as a script says, one entry for each request that bears an attempt's identity.
type brittleNet struct {
	base.Net
	mu     sync.Mutex
	script []breakage
	after  func()
}

func (n *brittleNet) next() breakage {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.script) == 0 {
		return intact
	}
	first := n.script[0]
	n.script = n.script[1:]
	return first
}

func (n *brittleNet) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.Net.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &brittleConn{Conn: conn, net: n}, nil
}

type brittleConn struct {
	net.Conn
	net    *brittleNet
	broken breakage
}

func (c *brittleConn) Write(data []byte) (int, error) {
	if !bytes.Contains(data, []byte(forwarding.AttemptHeader)) {
		return c.Conn.Write(data)
	}
	c.broken = c.net.next()
	switch c.broken {
	case lostRequest:
		_ = c.Conn.Close()
	case lateRequest:
		copied := bytes.Clone(data)
		time.AfterFunc(lateBy, func() { _, _ = c.Conn.Write(copied) })
	default:
		n, err := c.Conn.Write(data)
		if c.broken != intact && c.net.after != nil {
			c.net.after()
		}
		return n, err
	}
	return len(data), nil
}

func (c *brittleConn) Read(into []byte) (int, error) {
	if c.broken != intact && c.broken != lostAnswer {
		return 0, syscall.ECONNRESET
	}
	n, err := c.Conn.Read(into)
	if c.broken == lostAnswer {
		return 0, syscall.ECONNRESET
	}
	return n, err
}

func (c *brittleConn) Close() error {
	if c.broken == lateRequest {
		return nil
	}
	return c.Conn.Close()
}

// nodePair is a node beside a client, another beside the only upstream, and what that upstream ran.
type nodePair struct {
	*stand
	near, far *Node
	net       *brittleNet
	ran       simulation.EventCounter
	work      time.Duration
	size      int
}

func fenceConfiguration() *wire.Configuration {
	c := aConfiguration(1)
	service := books
	c.Routes = append(c.Routes, &wire.ConfigurationRoute{Name: "lend", Host: "books.example", Prefix: "/lend/", Repeat: wire.Repeat_ONCE, CutoffMs: 4000, AimMs: 1000, Rank: 1, Tries: 2, Service: &service})
	return c
}

func (s *stand) nodePair() *nodePair {
	p := &nodePair{stand: s, net: &brittleNet{}, work: 5 * time.Millisecond, size: 100}
	s.Wrap = func(net base.Net) base.Net {
		p.net.Net = net
		return p.net
	}
	p.near = s.node(1, noControllers)
	s.Wrap = nil
	p.far = s.node(2, noControllers)
	for _, n := range []*Node{p.near, p.far} {
		n.control.Adopt(fenceConfiguration(), true)
	}
	s.seat(p.far, 1, func(w http.ResponseWriter, r *http.Request) {
		p.ran.Add(r.Header.Get(forwarding.DefaultHeaderNames.RequestID), 1)
		time.Sleep(p.work)
		if r.Context().Err() != nil {
			p.ran.Add("dropped", 1)
		}
		_, _ = w.Write(bytes.Repeat([]byte(r.Header.Get(forwarding.DefaultHeaderNames.RequestID)[:1]), p.size))
	})
	p.near.peers.ApplyObservations("keel", true, []*wire.Observation{{NodeStatus: p.far.nodeStatus()}})
	return p
}

func (p *nodePair) runs(id string) int { return p.ran.Add(id, 0) }

func (p *nodePair) lend(id string) said {
	return p.ask(p.near.params.Outward, "/lend/1", asking(id, 2*time.Second))
}

// acquainted lets the near node learn the far one's mark.
func (p *nodePair) acquainted(script ...breakage) {
	ExpectWithOffset(1, p.lend("warm").status).To(Equal(http.StatusOK))
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.net.script = script
}

func (n *Node) counted(what string) int {
	count, known := n.counts.Get(what)
	if !known {
		return 0
	}
	return int(count.Load())
}

var _ = ginkgo.Describe("a connection between nodes that breaks", func() {
	story("given a request that never left, when the other node is asked, then it is tried again there and runs once", func(s *stand) {
		p := s.nodePair()
		p.acquainted(lostRequest)
		Expect(p.lend("a").status).To(Equal(http.StatusOK))
		Expect(p.runs("a")).To(Equal(1))
		Expect(p.near.counted(fencing.CountBroken)).To(Equal(1))
		Expect(p.near.counted(fencing.CountIndeterminate)).To(BeZero())
		Expect(p.near.counted(fencing.CountReplied + "never_began")).To(Equal(1))
	})

	story("given connections that break before every request, when the rejects are used up, then the promise not to have run is given and kept", func(s *stand) {
		p := s.nodePair()
		script := make([]breakage, 2*retry.MaxAttempts)
		for i := range script {
			script[i] = lostRequest
		}
		p.acquainted(script...)
		t := p.lend("a")
		Expect(t.status).To(Equal(http.StatusServiceUnavailable))
		Expect(t.again).To(BeNumerically(">", 0))
		time.Sleep(time.Second)
		Expect(p.runs("a")).To(BeZero())
	})

	story("given a request that arrives after its fence, when it comes, then it is turned away and runs once in all", func(s *stand) {
		p := s.nodePair()
		p.acquainted(lateRequest)
		Expect(p.lend("a").status).To(Equal(http.StatusOK))
		time.Sleep(time.Second)
		Expect(p.runs("a")).To(Equal(1))
		Expect(p.far.counted(fencing.CountRefused)).To(Equal(1), "the late one came")
	})

	story("given a request at work, when the connection breaks, then its answer is fetched whole and it runs once", func(s *stand) {
		p := s.nodePair()
		p.work, p.size = 600*time.Millisecond, 40_000
		p.acquainted(resetAfter)
		t := p.lend("a")
		Expect(t.status).To(Equal(http.StatusOK))
		Expect(t.bytes).To(Equal(40_000))
		Expect(t.took).To(BeNumerically("<", p.work+100*time.Millisecond))
		Expect(p.runs("a")).To(Equal(1))
		Expect(p.runs("dropped")).To(BeZero())
		Expect(p.near.counted(fencing.CountFetched)).To(Equal(1))
	})

	story("given a request that finished, when its answer is lost between the nodes, then it is fetched whole and runs once", func(s *stand) {
		p := s.nodePair()
		p.acquainted(lostAnswer)
		t := p.lend("a")
		Expect(t.status).To(Equal(http.StatusOK))
		Expect(t.bytes).To(Equal(p.size))
		Expect(p.runs("a")).To(Equal(1))
		Expect(p.near.counted(fencing.CountReplied + "finished")).To(Equal(1))
	})

	story("given an answer larger than what is held, when it is lost, then doubt stays and it runs once", func(s *stand) {
		p := s.nodePair()
		p.size = fencing.MaxAnswerBytes + 1
		p.acquainted(lostAnswer)
		Expect(p.lend("a").status).To(Equal(http.StatusBadGateway))
		Expect(p.runs("a")).To(Equal(1))
		Expect(p.near.counted(fencing.CountIndeterminate)).To(Equal(1))
	})

	story("given a request turned away by a full gate, when that word is lost, then it is told when to come back", func(s *stand) {
		p := s.nodePair()
		p.work = 1500 * time.Millisecond
		p.net.script = []breakage{intact, lostAnswer}
		s.Go(func() { p.lend("first") })
		time.Sleep(50 * time.Millisecond)
		p.near.fences.Learn(p.far.params.Name, p.far.fences.Table.CurrentMark())
		t := p.ask(p.near.params.Outward, "/lend/1", asking("a", 300*time.Millisecond))
		Expect(t.status).To(Equal(http.StatusServiceUnavailable))
		Expect(t.again).To(BeNumerically(">", 0))
		Expect(p.near.counted(fencing.CountReplied + "turned_away")).To(Equal(1))
		s.Wait()
		Expect(p.runs("a")).To(BeZero())
	})

	story("given a node that was another incarnation when the request began, when it is asked, then doubt stays", func(s *stand) {
		p := s.nodePair()
		p.acquainted(lostRequest)
		p.near.fences.Learn(p.far.params.Name, attempts.Mark{Incarnation: "earlier", Era: 1})
		Expect(p.lend("a").status).To(Equal(http.StatusBadGateway))
		Expect(p.near.counted(fencing.CountReplied + "unknown")).To(Equal(1))
		Expect(p.near.counted(fencing.CountIndeterminate)).To(Equal(1))
	})

	story("given a peer that was never spoken to, when the first connection breaks, then the incarnation known of it will do", func(s *stand) {
		p := s.nodePair()
		p.net.script = []breakage{lostRequest}
		Expect(p.lend("a").status).To(Equal(http.StatusOK))
		Expect(p.near.counted(fencing.CountIndeterminate)).To(BeZero())
		Expect(p.runs("a")).To(Equal(1))
	})

	story("given a peer of which no incarnation is known, when the connection breaks, then nobody is asked and doubt stays", func(s *stand) {
		p := s.nodePair()
		nodeStatus := p.far.nodeStatus()
		nodeStatus.Incarnation, nodeStatus.Number = "", nodeStatus.Number+1
		time.Sleep(time.Millisecond)
		p.near.peers.ApplyObservations("keel", true, []*wire.Observation{{NodeStatus: nodeStatus}})
		p.net.script = []breakage{lostRequest}
		Expect(p.lend("a").status).To(Equal(http.StatusBadGateway))
		Expect(p.near.counted(fencing.CountAsked)).To(BeZero())
		Expect(p.near.counted(fencing.CountNoMark)).To(Equal(1))
	})

	story("given a repeatable request whose repeat could not be paid, when its connection breaks at work, then its answer is fetched", func(s *stand) {
		p := s.nodePair()
		p.acquainted(resetAfter)
		for p.near.retries.Spend(books) {
		}
		p.work = 100 * time.Millisecond
		Expect(p.ask(p.near.params.Outward, "/index/1", asking("a", 2*time.Second)).status).To(Equal(http.StatusOK))
		Expect(p.runs("a")).To(Equal(1))
		Expect(p.near.counted(fencing.CountFetched)).To(Equal(1))
	})

	story("given a mark that the peer has forgotten, when a request bears it, then it is turned away and tried again at once with the new one", func(s *stand) {
		p := s.nodePair()
		p.acquainted()
		old := p.near.fences.MarkOf(p.far.params.Name)
		for i := range 2 * fencing.DefaultEntries {
			p.far.fences.Table.Resolve(attempts.ID(fmt.Sprint(i)), p.far.fences.Table.CurrentMark())
		}
		Expect(p.far.fences.Table.CurrentMark().Era).To(BeNumerically(">", old.Era+3))
		Expect(p.lend("a").status).To(Equal(http.StatusOK))
		Expect(p.far.counted(fencing.CountRefused)).To(Equal(1))
		Expect(p.runs("a")).To(Equal(1))
	})

	story("given a peer that can't be reached any more, when the connection breaks, then the question takes no more than its part of the time left", func(s *stand) {
		p := s.nodePair()
		p.acquainted(resetAfter)
		p.net.after = func() {
			for _, way := range [][2]string{{"10.9.1.1", "10.9.1.2"}, {"10.9.1.2", "10.9.1.1"}} {
				s.World.Cut(way[0], way[1])
			}
		}
		t := p.lend("a")
		Expect(t.status).To(Equal(http.StatusBadGateway))
		Expect(t.took).To(BeNumerically("<", 950*time.Millisecond))
		Expect(p.near.counted(fencing.CountUnanswered)).To(Equal(1))
	})

	story("given a peer that was killed, when nobody listens there any more, then it is asked once and doubt is told at once", func(s *stand) {
		p := s.nodePair()
		p.work = time.Second
		p.acquainted(resetAfter)
		p.net.after = func() { s.World.Crash("10.9.1.2", "10.9.1.2", false) }
		t := p.lend("a")
		Expect(t.status).To(Equal(http.StatusBadGateway))
		Expect(t.took).To(BeNumerically("<", 50*time.Millisecond))
		Expect(p.near.counted(fencing.CountAsked)).To(Equal(1))
	})

	story("given hundreds of peers that have forgotten their first eras, when a node that never spoke to them sends a request, then it is served", func(s *stand) {
		p := s.nodePair()
		for i := range 2 * fencing.DefaultEntries {
			p.far.fences.Table.Resolve(attempts.ID(fmt.Sprint(i)), p.far.fences.Table.CurrentMark())
		}
		var observations []*wire.Observation
		for i := range 400 {
			nodeStatus := p.far.nodeStatus()
			nodeStatus.Node = fmt.Sprint("mate-", i)
			observations = append(observations, &wire.Observation{NodeStatus: nodeStatus})
		}
		p.near.peers.ApplyObservations("keel", true, observations)
		Expect(p.lend("a").status).To(Equal(http.StatusOK))
		Expect(p.far.counted(fencing.CountRefused)).To(Equal(1))
	})

	ginkgo.It("given an answer that bears another request's id, when it is read from a reply, then doubt stays", func() {
		reply := fencing.ReplyFromOutcome(forwarding.Outcome{State: forwarding.Answered, Response: &forwarding.Response{Status: http.StatusOK, Header: http.Header{"Curlew-Attempt": {"other"}}, Body: []byte("x")}})
		doubted := forwarding.IndeterminateOutcome(base.Lost, "broken")
		ownedBy := func(id string) func(*forwarding.Response) bool {
			return func(a *forwarding.Response) bool { return a.Header.Get("Curlew-Attempt") == id }
		}
		Expect(fencing.OutcomeFromReply(reply, ownedBy("mine"), doubted)).To(Equal(doubted))
		Expect(fencing.OutcomeFromReply(reply, ownedBy("other"), doubted).State).To(Equal(forwarding.Answered))
	})

	story("given a visitor who left, when nobody asks for the end of the request, then the upstream is let go of", func(s *stand) {
		p := s.nodePair()
		p.work = 1200 * time.Millisecond
		p.acquainted()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		web := httpserver.NewClient(s.Scope(otherBox))
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.near.params.Outward+"/lend/1", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host, r.Header = "books.example", asking("a", 2*time.Second)
		_, err = web.Do(r)
		Expect(err).To(HaveOccurred())
		time.Sleep(3 * base.Ratio(p.far.params.InForce.AsDuration(), fencing.LingerRatio))
		_, gate, _ := p.far.instance.Current()
		Expect(gate.Load().InFlight).To(BeZero())
		time.Sleep(2 * time.Second)
		Expect(p.runs("dropped")).To(Equal(1))
	})

	story("given a request that waits for its turn, when its visitor leaves, then it never begins and holds no place in the queue", func(s *stand) {
		p := s.nodePair()
		p.work = 400 * time.Millisecond
		p.acquainted()
		s.Go(func() { p.lend("first") })
		time.Sleep(50 * time.Millisecond)
		s.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.near.params.Outward+"/lend/1", nil)
			Expect(err).NotTo(HaveOccurred())
			r.Host, r.Header = "books.example", asking("a", 2*time.Second)
			_, err = httpserver.NewClient(s.Scope(otherBox)).Do(r)
			Expect(err).To(HaveOccurred())
		})
		_, gate, _ := p.far.instance.Current()
		time.Sleep(100 * time.Millisecond)
		Expect(gate.Load().Waiting).To(Equal(1))
		time.Sleep(120 * time.Millisecond)
		Expect(gate.Load().Waiting).To(BeZero())
		s.Wait()
		time.Sleep(2 * time.Second)
		Expect(p.runs("a")).To(BeZero())
	})

	story("given a repeatable request, when it is carried, then it has no identity and nothing is remembered", func(s *stand) {
		p := s.nodePair()
		Expect(p.ask(p.near.params.Outward, "/index/1", asking("a", 2*time.Second)).status).To(Equal(http.StatusOK))
		entries, _ := p.far.fences.Table.Size()
		Expect(entries).To(BeZero())
	})

	story("given a visitor's request whose path looks like a question, when it comes, then it is a request like any other", func(s *stand) {
		p := s.nodePair()
		configuration := fenceConfiguration()
		configuration.Serial = 2
		configuration.Routes = append(configuration.Routes, &wire.ConfigurationRoute{Name: "odd", Host: "books.example", Prefix: fencing.PathPrefix, CutoffMs: 4000, AimMs: 1000, Tries: 2, Service: configuration.Routes[0].Service})
		p.near.control.Adopt(configuration, true)
		Expect(p.ask(p.near.params.Outward, fencing.PathPrefix+"Resolve", asking("a", 2*time.Second)).status).To(Equal(http.StatusOK))
		Expect(p.runs("a")).To(Equal(1))
	})
})
