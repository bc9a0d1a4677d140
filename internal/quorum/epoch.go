package quorum

import (
	"cmp"

	"curlewreach/proto/wire"
)

func compareEpochs(a, b *wire.Epoch) int {
	return cmp.Or(cmp.Compare(a.GetNumber(), b.GetNumber()), cmp.Compare(a.GetKeel(), b.GetKeel()))
}

func compareEntries(a, b *wire.Entry) int {
	return cmp.Or(compareEpochs(a.GetEpoch(), b.GetEpoch()), cmp.Compare(a.GetSerial(), b.GetSerial()))
}

func CompareBallots(a, b *wire.Ballot) int {
	return cmp.Or(cmp.Compare(a.GetEpoch(), b.GetEpoch()), cmp.Compare(a.GetKeel(), b.GetKeel()), cmp.Compare(a.GetSerial(), b.GetSerial()))
}
