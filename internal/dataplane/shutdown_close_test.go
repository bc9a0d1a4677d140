package dataplane

import (
	"fmt"
	"math/rand/v2"
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
