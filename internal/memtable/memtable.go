// Package memtable implements the platform's transactional table in memory: rows with
// versions, and writes that are conditional on the versions. The stand-in for the platform
// serves one over HTTP; tests use one as a fake, and decide which calls fail or lose their
// response. It does no I/O.
package memtable

import (
	"context"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/ryeford/ryeford"
)

// A Table is a ryeford.Table in memory.
type Table struct {
	mu       sync.Mutex
	contents Contents
	outcome  func(write bool) Outcome
}

// Contents is a snapshot of a Table.
type Contents struct {
	Rows    map[string]ryeford.Row `json:"rows"`    // by key
	Version int64                  `json:"version"` // of the last write
}

// An Outcome is the outcome of a call.
type Outcome int

// The outcomes of a call.
const (
	Success      Outcome = iota
	Failure              // the call is not applied
	ResponseLost         // the call is applied, but its response is lost
)

// New returns an empty Table. outcome returns the outcome of each call; if it is nil, all
// calls succeed.
func New(outcome func(write bool) Outcome) *Table {
	if outcome == nil {
		outcome = func(bool) Outcome { return Success }
	}
	return &Table{contents: Contents{Rows: make(map[string]ryeford.Row)}, outcome: outcome}
}

// Contents returns a snapshot of the table.
func (t *Table) Contents() Contents {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Contents{Rows: maps.Clone(t.contents.Rows), Version: t.contents.Version}
}

// SetContents replaces the contents of the table with a snapshot, which it copies.
func (t *Table) SetContents(contents Contents) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contents = Contents{Rows: make(map[string]ryeford.Row), Version: contents.Version}
	maps.Copy(t.contents.Rows, contents.Rows)
}

// Get implements ryeford.Table.
func (t *Table) Get(_ context.Context, keys ...string) ([]ryeford.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outcome(false) != Success {
		return nil, &ryeford.UnavailableError{Service: "table", Err: io.EOF}
	}
	rows := make([]ryeford.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.contents.Rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

// List implements ryeford.Table.
func (t *Table) List(_ context.Context, prefix string) ([]ryeford.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outcome(false) != Success {
		return nil, &ryeford.UnavailableError{Service: "table", Err: io.EOF}
	}
	var rows []ryeford.Row
	for key, row := range t.contents.Rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b ryeford.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, nil
}

// Transact implements ryeford.Table.
func (t *Table) Transact(_ context.Context, writes ...ryeford.Write) (int64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	outcome := t.outcome(true)
	if outcome == Failure {
		return 0, &ryeford.UnavailableError{Service: "table", Err: io.EOF}
	}
	var conflicts []string
	for _, w := range writes {
		if w.IfVersion != ryeford.AnyVersion && t.contents.Rows[w.Key].Version != w.IfVersion {
			conflicts = append(conflicts, w.Key)
		}
	}
	if len(conflicts) == 0 {
		t.apply(writes)
	}
	switch {
	case outcome == ResponseLost:
		return 0, &ryeford.UnavailableError{Service: "table", MayHaveApplied: true, Err: io.EOF}
	case len(conflicts) > 0:
		return 0, &ryeford.ConflictError{Keys: conflicts}
	}
	return t.contents.Version, nil
}

// apply applies writes whose conditions are satisfied.
func (t *Table) apply(writes []ryeford.Write) {
	t.contents.Version++
	for _, w := range writes {
		if w.Delete {
			delete(t.contents.Rows, w.Key)
			continue
		}
		t.contents.Rows[w.Key] = ryeford.Row{Key: w.Key, Value: w.Value, Version: t.contents.Version}
	}
}
