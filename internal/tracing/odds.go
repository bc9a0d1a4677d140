package tracing

import (
	"sync/atomic"

	"curlewreach/base"
	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

// Sampler holds the odds in force on a node and draws by them. It is safe for
// concurrent use and takes no lock.
type Sampler struct {
	rand *random.Source
	odds atomic.Pointer[wire.Odds]
}

// NewSampler returns a keeper without odds, which records everything.
func NewSampler(rand *random.Source) *Sampler { return &Sampler{rand: rand} }

// Odds returns the odds in force, nil if there are none yet.
func (k *Sampler) Odds() *wire.Odds { return k.odds.Load() }

// Serial returns the number of the odds in force, 0 if there are none yet.
func (k *Sampler) Serial() uint64 { return k.odds.Load().GetSerial() }

// Update puts odds in force that are newer than those held, and passes over older
// ones, which a control machine that is cut off may still hand out: their serial
// rises with every change of the learner's register, whoever the learner is. It
// returns an error of kind OutOfRange, and keeps the old ones, if a probability
// is outside [epsilon, 1].
func (k *Sampler) Update(odds *wire.Odds) *base.Fault {
	if odds.GetEpsilon() <= 0 || odds.GetEpsilon() > 1 {
		return base.NewFault(base.OutOfRange, "odds.epsilon", "%v", odds.GetEpsilon())
	}
	for identifier, chance := range odds.Table {
		if !(chance >= odds.Epsilon && chance <= 1) {
			return base.NewFault(base.OutOfRange, "odds."+identifier, "%v", chance)
		}
	}
	for {
		held := k.odds.Load()
		if held != nil && odds.Serial <= held.Serial || k.odds.CompareAndSwap(held, odds) {
			return nil
		}
	}
}

// Probability returns the probability that a call of the identifier is recorded: 1
// if the odds don't name it.
func (k *Sampler) Probability(identifier string) float64 {
	odds := k.odds.Load()
	if odds == nil {
		return 1
	}
	chance, known := odds.Table[identifier]
	if !known {
		return 1
	}
	return chance
}

// Sample draws whether to record a call of the identifier.
func (k *Sampler) Sample(identifier string) bool {
	chance := k.Probability(identifier)
	return chance >= 1 || k.rand.Float64() < chance
}
