package rowstore

import (
	"bytes"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"github.com/ryeford/ryeford/platform/wire"
)

// A Backup is a backup of a Store.
type Backup struct {
	rows    map[rowName]wire.Row
	changes []wire.Row
	version int64
	oldest  int64
}

// Backup returns a backup of the store's current state.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Backup{rows: maps.Clone(s.rows), changes: slices.Clone(s.changes), version: s.version, oldest: s.oldest}
}

// Restore restores the store from a backup. Later writes are lost, their versions are reused, and
// the era is incremented. Reads of changes since a version that the store no longer has are answered
// with 410.
func (s *Store) Restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows, s.changes = maps.Clone(b.rows), slices.Clone(b.changes)
	s.version, s.oldest, s.restored = b.version, b.oldest, b.version
	s.era++
	s.keepStaleRows()
	s.notifyWaiters()
}

// WriteAgain makes the rows of some tables equal to those of a backup made before the last restore, as
// writers do when they notice that a restore has lost their acknowledged writes. It doesn't change
// rows that were written or removed after the restore.
func (s *Store) WriteAgain(latest *Backup, tables ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	unchanged := func(name rowName, current wire.Row) bool {
		return slices.Contains(tables, name.table) && current.Version <= s.restored
	}
	for name, current := range s.rows {
		if _, exists := latest.rows[name]; !exists && unchanged(name, current) {
			current.Removed = true
			s.apply(current)
		}
	}
	for name, row := range latest.rows {
		current := s.rows[name]
		if unchanged(name, current) && !s.removedSinceRestore(name) && !bytes.Equal(current.Value, row.Value) {
			s.apply(row)
		}
	}
	s.notifyWaiters()
}

// removedSinceRestore reports whether a row was removed after the last restore. s.mu is held.
func (s *Store) removedSinceRestore(name rowName) bool {
	return slices.ContainsFunc(s.changes, func(row wire.Row) bool {
		return row.Removed && row.Version > s.restored && nameOf(&row) == name
	})
}

// HideEra makes the store omit its era from all further responses.
func (s *Store) HideEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eraHidden = true
}

// writeEra sets the header with the store's era.
func (s *Store) writeEra(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.eraHidden {
		header.Set(wire.HeaderEra, strconv.FormatInt(s.era, 10))
	}
}
