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
	fullPeer := func(s *stand) (near *Node, asked *simulation.EventCounter) {
		near, asked = s.node(1, noControllers), &simulation.EventCounter{}
		near.control.Adopt(aConfiguration(1), true)
		s.Serve("10.9.1.2:7002", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked.Add("asked", 1)
			o := forwarding.NotRunOutcome(base.NewFault(base.Overloaded, "", "every slot is taken").WithRetryAfter(10 * time.Millisecond))
			w.Header()[forwarding.DefaultHeaderNames.Canonical().RequestID] = r.Header[forwarding.DefaultHeaderNames.Canonical().RequestID]
			w.Header()[forwarding.LoadHeader] = []string{forwarding.LoadReport{Load: admission.Load{InFlight: 4, Waiting: 4, Limit: 4, ServiceTimeMs: 100}}.String()}
			w.Header()[forwarding.OutcomeHeader] = []string{o.String()}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		for _, controller := range threeControllers {
			near.peers.ApplyObservations(controller, true, peer(false))
		}
		time.Sleep(time.Second)
		return near, asked
	}

	story("given a peer known to be full, when a visitor comes with time to spare, then that peer is asked once and the visitor told", func(s *stand) {
		near, asked := fullPeer(s)
		for i := range 3 {
			near.peers.AttemptBegun("app-2")
			near.peers.AttemptEnded("app-2", &forwarding.LoadReport{Load: admission.Load{InFlight: 4, Waiting: 4, Limit: 4, ServiceTimeMs: 100}}, 0, 0, false)
			before := asked.Add("asked", 0)
			t := s.ask(near.params.Outward, "/search/1", asking(fmt.Sprint("visitor-", i), 4*time.Second))
			Expect(t.status).To(Equal(http.StatusServiceUnavailable))
			Expect(t.again).To(BeNumerically(">", 0))
			Expect(t.took).To(BeNumerically("<", 100*time.Millisecond))
			Expect(asked.Add("asked", 0) - before).To(Equal(1))
		}
	})

	// Not so yet: a first try without patience stays in the ledger as a place that may be asked with patience, however often it was.
	story("given a full peer that looks free, when a visitor comes with time to spare, then that peer is asked twice at most", func(s *stand) {
		near, asked := fullPeer(s)
		t := s.ask(near.params.Outward, "/search/1", asking("visitor", 4*time.Second))
		Expect(t.status).To(Equal(http.StatusServiceUnavailable))
		Expect(asked.Add("asked", 0)).To(BeNumerically("<=", 2))
	})
})
