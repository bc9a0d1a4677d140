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
	"curlewreach/proto/wire"
)

const (
	slowLinkMegabits = 11
	largeAnswerSize  = 300_000
)

// largeTransferTime is how long one large answer occupies the paced part of the slow link.
var largeTransferTime = backlogAfter(largeAnswerSize)

// backlogAfter returns the backlog of an empty slow link after so many bytes.
func backlogAfter(bytes int64) time.Duration {
	pacer := admission.NewLinkPacer(&simulation.ManualClock{}, slowLinkMegabits)
	pacer.Wait(context.Background(), bytes)
	return pacer.Backlog()
}

// startSlowLinkNode starts a node with a slow network link, whose upstream answers /archive/ with large bodies and
// other paths with small ones.
func (s *testbed) startSlowLinkNode() *Node {
	n := s.startNode(1, unreachableControllers)
	n.linkPacer = admission.NewLinkPacer(s.Clock, slowLinkMegabits)
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

// peerRequestHeader returns the header of a request that a peer forwards.
func peerRequestHeader(id string, route string, patience time.Duration) http.Header {
	header := requestHeader(id, 5*time.Second)
	header[forwarding.MetadataHeader] = []string{forwarding.Metadata{Service: books, Route: route, Serial: 1, MayWait: true, WantedStartIn: patience, LatestStartIn: patience}.String()}
	return header
}

var _ = ginkgo.Describe("a slow link", func() {
	itSimulated("given six large answers at once, when a small one follows, then the large ones are sent one after the other and the small one at once", func(s *testbed) {
		n := s.startSlowLinkNode()
		took := make([]time.Duration, 6)
		for i := range took {
			s.Go(func() {
				reply := s.get(n.params.Inward, fmt.Sprint("/archive/", i), peerRequestHeader(fmt.Sprint("large-", i), "archive", 4*time.Second))
				Expect(reply.size).To(Equal(largeAnswerSize))
				took[i] = reply.elapsed
			})
		}
		time.Sleep(100 * time.Millisecond)
		small := s.get(n.params.Inward, "/index/1", peerRequestHeader("small", "index", time.Second))
		Expect(small.status).To(Equal(http.StatusOK))
		Expect(small.elapsed).To(BeNumerically("<", 30*time.Millisecond))
		s.Wait()
		longest := time.Duration(0)
		for _, each := range took {
			longest = max(longest, each)
		}
		Expect(longest).To(BeNumerically(">", 5*largeTransferTime-2*admission.PacerBurst), "large answers were not paced")
		Expect(longest).To(BeNumerically("<", 6*largeTransferTime))
	})

	itSimulated("given a backlog that exceeds the time within which a large request must start, when it arrives, then it is rejected at once with a retry time, and a small one is still served", func(s *testbed) {
		n := s.startSlowLinkNode()
		s.get(n.params.Inward, "/archive/first", peerRequestHeader("first", "archive", 4*time.Second))
		for range 4 {
			s.Go(func() { n.linkPacer.Wait(context.Background(), largeAnswerSize) })
		}
		time.Sleep(100 * time.Millisecond)
		reply := s.get(n.params.Inward, "/archive/late", peerRequestHeader("late", "archive", 300*time.Millisecond))
		o, known := forwarding.ParseOutcome(reply.outcome)
		Expect(known).To(BeTrue(), "the request was not rejected")
		Expect(o.Kind).To(Equal(base.Overloaded))
		Expect(o.State).To(Equal(forwarding.NotRun))
		Expect(o.ReachedUpstream).To(BeFalse())
		Expect(o.RetryAfter).To(BeNumerically(">", 3*largeTransferTime))
		Expect(reply.elapsed).To(BeNumerically("<", 20*time.Millisecond))
		Expect(s.get(n.params.Inward, "/index/1", peerRequestHeader("small", "index", 300*time.Millisecond)).status).To(Equal(http.StatusOK))
		s.Wait()
	})

	// Guards against counting an answer that waits to be sent among the expected answers as well.
	itSimulated("given large answers that wait to be sent, when the backlog is read, then each counts once", func(s *testbed) {
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

var _ = ginkgo.Describe("a request for a large answer while every link is busy", func() {
	const count = 9
	// startBusy starts nodes, each of which sends a number of large answers, and one that knows them as peers.
	startBusy := func(s *testbed, answers int) (client *Node) {
		client = s.startNode(count+1, unreachableControllers)
		client.controlClient.Adopt(testConfiguration(1), true)
		var statuses []*wire.Observation
		for i := range count {
			n := s.startNode(i+1, unreachableControllers)
			n.linkPacer = admission.NewLinkPacer(s.Clock, slowLinkMegabits)
			n.controlClient.Adopt(testConfiguration(1), true)
			s.addUpstream(n, 32, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, largeAnswerSize)) })
			n.linkPacer.Reserve("archive")(largeAnswerSize)
			for range answers {
				s.Go(func() { n.linkPacer.Wait(context.Background(), largeAnswerSize) })
			}
			statuses = append(statuses, &wire.Observation{NodeStatus: n.nodeStatus()})
		}
		client.peers.ApplyObservations("core-1", true, statuses)
		time.Sleep(time.Millisecond)
		return client
	}

	// Guards against a call that is given up because no upstream's link is free at once.
	itSimulated("given links that each send one answer, then it waits for one of them and is served", func(s *testbed) {
		client := startBusy(s, 1)
		reply := s.get(client.params.Outward, "/archive/late", requestHeader("late", 5*time.Second))
		Expect(reply.status).To(Equal(http.StatusOK))
		Expect(reply.size).To(Equal(largeAnswerSize))
		s.Wait()
	})

	// Guards against a link in front of which everybody waits until the deadline.
	itSimulated("given links in front of which answers wait, then it is rejected at once and told when there is a link, although it has time left", func(s *testbed) {
		client := startBusy(s, 4)
		reply := s.get(client.params.Outward, "/archive/late", requestHeader("late", 5*time.Second))
		Expect(reply.status).To(Equal(http.StatusServiceUnavailable))
		Expect(reply.elapsed).To(BeNumerically("<", 50*time.Millisecond))
		Expect(reply.retryAfter).To(BeNumerically("~", 4*largeTransferTime, largeTransferTime))
		s.Wait()
	})
})
