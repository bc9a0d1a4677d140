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
	ginkgo.It("given real sockets, when a connection is overdue, then one with data to read is left alone and a quiet one is closed by the second sweep", func() {
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
		other, remote := net.Pipe()
		defer func() { _ = other.Close() }()
		connections.StateChanged(readableConn{remote}, http.StateIdle)
		clock.Now += 11500 * time.Millisecond
		connections.Sweep()
		Eventually(states).Should(Receive(Equal(http.StateClosed)))
		connections.Sweep()
		Expect(connections.idle).To(HaveKey(net.Conn(readableConn{remote})), "data is waiting on it")
	})
})

var _ = ginkgo.Describe("the connections of clients", func() {
	ginkgo.It("given a connection with data that nobody has read, or with a request that is not answered, then they are not quiescent", func() {
		connections := NewClientConnections(&simulation.ManualClock{Now: time.Hour}, time.Second, func() time.Duration { return 10 * time.Second })
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		for _, each := range []struct {
			conn      net.Conn
			state     http.ConnState
			quiescent bool
		}{
			{near, http.StateNew, true},
			{near, http.StateActive, false},
			{near, http.StateIdle, true},
			{near, http.StateClosed, true},
			{readableConn{near}, http.StateNew, false},
			{readableConn{near}, http.StateIdle, false},
			{readableConn{near}, http.StateClosed, true},
		} {
			connections.StateChanged(each.conn, each.state)
			Expect(connections.Quiescent()).To(Equal(each.quiescent), "%v", each.state)
		}
	})
})

// readableConn is a connection with data that was not read yet.
type readableConn struct{ net.Conn }

func (readableConn) Quiet() bool { return false }
