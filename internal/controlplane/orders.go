package controlplane

import (
	"encoding/binary"
	"slices"

	"curlewreach/internal/config"
	"curlewreach/proto/wire"
)

// ordersRemembered bounds how many taken orders a configuration's head tells apart. An operator with eight orders under way
// asks again within seconds; at 17,000 changes a day so many reach back almost three hours, in about 20 KB.
const ordersRemembered = 2048

// orderState is what is known of an order that comes (perhaps again).
type orderState int

const (
	unseen    orderState = iota // it was never taken
	taken                       // this very order was taken
	forgotten                   // it may have been taken, longer ago than orders are remembered
)

// order tells orders apart: by their number, and by what they say.
type order struct {
	serial uint64
	digest uint64
}

// orderOf returns what tells a proposal apart from all others.
func orderOf(p *wire.ConfigurationProposal) order {
	sum := config.Digest(&wire.ConfigurationProposal{Configuration: p.Configuration, Change: p.Change})
	return order{config.ProposedSerial(p), binary.BigEndian.Uint64(sum)}
}

// lookUp says what the head knows of an order.
func lookUp(head *wire.ConfigurationHead, o order) orderState {
	orders := ordersOf(head)
	at, found := slices.BinarySearch(orders.Serials, o.serial)
	switch {
	case found && orders.Digests[at] == o.digest:
		return taken
	case found:
		return unseen
	case o.serial <= orders.Forgotten:
		return forgotten
	}
	return unseen
}

// remember gives the orders with one more, the newest; the oldest beyond the bound are forgotten.
func remember(head *wire.ConfigurationHead, o order) *wire.TakenOrders {
	orders := ordersOf(head)
	next := &wire.TakenOrders{
		Serials:   append(slices.Clone(orders.Serials), o.serial),
		Digests:   append(slices.Clone(orders.Digests), o.digest),
		Forgotten: orders.Forgotten,
	}
	if surplus := len(next.Serials) - ordersRemembered; surplus > 0 {
		next.Forgotten = next.Serials[surplus-1]
		next.Serials, next.Digests = next.Serials[surplus:], next.Digests[surplus:]
	}
	return next
}

// ordersOf reads the orders of a head, also of one that the version before the last wrote.
func ordersOf(head *wire.ConfigurationHead) *wire.TakenOrders {
	if head.GetOrders() != nil {
		return head.Orders
	}
	orders := &wire.TakenOrders{}
	for _, mark := range head.GetMarks() {
		orders.Serials = append(orders.Serials, mark.Serial)
		orders.Digests = append(orders.Digests, binary.BigEndian.Uint64(mark.Digest))
	}
	if len(orders.Serials) >= marksKept {
		orders.Forgotten = orders.Serials[0] - 1
	}
	return orders
}

// marksKept is how many marks the version before the last kept.
const marksKept = 64
