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

// NamedRand returns a source of random numbers derived from a seed and a name, so that each part of a simulation has a
// reproducible sequence of its own.
func NamedRand(seed uint64, name string) *random.Source {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%d %s", seed, name)
	return random.Seeded(hash.Sum64())
}

// NewScope returns the scope of a process called name on the machine with the given IP address, with random numbers
// derived from seed and name and a logger that discards everything.
func (n *Network) NewScope(seed uint64, name, ip string, disk storage.Disk, clock base.Clock, journal *base.Journal) base.Scope {
	return base.Scope{
		Context: context.Background(), Node: name, Clock: clock, Net: n.At(ip, name), Disk: disk,
		Rand: NamedRand(seed, name), Log: hclog.NewNullLogger(), Journal: journal,
	}
}
