package listednode

import (
	"sync/atomic"
	"time"

	"curlewreach/base"
	"curlewreach/internal/bundle"
)

type meter struct{ seconds [2]atomic.Uint64 }

func (m *meter) spend(second uint64, most uint32) bool {
	at := &m.seconds[second%2]
	for {
		state := at.Load()
		used := uint32(state)
		if state>>32 != second {
			used = 0
		}
		if used >= most {
			return false
		}
		if at.CompareAndSwap(state, second<<32|uint64(used+1)) {
			return true
		}
	}
}

func (m *meter) used(second uint64) uint32 {
	state := m.seconds[second%2].Load()
	if state>>32 != second {
		return 0
	}
	return uint32(state)
}

type groupBudget struct {
	meter *meter
	spent *atomic.Uint64
	most  uint32
}

// SpanBudget divides the spans that a node may record each second among the groups
// by the weights of their shares. What a group left unused in a second is lent
// to all in the next. It takes no lock.
type SpanBudget struct {
	clock base.Clock
	lent  meter
	rows  atomic.Pointer[map[string]groupBudget]
}

// NewSpanBudget returns a budget that grants nothing before Set.
func NewSpanBudget(clock base.Clock) *SpanBudget { return &SpanBudget{clock: clock} }

// SetShares divides by a bundle's shares.
func (b *SpanBudget) SetShares(signed *bundle.Bundle) {
	total := 0.0
	shares := signed.Raw.GetCommon().GetShares()
	for _, share := range shares {
		total += share.Watched
	}
	rows := map[string]groupBudget{}
	for _, share := range shares {
		row := groupBudget{meter: &meter{}, spent: &atomic.Uint64{}, most: max(uint32(signed.Tracing().GetBudget()*share.Watched/total), 1)}
		if prior := b.rows.Load(); prior != nil {
			if kept, ok := (*prior)[share.Group]; ok {
				row.meter, row.spent = kept.meter, kept.spent
			}
		}
		rows[share.Group] = row
	}
	b.rows.Store(&rows)
}

// Spend takes one span for a group, and reports whether there was one left.
func (b *SpanBudget) Spend(group string) bool {
	rows := b.rows.Load()
	if rows == nil {
		return false
	}
	row, ok := (*rows)[group]
	second := uint64(b.clock.Mono()/time.Second) + 1
	if !ok || !row.meter.spend(second, row.most) && !b.lent.spend(second, b.spare(*rows, second-1)) {
		return false
	}
	row.spent.Add(1)
	return true
}

func (b *SpanBudget) spare(rows map[string]groupBudget, second uint64) (left uint32) {
	for _, row := range rows {
		if used := row.meter.used(second); used < row.most {
			left += row.most - used
		}
	}
	return left
}

// Granted returns the spans granted so far, by group.
func (b *SpanBudget) Granted() map[string]uint64 {
	spent := map[string]uint64{}
	if rows := b.rows.Load(); rows != nil {
		for group, row := range *rows {
			spent[group] = row.spent.Load()
		}
	}
	return spent
}
