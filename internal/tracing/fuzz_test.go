package tracing

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

func FuzzBeliefs(f *testing.F) {
	for _, belief := range []*wire.Belief{{Identifier: "a", Alpha: 1, Beta: 1}, {Identifier: "a", Alpha: -1}, {Identifier: "a", Alpha: 1e308, Beta: 1e308, Mean: 2}} {
		raw, err := proto.Marshal(&wire.Learning{Beliefs: []*wire.Belief{belief}, Odds: &wire.Odds{Serial: 3}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw, uint64(40), uint64(90000))
	}
	f.Fuzz(func(t *testing.T, raw []byte, one, two uint64) {
		prior := &wire.Learning{}
		if proto.Unmarshal(raw, prior) != nil {
			return
		}
		rand := random.Seeded(1)
		settings := tracing()
		settings.Draws, settings.Evidence = 50, 20
		spans := []*wire.Span{{Service: "s", Route: "r", SelfUs: one}, {Service: "s", Route: "r", SelfUs: two}, {Service: "s", Route: "q", SelfUs: two}}
		learning := Learn(prior, spans, settings, rand, every)
		if fault := NewSampler(rand).Update(learning.Odds); fault != nil {
			t.Fatal(fault)
		}
	})
}
