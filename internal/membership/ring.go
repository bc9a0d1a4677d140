package membership

import (
	"cmp"
	"hash/fnv"
	"iter"
	"slices"
)

type Ring struct{ names []string }

func NewRing(names iter.Seq[string]) Ring {
	ordered := slices.SortedFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(place(a), place(b)), cmp.Compare(a, b)) })
	return Ring{ordered}
}

func place(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	z := hash.Sum64()
	z = (z ^ (z >> 33)) * 0xff51afd7ed558ccd
	return z ^ (z >> 33)
}

func Turn(name string, among int) int { return int(place(name) % uint64(max(among, 1))) }

func (r Ring) Watchers(name string, count int) []string {
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
