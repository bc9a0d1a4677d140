package dataplane

import (
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/dataplane/admission"
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

func (r *PeerTable) offers(service string) (names []string) {
	for _, each := range r.Options(service, "a", 2, 100*time.Millisecond, func(string) bool { return false }, base.SeededRand(1)) {
		names = append(names, each.node)
	}
	return names
}

var _ = ginkgo.Describe("a peer that the control machines lost observation of", func() {
	heard := func(s *stand) *PeerTable {
		r := NewPeerTable(s.Clock, "app-1", freshSlack)
		for _, controller := range threeControllers {
			r.Heard(controller, true, peer(false))
		}
		time.Sleep(time.Second)
		return r
	}
	lost := func(r *PeerTable) {
		for _, controller := range threeControllers {
			r.Heard(controller, false, peer(true))
		}
	}

	story("given a peer that answers, when every control machine calls it absent, then it stays", func(s *stand) {
		r := heard(s)
		r.Start("app-2")
		r.End("app-2", &forwarding.LoadReport{Load: admission.Load{Limit: 4}}, 100*time.Millisecond, 100*time.Millisecond, true)
		lost(r)
		Expect(r.offers(books)).To(Equal([]string{"app-2"}))
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			lost(r)
			r.Start("app-2")
			r.End("app-2", &forwarding.LoadReport{Load: admission.Load{Limit: 4}}, 100*time.Millisecond, 100*time.Millisecond, true)
			Expect(r.offers(books)).To(Equal([]string{"app-2"}))
			_, there := r.Option("app-2", books)
			Expect(there).To(BeTrue())
		}
	})

	story("given a peer that last answered a while ago, when every control machine calls it absent, then it goes", func(s *stand) {
		r := heard(s)
		r.Start("app-2")
		r.End("app-2", &forwarding.LoadReport{Load: admission.Load{Limit: 4}}, 100*time.Millisecond, 100*time.Millisecond, true)
		time.Sleep(freshSlack + time.Millisecond)
		lost(r)
		Expect(r.offers(books)).To(BeEmpty())
	})

	story("given a peer that answered and then could not be reached, when every control machine calls it absent, then it goes at once", func(s *stand) {
		r := heard(s)
		r.Start("app-2")
		r.End("app-2", &forwarding.LoadReport{Load: admission.Load{Limit: 4}}, 100*time.Millisecond, 100*time.Millisecond, true)
		r.Avoid("app-2")
		lost(r)
		Expect(r.offers(books)).To(BeEmpty())
	})

	story("given a peer that was never asked, when every control machine calls it absent, then it goes; while one still sees it, it stays", func(s *stand) {
		r := heard(s)
		r.Heard("core-1", false, peer(true))
		r.Heard("core-2", false, peer(true))
		Expect(r.offers(books)).To(Equal([]string{"app-2"}))
		r.Heard("core-3", false, peer(true))
		Expect(r.offers(books)).To(BeEmpty())
	})

	story("given a peer that answers and is called absent by all, when visitors come, then all are served by it", func(s *stand) {
		near, far := s.node(1, noControllers), s.node(2, noControllers)
		for _, n := range []*Node{near, far} {
			n.adopt(aConfiguration(1), true)
		}
		s.seat(far, 4, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("found")) })
		observation := &wire.Observation{NodeStatus: far.nodeStatus()}
		for _, controller := range threeControllers {
			near.peers.Heard(controller, true, []*wire.Observation{observation})
		}
		for i := range 30 {
			t := s.ask(near.params.Outward, "/search/1", asking(forwarding.FormatMillis(time.Duration(i)*time.Millisecond), 4*time.Second))
			Expect(t.status).To(Equal(http.StatusOK))
			for _, controller := range threeControllers {
				near.peers.Heard(controller, false, []*wire.Observation{{NodeStatus: far.nodeStatus(), Absent: true}})
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
})
