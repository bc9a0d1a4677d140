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

// reuseRatio is the part of the idle limit after which a client reuses its connection.
const reuseRatio = 0.8

// setIdleLimit puts a configuration with the given idle limit in force at a node.
func setIdleLimit(n *Node, serial uint64, idle time.Duration) {
	configuration := testConfiguration(serial)
	configuration.Limits = &wire.ConfigurationLimits{IdleMs: float64(idle.Milliseconds())}
	n.controlClient.Adopt(configuration, true)
}

// idleClient is a client with one connection in a simulation.
type idleClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (s *testbed) connectClient(n *Node) *idleClient {
	conn, err := s.Scope(clientIP).Net.Dial(context.Background(), "tcp", n.params.Outward)
	Expect(err).NotTo(HaveOccurred())
	return &idleClient{conn, bufio.NewReader(conn)}
}

// get sends a request on the client's only connection and reads the response.
func (c *idleClient) get(id string) (*http.Response, error) {
	if _, err := c.conn.Write([]byte("GET /search/x HTTP/1.1\r\nHost: books.example\r\n" + forwarding.DefaultHeaderNames.RequestID + ": " + id + "\r\n" + forwarding.DefaultHeaderNames.TimeLeft + ": 3000\r\n\r\n")); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		err = response.Body.Close()
	}
	return response, err
}

var _ = ginkgo.Describe("an idle connection of a client", func() {
	const longLimit, shortLimit = 60 * time.Second, 5 * time.Second
	idleTime := time.Duration(reuseRatio * float64(longLimit))
	var n *Node
	var client *idleClient
	setUp := func(s *testbed, idle time.Duration) {
		seeds, _, _ := s.startControllers(1, 0)
		n = s.startNode(1, seeds)
		setIdleLimit(n, 1, idle)
		s.addUpstream(n, 4, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("pages")) })
		client = s.connectClient(n)
		response, err := client.get("one")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}
	expectServed := func() {
		response, err := client.get("two")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}
	itSimulated("given a limit of a minute, when the client sends a request after four fifths of it, then it is answered", func(s *testbed) {
		setUp(s, longLimit)
		time.Sleep(idleTime)
		expectServed()
	})
	itSimulated("given a limit that is lowered while the connection is idle, when the client sends a request after four fifths of the old limit, then it is answered", func(s *testbed) {
		setUp(s, longLimit)
		time.Sleep(idleTime / 2)
		setIdleLimit(n, 2, shortLimit)
		time.Sleep(idleTime / 2)
		expectServed()
	})
	itSimulated("given a limit that is raised while the connection is idle, when the client sends a request after four fifths of the new limit, then it is answered", func(s *testbed) {
		setUp(s, shortLimit)
		time.Sleep(shortLimit / 2)
		setIdleLimit(n, 2, longLimit)
		time.Sleep(idleTime - shortLimit/2)
		expectServed()
	})
	itSimulated("given a raised limit that reaches the node late, when it arrives within the in-force bound, then the connection is still open", func(s *testbed) {
		setUp(s, shortLimit)
		time.Sleep(shortLimit + n.params.InForce.AsDuration())
		setIdleLimit(n, 2, longLimit)
		time.Sleep(idleTime - shortLimit - n.params.InForce.AsDuration())
		expectServed()
	})
	itSimulated("given a stopping node, when the client sends a request after four fifths of the limit, then it is answered with Connection: close", func(s *testbed) {
		setUp(s, longLimit)
		other := s.startNode(2, unreachableControllers)
		setIdleLimit(other, 1, longLimit)
		s.addUpstream(other, 4, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("pages")) })
		time.Sleep(idleTime - time.Second)
		n.peers.ApplyObservations("core-2", true, []*wire.Observation{{NodeStatus: other.nodeStatus()}})
		s.Go(n.Stop)
		time.Sleep(time.Second)
		response, err := client.get("two")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(response.Close).To(BeTrue())
	})
	itSimulated("given a client that sends no further request, when the limit is over, then the connection is closed within the in-force bound and a few sweeps", func(s *testbed) {
		setUp(s, shortLimit)
		time.Sleep(shortLimit + n.params.InForce.AsDuration() + 3*sweepInterval)
		_, err := client.get("two")
		Expect(err).To(HaveOccurred())
	})
})
