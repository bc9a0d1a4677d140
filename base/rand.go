package base

import (
	crand "crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"sync/atomic"
)

type Rand struct{ state atomic.Uint64 }

func SeededRand(seed uint64) *Rand {
	r := &Rand{}
	r.state.Store(seed)
	return r
}

func RealRand() *Rand {
	var seed [8]byte
	_, _ = crand.Read(seed[:])
	return SeededRand(binary.LittleEndian.Uint64(seed[:]))
}

func (r *Rand) Uint64() uint64 {
	z := r.state.Add(0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func (r *Rand) Float64() float64 { return float64(r.Uint64()>>11) / (1 << 53) }

func (r *Rand) Below(n int) int { return int(r.Uint64() % uint64(n)) }

func (r *Rand) Name(size int) string {
	raw := make([]byte, 0, size+8)
	for len(raw) < size {
		raw = binary.BigEndian.AppendUint64(raw, r.Uint64())
	}
	return hex.EncodeToString(raw[:size])
}
