package dataplane

import (
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/proto/wire"
)

var controllerNames = []string{"core-1", "core-2", "core-3"}

// peerObservation returns what a controller reports about node app-2.
func peerObservation(absent bool) []*wire.Observation {
	return []*wire.Observation{{Absent: absent, NodeStatus: &wire.NodeStatus{
		Node: "app-2", Incarnation: "one", Number: 1, Inward: "10.9.1.2:7002", Zone: "a", Service: books,
		Instance: &wire.Instance{Id: "i-2", Service: books, Address: "10.9.1.2:8080", Zone: "a", Capacity: 4},
	}}}
}

var _ = ginkgo.Describe("a reachable peer that the controllers report absent", func() {
	itSimulated("given a peer that answers and that all controllers report absent, when clients send requests, then it serves all of them", func(s *testbed) {
		node, peer := s.startNode(1, unreachableControllers), s.startNode(2, unreachableControllers)
		for _, n := range []*Node{node, peer} {
			n.controlClient.Adopt(testConfiguration(1), true)
		}
		s.addUpstream(peer, 4, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("found")) })
		observation := &wire.Observation{NodeStatus: peer.nodeStatus()}
		for _, controller := range controllerNames {
			node.peers.ApplyObservations(controller, true, []*wire.Observation{observation})
		}
		for i := range 30 {
			reply := s.get(node.params.Outward, "/search/1", requestHeader(forwarding.FormatMillis(time.Duration(i)*time.Millisecond), 4*time.Second))
			Expect(reply.status).To(Equal(http.StatusOK))
			for _, controller := range controllerNames {
				node.peers.ApplyObservations(controller, false, []*wire.Observation{{NodeStatus: peer.nodeStatus(), Absent: true}})
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
})
