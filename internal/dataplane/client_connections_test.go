package dataplane

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/proto/wire"
)

// reuseRatio is the part of the idle limit after which clients still come back.
const reuseRatio = 0.8

func setIdleLimit(n *Node, serial uint64, idle time.Duration) {
	configuration := testConfiguration(serial)
	configuration.Limits = &wire.ConfigurationLimits{IdleMs: float64(idle.Milliseconds())}
	n.controlClient.Adopt(configuration, true)
}

// idleClient is a client's connection in a bubble.
type idleClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (s *testbed) connectClient(n *Node) *idleClient {
	conn, err := s.Scope(clientIP).Net.Dial(context.Background(), "tcp", n.params.Outward)
	Expect(err).NotTo(HaveOccurred())
	return &idleClient{conn, bufio.NewReader(conn)}
}

func (c *idleClient) get(id string) (*http.Response, error) {
	if _, err := c.conn.Write([]byte("GET /search/x HTTP/1.1\r\nHost: books.example\r\n" + forwarding.Plain.Attempt + ": " + id + "\r\n" + forwarding.Plain.Left + ": 3000\r\n\r\n")); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		err = response.Body.Close()
	}
	return response, err
}

var _ = ginkgo.Describe("an idle connection of a client", func() {
	const long, short = 60 * time.Second, 5 * time.Second
	rest := time.Duration(reuseRatio * float64(long))
	var n *Node
	var client *idleClient
	begin := func(s *testbed, idle time.Duration) {
		seeds, _, _ := s.startControllers(1, 0)
		n = s.startNode(1, seeds)
		setIdleLimit(n, 1, idle)
		s.addUpstream(n, 4, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("pages")) })
		client = s.connectClient(n)
		response, err := client.get("one")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}
	comesBack := func() {
		response, err := client.get("two")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}
	itSimulated("given a limit of a minute, when the client comes back after four fifths of it, then it is answered", func(s *testbed) {
		begin(s, long)
		time.Sleep(rest)
		comesBack()
	})
	itSimulated("given a limit that is lowered while the connection rests, when the client comes back after four fifths of the old one, then it is answered", func(s *testbed) {
		begin(s, long)
		time.Sleep(rest / 2)
		setIdleLimit(n, 2, short)
		time.Sleep(rest / 2)
		comesBack()
	})
	itSimulated("given a limit that is raised while the connection rests, when the client comes back after four fifths of the new one, then it is answered", func(s *testbed) {
		begin(s, short)
		time.Sleep(short / 2)
		setIdleLimit(n, 2, long)
		time.Sleep(rest - short/2)
		comesBack()
	})
	itSimulated("given a raised limit that reaches this node late, when it comes within the bound of being in force, then the connection is still open", func(s *testbed) {
		begin(s, short)
		time.Sleep(short + n.params.InForce.AsDuration())
		setIdleLimit(n, 2, long)
		time.Sleep(rest - short - n.params.InForce.AsDuration())
		comesBack()
	})
	itSimulated("given a node that is told to stop, when the client comes back after four fifths of the limit while it stops, then it is answered and told to go elsewhere", func(s *testbed) {
		begin(s, long)
		other := s.startNode(2, unreachableControllers)
		setIdleLimit(other, 1, long)
		s.addUpstream(other, 4, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("pages")) })
		time.Sleep(rest - time.Second)
		n.peers.Heard("keel", true, []*wire.Observation{{NodeStatus: other.nodeStatus()}})
		s.Go(n.Stop)
		time.Sleep(time.Second)
		response, err := client.get("two")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(response.Close).To(BeTrue())
	})
	itSimulated("given a client that never comes back, when the limit is over, then the connection is closed within the slack and two looks", func(s *testbed) {
		begin(s, short)
		time.Sleep(short + n.params.InForce.AsDuration() + 3*sweepInterval)
		_, err := client.get("two")
		Expect(err).To(HaveOccurred())
	})
})
