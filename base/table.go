package base

import (
	"iter"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

// Table is a map that is read without locks and replaced as a whole by each
// change. It suits tables that change rarely. The zero value is empty.
type Table[V any] struct {
	mu   sync.Mutex
	rows atomic.Pointer[map[string]V]
}

// Snapshot returns the present rows. Nobody may change them.
func (t *Table[V]) Snapshot() map[string]V {
	if rows := t.rows.Load(); rows != nil {
		return *rows
	}
	return nil
}

// Get returns a row and whether there is one.
func (t *Table[V]) Get(key string) (V, bool) {
	row, ok := t.Snapshot()[key]
	return row, ok
}

// All iterates over the rows in the order of their keys, as they were at the
// call.
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

// Update calls change with a copy of the rows, which then takes their place.
// Changes follow each other; change must not change the table again.
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

// Put sets one row.
func (t *Table[V]) Put(key string, row V) {
	t.Update(func(rows map[string]V) { rows[key] = row })
}
