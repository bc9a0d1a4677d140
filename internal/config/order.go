package config

import (
	"curlewreach/base"
	"curlewreach/proto/wire"
)

// ApplyProposal returns the configuration that an operator's order leads to from the current one, which may be nil, or every
// fault of the order. It is the only place that decides on an order: a whole configuration and a change of named items
// are judged alike, by the configuration that they lead to.
func ApplyProposal(current *wire.Configuration, order *wire.ConfigurationProposal) (*wire.Configuration, []*base.Fault) {
	if faults := checkForm(order); len(faults) > 0 {
		return nil, faults
	}
	var found faults
	serial := current.GetSerial()
	if ProposedBase(order) != serial {
		found.stale(serial)
	}
	if ProposedSerial(order) <= serial {
		found.add(base.OutOfRange, "serial", "must be above %d", serial)
	}
	next := order.Configuration
	if order.Change != nil {
		next = Apply(current, order.Change)
	}
	found = append(found, Check(next)...)
	if len(found) > 0 {
		return nil, found
	}
	return next, nil
}

// CheckProposal returns the faults that an order has whatever configuration is current. Of a change, only its form can be
// judged so: its items may refer to items that it doesn't hold.
func CheckProposal(order *wire.ConfigurationProposal) []*base.Fault {
	if faults := checkForm(order); len(faults) > 0 {
		return faults
	}
	if order.Configuration != nil {
		return Check(order.Configuration)
	}
	return nil
}

// checkForm returns the faults of an order that holds neither or both of a configuration and a change, or no number.
func checkForm(order *wire.ConfigurationProposal) []*base.Fault {
	var found faults
	if (order.GetConfiguration() == nil) == (order.GetChange() == nil) {
		found.add(base.Malformed, "configuration", "give a configuration or a change")
	} else if ProposedSerial(order) == 0 {
		found.add(base.OutOfRange, "serial", "must be above 0")
	}
	return found
}

// stale adds that another configuration than the order's base is current.
func (f *faults) stale(current uint64) {
	f.add(base.StaleBase, "base", "serial %d is current", current)
}

// ProposedSerial returns the number that an order's configuration would have.
func ProposedSerial(order *wire.ConfigurationProposal) uint64 {
	return max(order.GetConfiguration().GetSerial(), order.GetChange().GetSerial())
}

// ProposedBase returns the number of the configuration that an order builds on, 0 for the first.
func ProposedBase(order *wire.ConfigurationProposal) uint64 {
	return max(order.GetConfiguration().GetBase(), order.GetChange().GetBase())
}
