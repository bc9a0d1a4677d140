package config

import (
	"curlewreach/base"
	"curlewreach/proto/wire"
)

// ApplyProposal returns the configuration that results from an operator's proposal, or every fault of the proposal.
// current may be nil. No other code decides whether a proposal is accepted: a whole configuration and a change of named
// items are both validated by the configuration that results from them.
func ApplyProposal(current *wire.Configuration, proposal *wire.ConfigurationProposal) (*wire.Configuration, []*base.Fault) {
	if faults := checkProposalForm(proposal); len(faults) > 0 {
		return nil, faults
	}
	var found faults
	serial := current.GetSerial()
	if ProposedBase(proposal) != serial {
		found.addStaleBase(serial)
	}
	if ProposedSerial(proposal) <= serial {
		found.add(base.OutOfRange, "serial", "must be above %d", serial)
	}
	next := proposal.Configuration
	if proposal.Change != nil {
		next = Apply(current, proposal.Change)
	}
	found = append(found, Check(next)...)
	if len(found) > 0 {
		return nil, found
	}
	return next, nil
}

// CheckProposal returns the faults of a proposal that do not depend on the current configuration. Of a change, only the
// form can be checked this way, because its items may refer to items of the current configuration.
func CheckProposal(proposal *wire.ConfigurationProposal) []*base.Fault {
	if faults := checkProposalForm(proposal); len(faults) > 0 {
		return faults
	}
	if proposal.Configuration != nil {
		return Check(proposal.Configuration)
	}
	return nil
}

// checkProposalForm returns a fault if a proposal does not contain exactly one of a configuration and a change, or if its
// serial is 0.
func checkProposalForm(proposal *wire.ConfigurationProposal) []*base.Fault {
	var found faults
	if (proposal.GetConfiguration() == nil) == (proposal.GetChange() == nil) {
		found.add(base.Malformed, "configuration", "give a configuration or a change")
	} else if ProposedSerial(proposal) == 0 {
		found.add(base.OutOfRange, "serial", "must be above 0")
	}
	return found
}

// addStaleBase adds the fault that the proposal's base is not the current configuration.
func (f *faults) addStaleBase(current uint64) {
	f.add(base.StaleBase, "base", "serial %d is current", current)
}

// ProposedSerial returns the serial of the configuration that a proposal results in.
func ProposedSerial(proposal *wire.ConfigurationProposal) uint64 {
	return max(proposal.GetConfiguration().GetSerial(), proposal.GetChange().GetSerial())
}

// ProposedBase returns the serial of the configuration that a proposal is based on, 0 for the first configuration.
func ProposedBase(proposal *wire.ConfigurationProposal) uint64 {
	return max(proposal.GetConfiguration().GetBase(), proposal.GetChange().GetBase())
}
