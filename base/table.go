package base

import (
	"iter"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// Table is a copy-on-write map: reads take no lock, and each change replaces the
// whole map, so it suits tables that change rarely. The zero value is an empty
// table.
type Table[V any] struct {
	mu   sync.Mutex
	rows atomic.Pointer[map[string]V]
}

// Snapshot returns the current rows. Callers must not modify the map.
func (t *Table[V]) Snapshot() map[string]V {
	if rows := t.rows.Load(); rows != nil {
		return *rows
	}
	return nil
}

// Get returns the row for a key and whether it exists.
func (t *Table[V]) Get(key string) (V, bool) {
	row, ok := t.Snapshot()[key]
	return row, ok
}

// All iterates in key order over a snapshot of the rows taken at the call.
func (t *Table[V]) All() iter.Seq2[string, V] {
	rows := t.Snapshot()
	return func(yield func(string, V) bool) {
		for _, key := range slices.Sorted(maps.Keys(rows)) {
			if !yield(key, rows[key]) {
				return
			}
		}
	}
}

// Update calls change with a copy of the rows and then publishes the copy. Updates
// are serialized by a lock, so change must not update the table itself.
func (t *Table[V]) Update(change func(rows map[string]V)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := maps.Clone(t.Snapshot())
	if rows == nil {
		rows = map[string]V{}
	}
	change(rows)
	t.rows.Store(&rows)
}

// Put sets the row for a key.
func (t *Table[V]) Put(key string, row V) {
	t.Update(func(rows map[string]V) { rows[key] = row })
}
