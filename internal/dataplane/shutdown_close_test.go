package dataplane

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
)

// Guards against a request that the node has read, and whose connection it closes in place of the answer.
var _ = ginkgo.Describe("requests that arrive while a stop closes the connections", func() {
	ginkgo.It("given many open connections, when a request comes on each about the time at which the node ends, then each that the node has read is answered", func() {
		const connections = 400
		f := newRequestFixture(false)
		defer f.close()
		clients := make([]*client, connections)
		for i := range clients {
			clients[i] = f.connect()
		}
		// With nothing in flight the node ends requiredIdleChecks checks after it has begun to reject.
		grace := f.clientNode.params.Grace.AsDuration()
		end := time.Duration((clientDrainRatio+peerDrainRatio)*float64(grace)) + requiredIdleChecks*idleCheckInterval
		var refused atomic.Int64
		var senders sync.WaitGroup
		startedAt, stopped := time.Now(), make(chan struct{})
		go func() {
			defer close(stopped)
			f.clientNode.Stop()
		}()
		for i, c := range clients {
			senders.Go(func() {
				time.Sleep(time.Until(startedAt.Add(end + time.Duration((rand.Float64()-0.7)*float64(30*time.Millisecond)))))
				_, _ = c.conn.Write([]byte(rawRequest(fmt.Sprint("case-", i), once, nil)))
				if c.receive().status == http.StatusServiceUnavailable {
					refused.Add(1)
				}
			})
		}
		senders.Wait()
		<-stopped
		Expect(refused.Load()).To(BeEquivalentTo(f.clientNode.outcomeCount(string(base.Stopping))))
	})
})

// unreadConnection is a client's connection with a request on it that the server has not read yet.
type unreadConnection struct{ net.Conn }

func (unreadConnection) Quiet() bool { return false }

// Guards against a request that has come, but that the server has had no processor time to read when the node ends.
var _ = ginkgo.Describe("a request that nobody has read when a stop would end", func() {
	ginkgo.It("given a connection with data that was not read, when nothing else is in flight, then the node ends once it is read, and not before", func() {
		f := newRequestFixture(false)
		defer f.close()
		n := f.clientNode
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		n.clientConnections.StateChanged(unreadConnection{near}, http.StateIdle)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			n.Stop()
		}()
		rejecting := time.Duration((clientDrainRatio + peerDrainRatio) * float64(n.params.Grace.AsDuration()))
		Consistently(stopped, rejecting+3*requiredIdleChecks*idleCheckInterval).ShouldNot(BeClosed())
		n.clientConnections.StateChanged(unreadConnection{near}, http.StateClosed)
		Eventually(stopped).Should(BeClosed())
	})
})
