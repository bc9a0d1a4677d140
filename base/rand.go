package base

import (
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"sync/atomic"
)

// Rand is a generator of pseudo-random numbers (SplitMix64) that is safe for
// concurrent use. It is not for secrets.
type Rand struct{ state atomic.Uint64 }

// SeededRand returns a generator whose sequence the seed fixes.
func SeededRand(seed uint64) *Rand {
	r := &Rand{}
	r.state.Store(seed)
	return r
}

// RealRand returns a generator with a seed from the operating system.
func RealRand() *Rand {
	var seed [8]byte
	_, _ = crand.Read(seed[:])
	return SeededRand(binary.LittleEndian.Uint64(seed[:]))
}

// Uint64 returns a uniform 64-bit number.
func (r *Rand) Uint64() uint64 {
	z := r.state.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

// Float64 returns a uniform number in [0, 1).
func (r *Rand) Float64() float64 { return float64(r.Uint64()>>11) / (1 << 53) }

// IntN returns a number in [0, n), uniform but for a bias of n in 2^64. n must
// be positive.
func (r *Rand) IntN(n int) int { return int(r.Uint64() % uint64(n)) }

// Name returns size random bytes as hexadecimal digits.
func (r *Rand) Name(size int) string {
	raw := make([]byte, 0, size+8)
	for len(raw) < size {
		raw = binary.BigEndian.AppendUint64(raw, r.Uint64())
	}
	return hex.EncodeToString(raw[:size])
}
