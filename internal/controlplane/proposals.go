package controlplane

import (
	"encoding/binary"
	"slices"

	"curlewreach/internal/config"
	"curlewreach/proto/wire"
)

// maxRememberedProposals bounds how many committed proposals the configuration's head remembers, to recognise one
// that is sent again. An operator with eight proposals in flight repeats one within seconds; at 17,000 changes a
// day this many reach back almost three hours and take about 20 KB.
const maxRememberedProposals = 2048

// proposalState is what is known of a proposal, which may have been sent before.
type proposalState int

const (
	notCommitted proposalState = iota // it was never committed
	committed                         // it was committed
	forgotten                         // it may have been committed, but longer ago than proposals are remembered
)

// proposalID identifies a proposal by its serial and a digest of its content.
type proposalID struct {
	serial uint64
	digest uint64
}

// proposalIDOf returns the identity of a proposal. Whether it was forwarded makes no difference.
func proposalIDOf(p *wire.ConfigurationProposal) proposalID {
	sum := config.Digest(&wire.ConfigurationProposal{Configuration: p.Configuration, Change: p.Change})
	return proposalID{config.ProposedSerial(p), binary.BigEndian.Uint64(sum)}
}

// lookUpProposal returns what the head knows of a proposal.
func lookUpProposal(head *wire.ConfigurationHead, id proposalID) proposalState {
	proposals := committedProposals(head)
	index, found := slices.BinarySearch(proposals.Serials, id.serial)
	switch {
	case found && proposals.Digests[index] == id.digest:
		return committed
	case found:
		return notCommitted
	case id.serial <= proposals.Forgotten:
		return forgotten
	}
	return notCommitted
}

// rememberProposal returns the head's committed proposals with one more, the newest. The oldest beyond
// maxRememberedProposals are dropped.
func rememberProposal(head *wire.ConfigurationHead, id proposalID) *wire.TakenOrders {
	proposals := committedProposals(head)
	next := &wire.TakenOrders{
		Serials:   append(slices.Clone(proposals.Serials), id.serial),
		Digests:   append(slices.Clone(proposals.Digests), id.digest),
		Forgotten: proposals.Forgotten,
	}
	if surplus := len(next.Serials) - maxRememberedProposals; surplus > 0 {
		next.Forgotten = next.Serials[surplus-1]
		next.Serials, next.Digests = next.Serials[surplus:], next.Digests[surplus:]
	}
	return next
}

// committedProposals returns the committed proposals of a head. A head written by the version before the last
// holds them as marks, which are converted.
func committedProposals(head *wire.ConfigurationHead) *wire.TakenOrders {
	if head.GetOrders() != nil {
		return head.Orders
	}
	proposals := &wire.TakenOrders{}
	for _, mark := range head.GetMarks() {
		proposals.Serials = append(proposals.Serials, mark.Serial)
		proposals.Digests = append(proposals.Digests, binary.BigEndian.Uint64(mark.Digest))
	}
	if len(proposals.Serials) >= legacyMaxMarks {
		proposals.Forgotten = proposals.Serials[0] - 1
	}
	return proposals
}

// legacyMaxMarks is how many marks the version before the last kept.
const legacyMaxMarks = 64
