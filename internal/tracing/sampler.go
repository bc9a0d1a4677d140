package tracing

import (
	"sync/atomic"

	"curlewreach/base"
	"curlewreach/internal/random"
	"curlewreach/proto/wire"
)

// Sampler decides on a node which calls are recorded, by the sampling
// probabilities (odds) currently in force. It is safe for concurrent use and
// lock-free.
type Sampler struct {
	rand *random.Source
	odds atomic.Pointer[wire.Odds]
}

// NewSampler returns a sampler without probabilities, which records every call.
func NewSampler(rand *random.Source) *Sampler { return &Sampler{rand: rand} }

// Odds returns the probabilities in force, or nil if there are none yet.
func (s *Sampler) Odds() *wire.Odds { return s.odds.Load() }

// Serial returns the serial of the probabilities in force, or 0 if there are none yet.
func (s *Sampler) Serial() uint64 { return s.odds.Load().GetSerial() }

// Update puts the given probabilities in force if their serial is higher than the
// current one. Others are ignored without an error, because a partitioned control
// machine may still distribute old ones; the serial increases with every change
// of the learner's register, also when the learner role moves. If epsilon is
// outside (0, 1] or a probability outside [epsilon, 1], Update returns a fault of
// kind OutOfRange and keeps the current ones.
func (s *Sampler) Update(odds *wire.Odds) *base.Fault {
	if odds.GetEpsilon() <= 0 || odds.GetEpsilon() > 1 {
		return base.NewFault(base.OutOfRange, "odds.epsilon", "%v", odds.GetEpsilon())
	}
	for identifier, probability := range odds.Table {
		if !(probability >= odds.Epsilon && probability <= 1) {
			return base.NewFault(base.OutOfRange, "odds."+identifier, "%v", probability)
		}
	}
	for {
		current := s.odds.Load()
		if current != nil && odds.Serial <= current.Serial || s.odds.CompareAndSwap(current, odds) {
			return nil
		}
	}
}

// Probability returns the probability that a call of the identifier is recorded.
// It is 1 for identifiers that have none.
func (s *Sampler) Probability(identifier string) float64 {
	odds := s.odds.Load()
	if odds == nil {
		return 1
	}
	probability, known := odds.Table[identifier]
	if !known {
		return 1
	}
	return probability
}

// Sample decides at random, by Probability, whether to record a call of the
// identifier.
func (s *Sampler) Sample(identifier string) bool {
	probability := s.Probability(identifier)
	return probability >= 1 || s.rand.Float64() < probability
}
