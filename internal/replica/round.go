package replica

import (
	"slices"

	"curlewreach/proto/wire"
)

// round collects the replies of all voters of one membership to one request.
type round struct {
	membership *wire.Membership
	replies    map[string]*wire.ReplicaReply // by identity; nil if no valid reply came
	closed     bool                          // further replies are ignored
	reported   bool                          // the result has been delivered
}

// poll sends a request to every voter of membership. onReply runs after each reply until it closes the round.
func (m *Machine) poll(membership *wire.Membership, newRequest func() *wire.ReplicaRequest, onReply func(r *round, reply *wire.ReplicaReply)) {
	m.pollEach(membership, func(*wire.Replica) *wire.ReplicaRequest { return newRequest() }, nil, onReply)
}

// pollEach sends each voter its own request. A voter that replies NEEDS_WHOLE, because it lacks the base of a delta, is
// sent newFullRequest in addition.
func (m *Machine) pollEach(membership *wire.Membership, newRequest func(*wire.Replica) *wire.ReplicaRequest, newFullRequest func() *wire.ReplicaRequest, onReply func(r *round, reply *wire.ReplicaReply)) {
	r := &round{membership: membership, replies: map[string]*wire.ReplicaReply{}}
	for _, voter := range membership.Voters {
		record := func(reply *wire.ReplicaReply) {
			if r.closed {
				return
			}
			if reply != nil && reply.From != voter.Id {
				reply = nil // a replica with another identity now uses the address
			}
			r.replies[voter.Id] = reply
			onReply(r, reply)
		}
		m.send(voter.Address, newRequest(voter), func(reply *wire.ReplicaReply) {
			if newFullRequest != nil && reply.GetStanding() == wire.Standing_NEEDS_WHOLE && !r.closed {
				m.send(voter.Address, newFullRequest(), record)
				return
			}
			record(reply)
		})
	}
}

// count returns how many replies match.
func (r *round) count(matches func(*wire.ReplicaReply) bool) int {
	count := 0
	for _, reply := range r.replies {
		if reply != nil && matches(reply) {
			count++
		}
	}
	return count
}

// grants reports whether a reply grants the request in the round's own generation.
func (r *round) grants(reply *wire.ReplicaReply) bool {
	return reply != nil && reply.Standing == wire.Standing_GRANTED && reply.Generation == r.membership.Generation
}

func (r *round) granted() int { return r.count(r.grants) }

// complete reports whether all voters have replied or timed out.
func (r *round) complete() bool { return len(r.replies) == len(r.membership.Voters) }

// majorityImpossible reports whether the outstanding replies no longer suffice for a majority of grants.
func (r *round) majorityImpossible() bool {
	left := len(r.membership.Voters) - len(r.replies)
	return r.granted()+left < majority(r.membership)
}

// majority returns the smallest number of voters such that any two sets of that size overlap.
func majority(membership *wire.Membership) int { return len(membership.Voters)/2 + 1 }

// voterByID returns the voter with an identity, or nil.
func voterByID(membership *wire.Membership, id string) *wire.Replica {
	at := slices.IndexFunc(membership.GetVoters(), func(voter *wire.Replica) bool { return voter.Id == id })
	if at < 0 {
		return nil
	}
	return membership.Voters[at]
}

// voterByAddress returns the voter at an address, or nil.
func voterByAddress(membership *wire.Membership, address string) *wire.Replica {
	at := slices.IndexFunc(membership.GetVoters(), func(voter *wire.Replica) bool { return voter.Address == address })
	if at < 0 {
		return nil
	}
	return membership.Voters[at]
}
