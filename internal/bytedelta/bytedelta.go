// Package bytedelta encodes a byte string as a delta: copies from an older byte string, and inserted bytes.
//
// A delta is a sequence of operations. Each starts with an unsigned varint that contains the operation's length in bytes
// times two, plus one if it is an insertion. An insertion is followed by the inserted bytes, a copy by its offset in the
// old bytes as an unsigned varint.
package bytedelta

import (
	"bytes"
	"encoding/binary"
	"math/bits"

	"github.com/pkg/errors"
)

// blockSize is the length in bytes of the blocks of the old bytes that are searched for in the new ones. Shorter matches,
// except at the start and the end, are encoded as insertions, because a copy operation takes up to ten bytes itself.
const blockSize = 32

// ErrMalformed is returned by Apply for a delta that cannot be decoded, or that copies beyond the end of the old bytes.
var ErrMalformed = errors.New("malformed delta")

// Encode returns a delta that turns from into to. It is deterministic.
func Encode(from, to []byte) []byte {
	prefix := commonPrefix(from, to)
	suffix := commonSuffix(from[prefix:], to[prefix:])
	delta := appendCopy(nil, 0, prefix)
	delta = appendBlockMatches(delta, from, prefix, len(from)-suffix, to[prefix:len(to)-suffix])
	return appendCopy(delta, len(from)-suffix, suffix)
}

// Apply returns the bytes that result from applying delta to from.
func Apply(from, delta []byte) ([]byte, error) {
	total := 0
	for rest := delta; len(rest) > 0; {
		span, after, err := nextOperation(from, rest)
		if err != nil {
			return nil, err
		}
		total, rest = total+len(span), after
	}
	to := make([]byte, 0, total)
	for rest := delta; len(rest) > 0; {
		span, after, _ := nextOperation(from, rest)
		to, rest = append(to, span...), after
	}
	return to, nil
}

// nextOperation returns the bytes that a delta's first operation produces, and the remaining operations.
func nextOperation(from, delta []byte) (span, rest []byte, err error) {
	head, size := binary.Uvarint(delta)
	if size <= 0 {
		return nil, nil, ErrMalformed
	}
	delta, length := delta[size:], head>>1
	if isInsertion := head&1 == 1; isInsertion {
		if length > uint64(len(delta)) {
			return nil, nil, ErrMalformed
		}
		return delta[:length], delta[length:], nil
	}
	offset, size := binary.Uvarint(delta)
	if size <= 0 || offset > uint64(len(from)) || length > uint64(len(from))-offset {
		return nil, nil, ErrMalformed
	}
	return from[offset : offset+length], delta[size:], nil
}

// appendBlockMatches appends the operations that produce to. It finds blocks of from[start:end] in to with a rolling hash,
// and extends each match as far as possible in both directions.
func appendBlockMatches(delta, from []byte, start, end int, to []byte) []byte {
	if len(to) < blockSize || end-start < blockSize {
		return appendInsert(delta, to)
	}
	index := newBlockIndex(from[start:end])
	inserted := 0
	hash := hashBlock(to[:blockSize])
	for at := 0; at+blockSize <= len(to); {
		block := index.find(hash)
		if block >= 0 && bytes.Equal(from[start+block:start+block+blockSize], to[at:at+blockSize]) {
			back := commonSuffix(from[start:start+block], to[inserted:at])
			length := back + blockSize + commonPrefix(from[start+block+blockSize:end], to[at+blockSize:])
			delta = appendInsert(delta, to[inserted:at-back])
			delta = appendCopy(delta, start+block-back, length)
			at += length - back
			inserted = at
			if at+blockSize <= len(to) {
				hash = hashBlock(to[at : at+blockSize])
			}
			continue
		}
		if at+blockSize < len(to) {
			hash = rollHash(hash, to[at], to[at+blockSize])
		}
		at++
	}
	return appendInsert(delta, to[inserted:])
}

// appendCopy appends a copy operation unless it is empty.
func appendCopy(delta []byte, offset, length int) []byte {
	if length == 0 {
		return delta
	}
	delta = binary.AppendUvarint(delta, uint64(length)<<1)
	return binary.AppendUvarint(delta, uint64(offset))
}

// appendInsert appends an insertion unless it is empty.
func appendInsert(delta, inserted []byte) []byte {
	if len(inserted) == 0 {
		return delta
	}
	delta = binary.AppendUvarint(delta, uint64(len(inserted))<<1|1)
	return append(delta, inserted...)
}

// blockIndex maps a hash to the first block with that hash. It is a hash table with linear probing; a slot contains a
// block's offset plus one, or 0 if it is free.
type blockIndex struct {
	slots  []int32
	hashes []uint64
	shift  int
}

func newBlockIndex(from []byte) *blockIndex {
	width := bits.Len(uint(2 * len(from) / blockSize))
	index := &blockIndex{slots: make([]int32, 1<<width), hashes: make([]uint64, 1<<width), shift: 64 - width}
	for at := 0; at+blockSize <= len(from); at += blockSize {
		hash := hashBlock(from[at : at+blockSize])
		slot := index.slot(hash)
		if index.slots[slot] == 0 {
			index.slots[slot], index.hashes[slot] = int32(at+1), hash
		}
	}
	return index
}

// slot returns the slot that contains the hash, or the free slot where it would be inserted.
func (b *blockIndex) slot(hash uint64) int {
	slot := int(hash * slotMultiplier >> b.shift)
	for b.slots[slot] != 0 && b.hashes[slot] != hash {
		slot = (slot + 1) % len(b.slots)
	}
	return slot
}

// find returns the offset of the first block with the hash, or -1.
func (b *blockIndex) find(hash uint64) int { return int(b.slots[b.slot(hash)]) - 1 }

const (
	// radix is the base of the rolling polynomial hash. Any odd number with evenly distributed bits will do.
	radix = 0x9e3779b97f4a7c15
	// slotMultiplier distributes hashes over the slots of the index (multiplicative hashing).
	slotMultiplier = 0xd6e8feb86659fd93
)

// radixToBlock is radix to the power of blockSize. It is used to remove a block's first byte from the rolling hash.
var radixToBlock = power(radix, blockSize)

// power returns base to the power of exponent, modulo 2^64.
func power(base uint64, exponent int) uint64 {
	product := uint64(1)
	for range exponent {
		product *= base
	}
	return product
}

// hashBlock returns the polynomial hash of a block, modulo 2^64.
func hashBlock(block []byte) uint64 {
	hash := uint64(0)
	for _, each := range block {
		hash = hash*radix + uint64(each) + 1
	}
	return hash
}

// rollHash returns the hash of the block that starts one byte later.
func rollHash(hash uint64, leaving, entering byte) uint64 {
	return hash*radix + uint64(entering) + 1 - (uint64(leaving)+1)*radixToBlock
}

// compareChunk is the number of bytes that commonPrefix and commonSuffix compare at once while a match is long.
const compareChunk = 256

// commonPrefix returns the length of the longest common prefix.
func commonPrefix(a, b []byte) int {
	limit, length := min(len(a), len(b)), 0
	for length+compareChunk <= limit && bytes.Equal(a[length:length+compareChunk], b[length:length+compareChunk]) {
		length += compareChunk
	}
	for length < limit && a[length] == b[length] {
		length++
	}
	return length
}

// commonSuffix returns the length of the longest common suffix.
func commonSuffix(a, b []byte) int {
	limit, length := min(len(a), len(b)), 0
	for length+compareChunk <= limit && bytes.Equal(a[len(a)-length-compareChunk:len(a)-length], b[len(b)-length-compareChunk:len(b)-length]) {
		length += compareChunk
	}
	for length < limit && a[len(a)-1-length] == b[len(b)-1-length] {
		length++
	}
	return length
}
