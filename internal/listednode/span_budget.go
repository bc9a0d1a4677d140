package listednode

import (
	"sync/atomic"
	"time"

	"curlewreach/base"
	"curlewreach/internal/bundle"
)

// spanCounter counts spans in the current second and in the one before. Each element holds the number of
// the second in its upper 32 bits and the count in the lower ones.
type spanCounter struct{ seconds [2]atomic.Uint64 }

// spend counts a span in a second and reports true, unless the limit is reached.
func (c *spanCounter) spend(second uint64, limit uint32) bool {
	slot := &c.seconds[second%2]
	for {
		state := slot.Load()
		used := uint32(state)
		if state>>32 != second {
			used = 0
		}
		if used >= limit {
			return false
		}
		if slot.CompareAndSwap(state, second<<32|uint64(used+1)) {
			return true
		}
	}
}

// used returns the number of spans in a second, 0 if the second is neither the current one nor the one
// before.
func (c *spanCounter) used(second uint64) uint32 {
	state := c.seconds[second%2].Load()
	if state>>32 != second {
		return 0
	}
	return uint32(state)
}

// groupBudget is the budget of one group.
type groupBudget struct {
	counter *spanCounter
	granted *atomic.Uint64 // spans granted in total
	limit   uint32         // spans per second
}

// SpanBudget divides the number of spans that a node may record each second among the groups, by the
// weights of their shares. What a group leaves unused in a second is available to all groups in the next.
// It takes no lock and is safe for concurrent use.
type SpanBudget struct {
	clock    base.Clock
	borrowed spanCounter                            // spans granted to groups beyond their limits, out of what was left unused
	groups   atomic.Pointer[map[string]groupBudget] // by name
}

// NewSpanBudget returns a budget that grants nothing before SetShares.
func NewSpanBudget(clock base.Clock) *SpanBudget { return &SpanBudget{clock: clock} }

// SetShares divides the budget by the shares of a bundle.
func (b *SpanBudget) SetShares(signed *bundle.Bundle) {
	total := 0.0
	shares := signed.Raw.GetCommon().GetShares()
	for _, share := range shares {
		total += share.Watched
	}
	groups := map[string]groupBudget{}
	for _, share := range shares {
		budget := groupBudget{counter: &spanCounter{}, granted: &atomic.Uint64{}, limit: max(uint32(signed.Tracing().GetBudget()*share.Watched/total), 1)}
		if previous := b.groups.Load(); previous != nil {
			if existing, ok := (*previous)[share.Group]; ok {
				budget.counter, budget.granted = existing.counter, existing.granted
			}
		}
		groups[share.Group] = budget
	}
	b.groups.Store(&groups)
}

// Spend takes one span for a group and reports whether there was one left.
func (b *SpanBudget) Spend(group string) bool {
	groups := b.groups.Load()
	if groups == nil {
		return false
	}
	budget, ok := (*groups)[group]
	second := uint64(b.clock.Mono()/time.Second) + 1
	if !ok || !budget.counter.spend(second, budget.limit) && !b.borrowed.spend(second, b.unused(*groups, second-1)) {
		return false
	}
	budget.granted.Add(1)
	return true
}

// unused returns the number of spans that the groups left unused in a second.
func (b *SpanBudget) unused(groups map[string]groupBudget, second uint64) (unused uint32) {
	for _, budget := range groups {
		if used := budget.counter.used(second); used < budget.limit {
			unused += budget.limit - used
		}
	}
	return unused
}

// Granted returns the number of spans granted so far, by group.
func (b *SpanBudget) Granted() map[string]uint64 {
	granted := map[string]uint64{}
	if groups := b.groups.Load(); groups != nil {
		for group, budget := range *groups {
			granted[group] = budget.granted.Load()
		}
	}
	return granted
}
