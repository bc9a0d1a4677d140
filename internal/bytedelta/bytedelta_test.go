package bytedelta

import (
	"bytes"
	"math/rand/v2"
	"testing"
)

func randomBytes(rand *rand.Rand, length int) []byte {
	random := make([]byte, length)
	for i := range random {
		random[i] = byte(rand.Uint32())
	}
	return random
}

// edited returns a copy of value with some spans replaced, inserted, removed or moved.
func edited(rand *rand.Rand, value []byte, edits, span int) []byte {
	value = bytes.Clone(value)
	for range edits {
		at := rand.IntN(len(value) + 1)
		end := min(at+rand.IntN(span+1), len(value))
		cut := bytes.Clone(value[at:end])
		rest := append(bytes.Clone(value[:at]), value[end:]...)
		switch rand.IntN(3) {
		case 0:
			cut = randomBytes(rand, rand.IntN(span+1))
		case 1:
			cut = nil
		case 2:
			at = rand.IntN(len(rest) + 1)
		}
		value = append(append(bytes.Clone(rest[:at]), cut...), rest[at:]...)
	}
	return value
}

// checkRoundTrip expects that the delta restores to, and that encoding is deterministic. It returns the delta.
func checkRoundTrip(t *testing.T, from, to []byte) []byte {
	t.Helper()
	delta := Encode(from, to)
	got, err := Apply(from, delta)
	if err != nil || !bytes.Equal(got, to) {
		t.Fatalf("from %d bytes to %d: got %d bytes, error %v", len(from), len(to), len(got), err)
	}
	if !bytes.Equal(delta, Encode(from, to)) {
		t.Fatal("two encodings of the same values differ")
	}
	return delta
}

func TestApplyRestoresEditedValues(t *testing.T) {
	rand := rand.New(rand.NewPCG(1, 2))
	for range 3000 {
		from := randomBytes(rand, rand.IntN(2000))
		if rand.IntN(2) == 0 {
			from = bytes.Repeat(from[:min(len(from), 70)], rand.IntN(30))
		}
		checkRoundTrip(t, from, edited(rand, from, rand.IntN(6), 150))
		checkRoundTrip(t, from, randomBytes(rand, rand.IntN(500)))
	}
}

func TestDeltaSizeIsBoundedByTheEdits(t *testing.T) {
	const edits, span, overhead = 4, 200, 40
	rand := rand.New(rand.NewPCG(3, 4))
	from := randomBytes(rand, 250_000)
	for range 50 {
		to := edited(rand, from, edits, span)
		delta := checkRoundTrip(t, from, to)
		if limit := edits * (span + blockSize*2 + overhead); len(delta) > limit {
			t.Fatalf("%d edits of up to %d bytes took %d bytes, more than %d", edits, span, len(delta), limit)
		}
	}
}

func FuzzRoundTrip(f *testing.F) {
	f.Add([]byte("one two"), []byte("one three two"))
	f.Fuzz(func(t *testing.T, from, to []byte) { checkRoundTrip(t, from, to) })
}

func FuzzApplyNeverPanics(f *testing.F) {
	f.Add([]byte("one two"), Encode([]byte("one two"), []byte("one three two")))
	f.Fuzz(func(_ *testing.T, from, delta []byte) { _, _ = Apply(from, delta) })
}

func BenchmarkEncode(b *testing.B) {
	rand := rand.New(rand.NewPCG(5, 6))
	from := randomBytes(rand, 250_000)
	to := edited(rand, from, 3, 200)
	b.ReportAllocs()
	for b.Loop() {
		Encode(from, to)
	}
}
