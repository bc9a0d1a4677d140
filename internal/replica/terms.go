package replica

import (
	"cmp"

	"curlewreach/proto/wire"
)

// compareTerms orders terms by number, then by owner.
func compareTerms(a, b *wire.Term) int {
	return cmp.Or(cmp.Compare(a.GetNumber(), b.GetNumber()), cmp.Compare(a.GetOwner(), b.GetOwner()))
}

// compareVersions orders versions by term, then by serial. Two versions that compare equal have the same value.
func compareVersions(a, b *wire.Version) int {
	return cmp.Or(compareTerms(a.GetTerm(), b.GetTerm()), cmp.Compare(a.GetSerial(), b.GetSerial()))
}

// newerVersion returns the newer of two versions; either may be nil.
func newerVersion(a, b *wire.Version) *wire.Version {
	if b == nil || a != nil && compareVersions(a, b) >= 0 {
		return a
	}
	return b
}

// higherTerm returns the higher of two terms; either may be nil.
func higherTerm(a, b *wire.Term) *wire.Term {
	if b == nil || a != nil && compareTerms(a, b) >= 0 {
		return a
	}
	return b
}

// withoutValue returns a version without its value, for a receiver that already has it.
func withoutValue(version *wire.Version) *wire.Version {
	return &wire.Version{Term: version.Term, Serial: version.Serial}
}
