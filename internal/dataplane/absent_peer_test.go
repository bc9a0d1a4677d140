package dataplane

import (
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/proto/wire"
)

var threeControllers = []string{"core-1", "core-2", "core-3"}

func peer(absent bool) []*wire.Observation {
	return []*wire.Observation{{Absent: absent, NodeStatus: &wire.NodeStatus{
		Node: "app-2", Incarnation: "one", Number: 1, Inward: "10.9.1.2:7002", Zone: "a", Service: books,
		Instance: &wire.Instance{Id: "i-2", Service: books, Address: "10.9.1.2:8080", Zone: "a", Capacity: 4},
	}}}
}

var _ = ginkgo.Describe("a peer that the control machines lost observation of", func() {
	story("given a peer that answers and is called absent by all, when visitors come, then all are served by it", func(s *stand) {
		near, far := s.node(1, noControllers), s.node(2, noControllers)
		for _, n := range []*Node{near, far} {
			n.control.Adopt(aConfiguration(1), true)
		}
		s.seat(far, 4, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("found")) })
		observation := &wire.Observation{NodeStatus: far.nodeStatus()}
		for _, controller := range threeControllers {
			near.peers.ApplyObservations(controller, true, []*wire.Observation{observation})
		}
		for i := range 30 {
			t := s.ask(near.params.Outward, "/search/1", asking(forwarding.FormatMillis(time.Duration(i)*time.Millisecond), 4*time.Second))
			Expect(t.status).To(Equal(http.StatusOK))
			for _, controller := range threeControllers {
				near.peers.ApplyObservations(controller, false, []*wire.Observation{{NodeStatus: far.nodeStatus(), Absent: true}})
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
})
