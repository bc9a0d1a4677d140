package quorum

import (
	"cmp"

	"curlewreach/proto/wire"
)

// compareEpochs orders epochs by number, then by the ID of their owner. It
// returns -1, 0 or 1. Nil is lowest.
func compareEpochs(a, b *wire.Epoch) int {
	return cmp.Or(cmp.Compare(a.GetNumber(), b.GetNumber()), cmp.Compare(a.GetKeel(), b.GetKeel()))
}

// compareEntries orders entries by epoch, then by serial. It returns -1, 0 or
// 1. Nil is lowest.
func compareEntries(a, b *wire.Entry) int {
	return cmp.Or(compareEpochs(a.GetEpoch(), b.GetEpoch()), cmp.Compare(a.GetSerial(), b.GetSerial()))
}

// CompareBallots orders ballots, which identify entries in messages to nodes, in
// the same way as those entries are ordered. It returns -1, 0 or 1.
func CompareBallots(a, b *wire.Ballot) int {
	return cmp.Or(cmp.Compare(a.GetEpoch(), b.GetEpoch()), cmp.Compare(a.GetKeel(), b.GetKeel()), cmp.Compare(a.GetSerial(), b.GetSerial()))
}
