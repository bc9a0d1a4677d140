package tracing

import (
	"sync/atomic"

	"curlewreach/base"
	"curlewreach/proto/wire"
)

type Keeper struct {
	rand *base.Rand
	odds atomic.Pointer[wire.Odds]
}

func NewKeeper(rand *base.Rand) *Keeper { return &Keeper{rand: rand} }

func (k *Keeper) Odds() *wire.Odds { return k.odds.Load() }

func (k *Keeper) Serial() uint64 { return k.odds.Load().GetSerial() }

func (k *Keeper) Load(odds *wire.Odds) *base.Mishap {
	if odds.GetEpsilon() <= 0 || odds.GetEpsilon() > 1 {
		return base.Bounce(base.OutOfRange, "odds.epsilon", "%v", odds.GetEpsilon())
	}
	for identifier, chance := range odds.Table {
		if !(chance >= odds.Epsilon && chance <= 1) {
			return base.Bounce(base.OutOfRange, "odds."+identifier, "%v", chance)
		}
	}
	k.odds.Store(odds)
	return nil
}

func (k *Keeper) Chance(identifier string) float64 {
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

func (k *Keeper) Keep(identifier string) bool {
	chance := k.Chance(identifier)
	return chance >= 1 || k.rand.Float64() < chance
}
