package dataplane

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"curlewreach/base"
	"curlewreach/internal/dataplane/admission"
	"curlewreach/internal/dataplane/forwarding"
	"curlewreach/internal/testing/simulation"
)

const (
	slowLinkMbps    = 11
	largeAnswerSize = 300_000
)

// largeTransferTime is what one large answer takes of the thin link's part that is used.
var largeTransferTime = backlogAfter(largeAnswerSize)

// backlogAfter is the backlog of a thin link that so many bytes were just put on.
func backlogAfter(bytes int64) time.Duration {
	pacer := admission.NewLinkPacer(&simulation.ManualClock{}, slowLinkMbps)
	pacer.Pass(context.Background(), bytes)
	return pacer.Backlog()
}

func (s *testbed) startSlowLinkNode() *Node {
	n := s.startNode(1, unreachableControllers)
	n.linkPacer = admission.NewLinkPacer(s.Clock, slowLinkMbps)
	n.controlClient.Adopt(testConfiguration(1), true)
	s.addUpstream(n, 32, func(w http.ResponseWriter, r *http.Request) {
		size := 200
		if strings.HasPrefix(r.URL.Path, "/archive/") {
			size = largeAnswerSize
		}
		_, _ = w.Write(make([]byte, size))
	})
	return n
}

func peerRequestHeader(id string, route string, patience time.Duration) http.Header {
	header := requestHeader(id, 5*time.Second)
	header[forwarding.MetadataHeader] = []string{forwarding.Metadata{Service: books, Route: route, Serial: 1, Patience: patience, Aim: patience, Stay: 4 * time.Second}.String()}
	return header
}

var _ = ginkgo.Describe("a thin link", func() {
	itSimulated("given six large answers at once, when an index lookup comes, then they leave one after the other and the lookup at once", func(s *testbed) {
		n := s.startSlowLinkNode()
		took := make([]time.Duration, 6)
		for i := range took {
			s.Go(func() {
				t := s.get(n.params.Inward, fmt.Sprint("/archive/", i), peerRequestHeader(fmt.Sprint("large-", i), "archive", 4*time.Second))
				Expect(t.size).To(Equal(largeAnswerSize))
				took[i] = t.elapsed
			})
		}
		time.Sleep(100 * time.Millisecond)
		lookup := s.get(n.params.Inward, "/index/1", peerRequestHeader("small", "index", time.Second))
		Expect(lookup.status).To(Equal(http.StatusOK))
		Expect(lookup.elapsed).To(BeNumerically("<", 30*time.Millisecond))
		s.Wait()
		longest := time.Duration(0)
		for _, each := range took {
			longest = max(longest, each)
		}
		Expect(longest).To(BeNumerically(">", 5*largeTransferTime-2*admission.PacerBurst), "the link would have been full")
		Expect(longest).To(BeNumerically("<", 6*largeTransferTime))
	})

	itSimulated("given a link with more to send than a large request's aim has room for, when another comes, then it is told at once when to come back, and a lookup still passes", func(s *testbed) {
		n := s.startSlowLinkNode()
		s.get(n.params.Inward, "/archive/first", peerRequestHeader("first", "archive", 4*time.Second))
		for i := range 4 {
			s.Go(func() {
				s.get(n.params.Inward, fmt.Sprint("/archive/", i), peerRequestHeader(fmt.Sprint("large-", i), "archive", 4*time.Second))
			})
		}
		time.Sleep(100 * time.Millisecond)
		t := s.get(n.params.Inward, "/archive/late", peerRequestHeader("late", "archive", 300*time.Millisecond))
		o, known := forwarding.ParseOutcome(t.outcome)
		Expect(known).To(BeTrue(), "it was carried")
		Expect(o.Kind).To(Equal(base.Overloaded))
		Expect(o.State).To(Equal(forwarding.NotRun))
		Expect(o.Arrived).To(BeFalse())
		Expect(o.After).To(BeNumerically(">", 3*largeTransferTime))
		Expect(t.elapsed).To(BeNumerically("<", 20*time.Millisecond))
		Expect(s.get(n.params.Inward, "/index/1", peerRequestHeader("small", "index", 300*time.Millisecond)).status).To(Equal(http.StatusOK))
		s.Wait()
	})

	// Not so yet: an answer that waits for its turn is counted among what is owed as well.
	itSimulated("given large answers that wait for their turn, when the backlog is asked for, then each counts once", func(s *testbed) {
		n := s.startSlowLinkNode()
		s.get(n.params.Inward, "/archive/first", peerRequestHeader("first", "archive", 4*time.Second))
		for i := range 4 {
			s.Go(func() {
				s.get(n.params.Inward, fmt.Sprint("/archive/", i), peerRequestHeader(fmt.Sprint("large-", i), "archive", 4*time.Second))
			})
		}
		time.Sleep(100 * time.Millisecond)
		backlog := n.linkPacer.Backlog()
		s.Wait()
		Expect(backlog).To(BeNumerically("<=", 5*largeTransferTime))
	})
})
