// Package memtable is a platform table in memory, for tests.
package memtable

import (
	"context"
	"io"
	"sort"
	"strings"
	"sync"

	"github.com/ryeford/ryeford"
)

// A Table is a ryeford.Table in memory.
type Table struct {
	mu      sync.Mutex
	rows    map[string]ryeford.Row
	version int64
	fate    func(write bool) Fate
}

// A Fate is what becomes of a call.
type Fate int

// The fates.
const (
	Succeeds Fate = iota
	Fails         // nothing is done
	Lost          // it is done, but the answer is lost
)

// New returns an empty Table. A fate decides what becomes of each call; nil is
// always success.
func New(fate func(write bool) Fate) *Table {
	if fate == nil {
		fate = func(bool) Fate { return Succeeds }
	}
	return &Table{rows: make(map[string]ryeford.Row), fate: fate}
}

// Get implements ryeford.Table.
func (t *Table) Get(_ context.Context, keys ...string) ([]ryeford.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fate(false) != Succeeds {
		return nil, &ryeford.UnavailableError{Service: "table", Err: io.EOF}
	}
	rows := make([]ryeford.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

// List implements ryeford.Table.
func (t *Table) List(_ context.Context, prefix string) ([]ryeford.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fate(false) != Succeeds {
		return nil, &ryeford.UnavailableError{Service: "table", Err: io.EOF}
	}
	var rows []ryeford.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Transact implements ryeford.Table.
func (t *Table) Transact(_ context.Context, writes ...ryeford.Write) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fate := t.fate(true)
	if fate == Fails {
		return 0, &ryeford.UnavailableError{Service: "table", Err: io.EOF}
	}
	var conflicts []string
	for _, w := range writes {
		if w.IfVersion != ryeford.AnyVersion && t.rows[w.Key].Version != w.IfVersion {
			conflicts = append(conflicts, w.Key)
		}
	}
	if len(conflicts) == 0 {
		t.apply(writes)
	}
	switch {
	case fate == Lost:
		return 0, &ryeford.UnavailableError{Service: "table", MayHaveApplied: true, Err: io.EOF}
	case len(conflicts) > 0:
		return 0, &ryeford.ConflictError{Keys: conflicts}
	}
	return t.version, nil
}

// apply makes writes whose conditions hold.
func (t *Table) apply(writes []ryeford.Write) {
	t.version++
	for _, w := range writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		t.rows[w.Key] = ryeford.Row{Key: w.Key, Value: w.Value, Version: t.version}
	}
}
