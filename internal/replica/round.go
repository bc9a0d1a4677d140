package replica

import (
	"slices"

	"curlewreach/proto/wire"
)

// round collects the replies of all voters of one membership to one question.
type round struct {
	membership *wire.Membership
	replies    map[string]*wire.ReplicaReply // by identity; nil where none came
	closed     bool                          // further replies don't matter
	reported   bool                          // whoever waited has been told
}

// poll asks every voter of membership; each runs after each reply until it closes the round.
func (m *Machine) poll(membership *wire.Membership, newRequest func() *wire.ReplicaRequest, onReply func(r *round, reply *wire.ReplicaReply)) {
	m.pollEach(membership, func(*wire.Replica) *wire.ReplicaRequest { return newRequest() }, nil, onReply)
}

// pollEach asks each voter something of its own. Where a voter needs the whole of what it was told in part, it is
// asked once more, with whole.
func (m *Machine) pollEach(membership *wire.Membership, newRequest func(*wire.Replica) *wire.ReplicaRequest, newFullRequest func() *wire.ReplicaRequest, onReply func(r *round, reply *wire.ReplicaReply)) {
	r := &round{membership: membership, replies: map[string]*wire.ReplicaReply{}}
	for _, voter := range membership.Voters {
		record := func(reply *wire.ReplicaReply) {
			if r.closed {
				return
			}
			if reply != nil && reply.From != voter.Id {
				reply = nil // another replica has taken over the address
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

// count says how many replies fit.
func (r *round) count(matches func(*wire.ReplicaReply) bool) int {
	count := 0
	for _, reply := range r.replies {
		if reply != nil && matches(reply) {
			count++
		}
	}
	return count
}

// grants says whether a voter of the round's own generation granted what was asked.
func (r *round) grants(reply *wire.ReplicaReply) bool {
	return reply != nil && reply.Standing == wire.Standing_GRANTED && reply.Generation == r.membership.Generation
}

func (r *round) granted() int { return r.count(r.grants) }

// complete says whether nobody is left to reply.
func (r *round) complete() bool { return len(r.replies) == len(r.membership.Voters) }

// majorityImpossible says whether a majority of grants can't come any more.
func (r *round) majorityImpossible() bool {
	left := len(r.membership.Voters) - len(r.replies)
	return r.granted()+left < majority(r.membership)
}

// majority is the least number of voters of which any two sets share one.
func majority(membership *wire.Membership) int { return len(membership.Voters)/2 + 1 }

// voterByID finds a voter by identity.
func voterByID(membership *wire.Membership, id string) *wire.Replica {
	at := slices.IndexFunc(membership.GetVoters(), func(voter *wire.Replica) bool { return voter.Id == id })
	if at < 0 {
		return nil
	}
	return membership.Voters[at]
}

// voterByAddress finds a voter by address.
func voterByAddress(membership *wire.Membership, address string) *wire.Replica {
	at := slices.IndexFunc(membership.GetVoters(), func(voter *wire.Replica) bool { return voter.Address == address })
	if at < 0 {
		return nil
	}
	return membership.Voters[at]
}
