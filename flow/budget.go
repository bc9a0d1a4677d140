package flow

import (
	"sync/atomic"
	"time"

	"curlewreach/base"
	"curlewreach/pact"
)

type meter struct{ state atomic.Uint64 }

func (m *meter) spend(second uint64, most uint32) bool {
	for {
		state := m.state.Load()
		used := uint32(state)
		if state>>32 != second {
			used = 0
		}
		if used >= most {
			return false
		}
		if m.state.CompareAndSwap(state, second<<32|uint64(used+1)) {
			return true
		}
	}
}

type allowance struct {
	meter *meter
	most  uint32
}

type Budget struct {
	clock base.Clock
	rows  atomic.Pointer[map[string]allowance]
}

func NewBudget(clock base.Clock) *Budget { return &Budget{clock: clock} }

func (b *Budget) Set(bundle *pact.Bundle) {
	total := 0.0
	shares := bundle.Raw.GetCommon().GetShares()
	for _, share := range shares {
		total += share.Watched
	}
	rows := map[string]allowance{}
	for _, share := range shares {
		row := allowance{meter: &meter{}, most: max(uint32(bundle.Tracing().GetBudget()*share.Watched/total), 1)}
		if prior := b.rows.Load(); prior != nil {
			if kept, ok := (*prior)[share.Group]; ok {
				row.meter = kept.meter
			}
		}
		rows[share.Group] = row
	}
	b.rows.Store(&rows)
}

func (b *Budget) Spend(group string) bool {
	rows := b.rows.Load()
	if rows == nil {
		return false
	}
	row, ok := (*rows)[group]
	return ok && row.meter.spend(uint64(b.clock.Mono()/time.Second), row.most)
}
