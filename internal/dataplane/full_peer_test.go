package dataplane

import (
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/dataplane/admission"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/testing/simulation"
)

var _ = ginkgo.Describe("a full queue", func() {
	fullPeer := func(s *testbed) (node *Node, requests *simulation.EventCounter) {
		node, requests = s.startNode(1, unreachableControllers), &simulation.EventCounter{}
		node.controlClient.Adopt(testConfiguration(1), true)
		s.Serve("10.9.1.2:7002", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests.Add("asked", 1)
			o := forwarding.NotRunOutcome(base.NewFault(base.Overloaded, "", "every slot is taken").WithRetryAfter(10 * time.Millisecond))
			w.Header()[forwarding.DefaultHeaderNames.Canonical().RequestID] = r.Header[forwarding.DefaultHeaderNames.Canonical().RequestID]
			w.Header()[forwarding.LoadHeader] = []string{forwarding.LoadReport{Load: admission.Load{InFlight: 4, Waiting: 4, Limit: 4, ServiceTimeMs: 100}}.String()}
			w.Header()[forwarding.OutcomeHeader] = []string{o.String()}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		for _, controller := range controllerNames {
			node.peers.ApplyObservations(controller, true, peerObservation(false))
		}
		time.Sleep(time.Second)
		return node, requests
	}

	itSimulated("given a peer known to be full, when a client sends a request with a long timeout, then the peer is asked once and the request is rejected", func(s *testbed) {
		node, requests := fullPeer(s)
		for i := range 3 {
			node.peers.AttemptBegun("app-2")
			node.peers.AttemptEnded("app-2", &forwarding.LoadReport{Load: admission.Load{InFlight: 4, Waiting: 4, Limit: 4, ServiceTimeMs: 100}}, 0, 0, false)
			before := requests.Add("asked", 0)
			reply := s.get(node.params.Outward, "/search/1", requestHeader(fmt.Sprint("request-", i), 4*time.Second))
			Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
			Expect(reply.retryAfter).To(BeNumerically(">", 0))
			Expect(reply.elapsed).To(BeNumerically("<", 100*time.Millisecond))
			Expect(requests.Add("asked", 0) - before).To(Equal(1))
		}
	})

	// An attempt that accepts no wait leaves the peer open to another that does, so that without a limit a full peer
	// could be asked again and again.
	itSimulated("given a full peer that seems to have free slots, when a client sends a request with a long timeout, then the peer is asked at most twice", func(s *testbed) {
		node, requests := fullPeer(s)
		reply := s.get(node.params.Outward, "/search/1", requestHeader("request", 4*time.Second))
		Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
		Expect(requests.Add("asked", 0)).To(BeNumerically("<=", 2))
	})
})
