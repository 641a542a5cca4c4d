package rowstore

import (
	"bytes"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/ryeford/ryeford/platform/wire"
)

// A Copy is a state of a Store, from which it can be restored.
type Copy struct {
	rows    map[rowName]wire.Row
	changes []wire.Row
	version int64
	oldest  int64
}

// Copy returns a copy of what the store holds now.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{rows: maps.Clone(s.rows), changes: slices.Clone(s.changes), version: s.version, oldest: s.oldest}
}

// Restore makes the store go on from a copy: what was written after that is gone, its versions are
// given out again, and the era rises by one. A read of changes since a version that the store does
// not have is answered with 410.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.changes = maps.Clone(c.rows), slices.Clone(c.changes)
	s.version, s.oldest, s.restored = c.version, c.oldest, c.version
	s.era++
	s.keepStale()
	s.wake()
}

// WriteAgain writes what a copy has in some tables and the store lacks or has otherwise, as those do
// whose acknowledged writes a restore has lost, and removes what the copy lacks; but for rows that were
// written after the restore.
func (s *Store) WriteAgain(newest *Copy, tables ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := func(name rowName, now wire.Row) bool {
		return slices.Contains(tables, name.table) && now.Version <= s.restored
	}
	for name, now := range s.rows {
		if _, there := newest.rows[name]; !there && lost(name, now) {
			now.Removed = true
			s.apply(now)
		}
	}
	for name, row := range newest.rows {
		now := s.rows[name]
		if lost(name, now) && !s.removedSince(name) && !bytes.Equal(now.Value, row.Value) {
			s.apply(row)
		}
	}
	s.wake()
}

// removedSince reports whether a row was removed since the last restore. s.mu is held.
func (s *Store) removedSince(name rowName) bool {
	return slices.ContainsFunc(s.changes, func(row wire.Row) bool {
		return row.Removed && row.Version > s.restored && rowName{table: row.Table, key: row.Key} == name
	})
}

// HideEra makes the store leave its era out of its answers from now on.
func (s *Store) HideEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hidesEra = true
}

// writeEra sets the header with the store's era.
func (s *Store) writeEra(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hidesEra {
		header.Set(wire.HeaderEra, strconv.FormatInt(s.era, 10))
	}
}
