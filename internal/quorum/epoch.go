package quorum

import (
	"cmp"

	"curlewreach/proto/wire"
)

// compareEpochs orders epochs by number, then by owner. Nil comes first.
func compareEpochs(a, b *wire.Epoch) int {
	return cmp.Or(cmp.Compare(a.GetNumber(), b.GetNumber()), cmp.Compare(a.GetKeel(), b.GetKeel()))
}

// compareEntries orders entries by epoch, then by serial. Nil comes first.
func compareEntries(a, b *wire.Entry) int {
	return cmp.Or(compareEpochs(a.GetEpoch(), b.GetEpoch()), cmp.Compare(a.GetSerial(), b.GetSerial()))
}

// CompareBallots orders ballots, as told to nodes, as the entries they stand
// for are ordered: -1, 0 or 1.
func CompareBallots(a, b *wire.Ballot) int {
	return cmp.Or(cmp.Compare(a.GetEpoch(), b.GetEpoch()), cmp.Compare(a.GetKeel(), b.GetKeel()), cmp.Compare(a.GetSerial(), b.GetSerial()))
}
