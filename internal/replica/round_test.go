package replica

import (
	"testing"
	"time"

	"curlewreach/proto/wire"
)

// replyToAll replies to a machine's requests, and to those that follow, on behalf of the voters. change may modify each
// reply.
func replyToAll(m *Machine, membership *wire.Membership, change func(request Request, reply *wire.ReplicaReply)) (results []Result) {
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

// TestReplyOfAnotherIdentityIsNotCounted lets replicas with other identities reply at the addresses of b and c.
func TestReplyOfAnotherIdentityIsNotCounted(t *testing.T) {
	membership := newMembership(1, "a", "b", "c")
	m := newVoter(membership, "a")
	m.Change(time.Second, 1, "k", func([]byte) ([]byte, error) { return []byte("one;"), nil })
	results := replyToAll(m, membership, func(_ Request, reply *wire.ReplicaReply) { reply.From += "/again" })
	if len(results) != 1 || results[0].Err == nil {
		t.Fatalf("a change with the votes of other identities ends with %v", results)
	}
}

// TestStatusOfAnotherGenerationIsNotCounted has a learner that knows generation 1 ask its voters while b is in generation
// 2 and c has sealed generation 1.
func TestStatusOfAnotherGenerationIsNotCounted(t *testing.T) {
	membership := newMembership(1, "a", "b", "c")
	m := newVoter(membership, "d")
	m.state, m.durable, m.learnedMembership = &wire.ReplicaState{Id: "d"}, &wire.ReplicaState{Id: "d"}, membership
	m.QuorumRead(time.Second, 1, "k")
	results := replyToAll(m, membership, func(request Request, reply *wire.ReplicaReply) {
		switch request.To {
		case "b":
			reply.Generation, reply.Membership = 2, newMembership(2, "b", "d", "e")
		case "c":
			reply.Standing = wire.Standing_SEALED
		}
	})
	if len(results) != 1 || results[0].MajorityReplied {
		t.Fatalf("a quorum read across two generations ends with %v", results)
	}
}
