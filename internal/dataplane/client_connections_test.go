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

// comebackRatio is the part of the idle limit after which clients still come back.
const comebackRatio = 0.8

func limitIdle(n *Node, serial uint64, idle time.Duration) {
	configuration := aConfiguration(serial)
	configuration.Limits = &wire.ConfigurationLimits{IdleMs: float64(idle.Milliseconds())}
	n.control.Adopt(configuration, true)
}

// resting is a client's connection in a bubble.
type resting struct {
	conn net.Conn
	in   *bufio.Reader
}

func (s *stand) resting(n *Node) *resting {
	conn, err := s.Scope(otherBox).Net.Dial(context.Background(), "tcp", n.params.Outward)
	Expect(err).NotTo(HaveOccurred())
	return &resting{conn, bufio.NewReader(conn)}
}

func (c *resting) ask(id string) (*http.Response, error) {
	if _, err := c.conn.Write([]byte("GET /search/x HTTP/1.1\r\nHost: books.example\r\n" + forwarding.DefaultHeaderNames.RequestID + ": " + id + "\r\n" + forwarding.DefaultHeaderNames.TimeLeft + ": 3000\r\n\r\n")); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.in, nil)
	if err == nil {
		err = response.Body.Close()
	}
	return response, err
}

var _ = ginkgo.Describe("an idle connection of a client", func() {
	const long, short = 60 * time.Second, 5 * time.Second
	rest := time.Duration(comebackRatio * float64(long))
	var n *Node
	var client *resting
	begin := func(s *stand, idle time.Duration) {
		seeds, _, _ := s.standControllers(1, 0)
		n = s.node(1, seeds)
		limitIdle(n, 1, idle)
		s.seat(n, 4, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("pages")) })
		client = s.resting(n)
		response, err := client.ask("one")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}
	comesBack := func() {
		response, err := client.ask("two")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}
	story("given a limit of a minute, when the client comes back after four fifths of it, then it is answered", func(s *stand) {
		begin(s, long)
		time.Sleep(rest)
		comesBack()
	})
	story("given a limit that is lowered while the connection rests, when the client comes back after four fifths of the old one, then it is answered", func(s *stand) {
		begin(s, long)
		time.Sleep(rest / 2)
		limitIdle(n, 2, short)
		time.Sleep(rest / 2)
		comesBack()
	})
	story("given a limit that is raised while the connection rests, when the client comes back after four fifths of the new one, then it is answered", func(s *stand) {
		begin(s, short)
		time.Sleep(short / 2)
		limitIdle(n, 2, long)
		time.Sleep(rest - short/2)
		comesBack()
	})
	story("given a raised limit that reaches this node late, when it comes within the bound of being in force, then the connection is still open", func(s *stand) {
		begin(s, short)
		time.Sleep(short + n.params.InForce.AsDuration())
		limitIdle(n, 2, long)
		time.Sleep(rest - short - n.params.InForce.AsDuration())
		comesBack()
	})
	story("given a node that is told to stop, when the client comes back after four fifths of the limit while it stops, then it is answered and told to go elsewhere", func(s *stand) {
		begin(s, long)
		other := s.node(2, noControllers)
		limitIdle(other, 1, long)
		s.seat(other, 4, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("pages")) })
		time.Sleep(rest - time.Second)
		n.peers.ApplyObservations("keel", true, []*wire.Observation{{NodeStatus: other.nodeStatus()}})
		s.Go(n.Stop)
		time.Sleep(time.Second)
		response, err := client.ask("two")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(response.Close).To(BeTrue())
	})
	story("given a client that never comes back, when the limit is over, then the connection is closed within the slack and two looks", func(s *stand) {
		begin(s, short)
		time.Sleep(short + n.params.InForce.AsDuration() + 3*sweepEvery)
		_, err := client.ask("two")
		Expect(err).To(HaveOccurred())
	})
})
