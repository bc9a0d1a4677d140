package tracing

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

// FuzzBeliefs checks that a learning cycle on any decodable prior neither panics
// nor produces probabilities that a sampler rejects.
func FuzzBeliefs(f *testing.F) {
	for _, belief := range []*wire.Belief{{Identifier: "a", Alpha: 1, Beta: 1}, {Identifier: "a", Alpha: -1}, {Identifier: "a", Alpha: 1e308, Beta: 1e308, Mean: 2}} {
		raw, err := proto.Marshal(&wire.Learning{Beliefs: []*wire.Belief{belief}, Odds: &wire.Odds{Serial: 3}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw, uint64(40), uint64(90000))
	}
	f.Fuzz(func(t *testing.T, raw []byte, selfTime, otherSelfTime uint64) {
		prior := &wire.Learning{}
		if proto.Unmarshal(raw, prior) != nil {
			return
		}
		rand := random.Seeded(1)
		settings := testSettings()
		settings.Draws, settings.Evidence = 50, 20
		spans := []*wire.Span{{Service: "s", Route: "r", SelfUs: selfTime}, {Service: "s", Route: "r", SelfUs: otherSelfTime}, {Service: "s", Route: "q", SelfUs: otherSelfTime}}
		learning := Learn(prior, spans, settings, rand, allRoutes)
		if fault := NewSampler(rand).Update(learning.Odds); fault != nil {
			t.Fatal(fault)
		}
	})
}
