package replica

import (
	"testing"
	"time"

	"curlewreach/proto/wire"
)

// answerAll answers what a machine has asked, and what it asks then, in the name of its voters but for one answer that
// the test changes.
func answerAll(m *Machine, membership *wire.Membership, change func(request Request, reply *wire.ReplicaReply)) (results []Result) {
	for range 20 {
		out := m.TakeOutput()
		results = append(results, out.Results...)
		if out.Save != nil {
			m.HandleSaved(m.now, out.Save.Number, true)
		}
		for _, request := range out.Requests {
			reply := &wire.ReplicaReply{From: request.To, Generation: membership.Generation, Membership: membership}
			if request.Payload.GetStatus() != nil {
				reply.Registers = map[string]*wire.Register{}
			}
			change(request, reply)
			m.HandleReply(m.now, request.ID, reply)
		}
	}
	return results
}

// TestReplyOfAnotherIdentityIsNotCounted: at the addresses of b and c there are other replicas now.
func TestReplyOfAnotherIdentityIsNotCounted(t *testing.T) {
	membership := generationOf(1, "a", "b", "c")
	m := voterOf(membership, "a")
	m.Change(time.Second, 1, "k", func([]byte) ([]byte, error) { return []byte("one;"), nil })
	results := answerAll(m, membership, func(_ Request, reply *wire.ReplicaReply) { reply.From += "/again" })
	if len(results) != 1 || results[0].Err == nil {
		t.Fatalf("a change by the votes of strangers ends with %v", results)
	}
}

// TestStatusOfAnotherGenerationIsNotCounted: a learner that knows generation 1 asks its voters; b is in generation 2.
func TestStatusOfAnotherGenerationIsNotCounted(t *testing.T) {
	membership := generationOf(1, "a", "b", "c")
	m := voterOf(membership, "d")
	m.state, m.durable, m.learned = &wire.ReplicaState{Id: "d"}, &wire.ReplicaState{Id: "d"}, membership
	m.QuorumRead(time.Second, 1, "k")
	results := answerAll(m, membership, func(request Request, reply *wire.ReplicaReply) {
		switch request.To {
		case "b":
			reply.Generation, reply.Membership = 2, generationOf(2, "b", "d", "e")
		case "c":
			reply.Standing = wire.Standing_SEALED
		}
	})
	if len(results) != 1 || results[0].MajorityReplied {
		t.Fatalf("a survey across two generations ends with %v", results)
	}
}
