package simnet

import (
	"context"
	"fmt"
	"hash/fnv"

	"github.com/hashicorp/go-hclog"

	"curlewreach/base"
	"curlewreach/internal/random"
	"curlewreach/internal/storage"
)

// NamedRand returns the random numbers of one part of a simulation; each name has its own, which follow from the seed.
func NamedRand(seed uint64, name string) *random.Source {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%d %s", seed, name)
	return random.Seeded(hash.Sum64())
}

// NewScope returns the surroundings of a process that is called name, on the machine at ip.
func (w *Network) NewScope(seed uint64, name, ip string, disk storage.Disk, clock base.Clock, journal *base.Journal) base.Scope {
	return base.Scope{
		Context: context.Background(), Node: name, Clock: clock, Net: w.At(ip, name), Disk: disk,
		Rand: NamedRand(seed, name), Log: hclog.NewNullLogger(), Journal: journal,
	}
}
