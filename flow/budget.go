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
	spent *atomic.Uint64
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
		row := allowance{meter: &meter{}, spent: &atomic.Uint64{}, most: max(uint32(bundle.Tracing().GetBudget()*share.Watched/total), 1)}
		if prior := b.rows.Load(); prior != nil {
			if kept, ok := (*prior)[share.Group]; ok {
				row.meter, row.spent = kept.meter, kept.spent
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
	if !ok || !row.meter.spend(uint64(b.clock.Mono()/time.Second), row.most) {
		return false
	}
	row.spent.Add(1)
	return true
}

func (b *Budget) Spent() map[string]uint64 {
	spent := map[string]uint64{}
	if rows := b.rows.Load(); rows != nil {
		for group, row := range *rows {
			spent[group] = row.spent.Load()
		}
	}
	return spent
}
