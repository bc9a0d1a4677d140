// Package random is a source of random numbers that simulations seed.
package random

import (
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"sync/atomic"
)

// Source is a generator of pseudo-random numbers (SplitMix64) that is safe for
// concurrent use. It is not for secrets.
type Source struct{ state atomic.Uint64 }

// Seeded returns a generator whose sequence the seed fixes.
func Seeded(seed uint64) *Source {
	r := &Source{}
	r.state.Store(seed)
	return r
}

// New returns a generator with a seed from the operating system.
func New() *Source {
	var seed [8]byte
	_, _ = crand.Read(seed[:])
	return Seeded(binary.LittleEndian.Uint64(seed[:]))
}

// Uint64 returns a uniform 64-bit number.
func (r *Source) Uint64() uint64 {
	z := r.state.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Float64 returns a uniform number in [0, 1).
func (r *Source) Float64() float64 { return float64(r.Uint64()>>11) / (1 << 53) }

// IntN returns a number in [0, n), uniform but for a bias of n in 2^64. n must
// be positive.
func (r *Source) IntN(n int) int { return int(r.Uint64() % uint64(n)) }

// Hex returns size random bytes as hexadecimal digits.
func (r *Source) Hex(size int) string {
	raw := make([]byte, 0, size+8)
	for len(raw) < size {
		raw = binary.BigEndian.AppendUint64(raw, r.Uint64())
	}
	return hex.EncodeToString(raw[:size])
}
