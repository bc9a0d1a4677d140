package base

import (
	"iter"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
)

type Table[V any] struct {
	mu   sync.Mutex
	rows atomic.Pointer[map[string]V]
}

func (t *Table[V]) Snapshot() map[string]V {
	if rows := t.rows.Load(); rows != nil {
		return *rows
	}
	return nil
}

func (t *Table[V]) Get(key string) (V, bool) {
	row, ok := t.Snapshot()[key]
	return row, ok
}

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

func (t *Table[V]) Change(change func(rows map[string]V)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := maps.Clone(t.Snapshot())
	if rows == nil {
		rows = map[string]V{}
	}
	change(rows)
	t.rows.Store(&rows)
}

func (t *Table[V]) Put(key string, row V) {
	t.Change(func(rows map[string]V) { rows[key] = row })
}
