package membership

import (
	"cmp"
	"hash/fnv"
	"iter"
	"slices"
)

// Ring orders machines by the hash of their names. It is immutable.
type Ring struct{ names []string }

// NewRing returns the ring of the machines with the given names.
func NewRing(names iter.Seq[string]) Ring {
	ordered := slices.SortedFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(hashName(a), hashName(b)), cmp.Compare(a, b)) })
	return Ring{ordered}
}

// hashName returns the FNV-1a hash of a name, followed by a mixing step that spreads similar names over the ring.
func hashName(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	mixed := hash.Sum64()
	mixed = (mixed ^ (mixed >> 33)) * 0xff51afd7ed558ccd
	return mixed ^ (mixed >> 33)
}

// HashBucket maps a name to a number in [0, buckets). The distribution is uniform, and equal names get equal numbers.
func HashBucket(name string, buckets int) int { return int(hashName(name) % uint64(max(buckets, 1))) }

// Successors returns up to count machines that follow name on the ring, or none
// if name is not on the ring.
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
