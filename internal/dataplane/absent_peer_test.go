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

func peerObservation(absent bool) []*wire.Observation {
	return []*wire.Observation{{Absent: absent, NodeStatus: &wire.NodeStatus{
		Node: "app-2", Incarnation: "one", Number: 1, Inward: "10.9.1.2:7002", Zone: "a", Service: books,
		Instance: &wire.Instance{Id: "i-2", Service: books, Address: "10.9.1.2:8080", Zone: "a", Capacity: 4},
	}}}
}

var _ = ginkgo.Describe("a peer that the control machines lost observation of", func() {
	itSimulated("given a peer that answers and is called absent by all, when visitors come, then all are served by it", func(s *testbed) {
		near, far := s.startNode(1, unreachableControllers), s.startNode(2, unreachableControllers)
		for _, n := range []*Node{near, far} {
			n.controlClient.Adopt(testConfiguration(1), true)
		}
		s.addUpstream(far, 4, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("found")) })
		observation := &wire.Observation{NodeStatus: far.nodeStatus()}
		for _, controller := range controllerNames {
			near.peers.Heard(controller, true, []*wire.Observation{observation})
		}
		for i := range 30 {
			t := s.get(near.params.Outward, "/search/1", requestHeader(forwarding.FormatMillis(time.Duration(i)*time.Millisecond), 4*time.Second))
			Expect(t.status).To(Equal(http.StatusOK))
			for _, controller := range controllerNames {
				near.peers.Heard(controller, false, []*wire.Observation{{NodeStatus: far.nodeStatus(), Absent: true}})
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
})
