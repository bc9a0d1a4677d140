package connection

import (
	"net"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/testing/simulation"
)

var _ = ginkgo.Describe("an idle connection of a client", func() {
	ginkgo.It("given real sockets, when a connection is overdue, then one with a request on it is left alone and a quiet one closed at the second look", func() {
		clock := &simulation.ManualClock{Now: time.Hour}
		connections := NewClientConnections(clock, time.Second, func() time.Duration { return 10 * time.Second })
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		states := make(chan http.ConnState, 16)
		var served net.Conn
		server := &http.Server{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
			ConnState: func(conn net.Conn, state http.ConnState) {
				connections.StateChanged(conn, state)
				served = conn
				states <- state
			},
		}
		go func() { _ = server.Serve(listener) }()
		defer func() { _ = server.Close() }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
		Eventually(states).Should(Receive(Equal(http.StateIdle)))
		clock.Now += 11500 * time.Millisecond
		connections.Sweep()
		Expect(connections.idle).To(HaveKey(served))
		other, there := net.Pipe()
		defer func() { _ = other.Close() }()
		connections.StateChanged(spoken{there}, http.StateIdle)
		clock.Now += 11500 * time.Millisecond
		connections.Sweep()
		Eventually(states).Should(Receive(Equal(http.StateClosed)))
		connections.Sweep()
		Expect(connections.idle).To(HaveKey(net.Conn(spoken{there})), "something has come on it")
	})
})

// spoken is a connection on which something has come that nobody has read.
type spoken struct{ net.Conn }

func (spoken) Quiet() bool { return false }
