package membership

import (
	"cmp"
	"hash/fnv"
	"iter"
	"slices"
)

// Ring orders machines by the hash of their names. It doesn't change.
type Ring struct{ names []string }

// NewRing returns the ring of the names.
func NewRing(names iter.Seq[string]) Ring {
	ordered := slices.SortedFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(hashName(a), hashName(b)), cmp.Compare(a, b)) })
	return Ring{ordered}
}

func hashName(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	z := hash.Sum64()
	z = (z ^ (z >> 33)) * 0xff51afd7ed558ccd
	return z ^ (z >> 33)
}

// HashBucket maps a name evenly to a number in [0, among), always the same.
func HashBucket(name string, buckets int) int { return int(hashName(name) % uint64(max(buckets, 1))) }

// Successors returns the next machines after name, at most count, or none if it
// isn't on the ring.
func (r Ring) Successors(name string, count int) []string {
	at := slices.Index(r.names, name)
	if at < 0 {
		return nil
	}
	var successors []string
	for i := 1; i < len(r.names) && len(successors) < count; i++ {
		successors = append(successors, r.names[(at+i)%len(r.names)])
	}
	return successors
}
