package rowstore

import (
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
	s.version, s.oldest = c.version, c.oldest
	s.era++
	s.keepStale()
	s.wake()
}

// HideEra makes the store leave its era out of its answers from now on.
func (s *Store) HideEra() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hidesEra = true
}

// writeEra sets the header that tells the store's era.
func (s *Store) writeEra(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hidesEra {
		header.Set(wire.HeaderEra, strconv.FormatInt(s.era, 10))
	}
}
