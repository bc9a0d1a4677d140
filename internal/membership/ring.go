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
	ordered := slices.SortedFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(hashOf(a), hashOf(b)), cmp.Compare(a, b)) })
	return Ring{ordered}
}

func hashOf(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	z := hash.Sum64()
	z = (z ^ (z >> 33)) * 0xff51afd7ed558ccd
	return z ^ (z >> 33)
}

// HashBucket maps a name evenly to a number in [0, among), always the same.
func HashBucket(name string, among int) int { return int(hashOf(name) % uint64(max(among, 1))) }

// Successors returns the next machines after name, at most count, or none if it
// isn't on the ring.
func (r Ring) Successors(name string, count int) []string {
	at := slices.Index(r.names, name)
	if at < 0 {
		return nil
	}
	var watchers []string
	for i := 1; i < len(r.names) && len(watchers) < count; i++ {
		watchers = append(watchers, r.names[(at+i)%len(r.names)])
	}
	return watchers
}
