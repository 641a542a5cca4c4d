// Package rowstore plays the platform's store of rows, for tests, for the soak and
// for `ryeford dev --platform`.
//
// It answers the part of the store's HTTP protocol that ryeford uses: reading a
// table page by page, waiting for changes, and transactions. Names and forms are
// those of platform/wire. A Fault makes it misbehave as the platform's store may.
//
// It does not play partitions, row and call quotas, the time that calls take,
// objects, rights (any caller may write any table), or storage: rows are lost when
// the process ends.
package rowstore

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/ryeford/ryeford/platform/wire"
)

// A Store is the stand-in. It is an http.Handler, and may be used concurrently.
type Store struct {
	mu      sync.Mutex
	clock   storeClock
	rows    map[rowName]wire.Row
	changes []wire.Row    // all since oldest, in order
	version int64         // of the newest transaction
	oldest  int64         // changes up to this version are forgotten
	changed chan struct{} // closed at the next change
	fault   Fault
	// era counts from 1 how often the store was restored from a copy; hidesEra leaves it out of
	// the answers.
	era      int64
	hidesEra bool
	restored int64 // the version from which the store went on after its last restore
	// staleRows and staleVersion are as they were when the fault or the lag was set.
	staleRows    map[rowName]wire.Row
	staleVersion int64
	// lagging is as SetLagging says. ahead are the connections whose last read was answered
	// by newer rows than those of stale reads.
	lagging bool
	ahead   map[string]bool
}

type rowName struct {
	table, key string
}

// New returns an empty Store without a fault.
func New() *Store {
	return &Store{
		clock:   storeClock{since: time.Now(), rate: 1},
		rows:    make(map[rowName]wire.Row),
		changed: make(chan struct{}),
		era:     1,
	}
}

// Put writes a row and returns the store's new version.
func (s *Store) Put(table, key string, value []byte) int64 {
	return s.change(&wire.Transaction{Put: []wire.Row{{Table: table, Key: key, Value: value}}})
}

// PutJSON writes a row whose value is the JSON of a value.
func (s *Store) PutJSON(table, key string, value any) (int64, error) {
	content, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	return s.Put(table, key, content), nil
}

// Remove removes a row and returns the store's new version.
func (s *Store) Remove(table, key string) int64 {
	return s.change(&wire.Transaction{Remove: []wire.Row{{Table: table, Key: key}}})
}

// Rows returns how many rows a table has.
func (s *Store) Rows(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for name := range s.rows {
		if name.table == table {
			n++
		}
	}
	return n
}

// ForgetHistory forgets all changes up to now: waiting for changes since an older
// version is answered with 410.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
	s.oldest = s.version
	s.wake()
}

// SetFault sets what is wrong with the store from now on.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.keepStale()
	s.wake()
}

// SetLagging says whether every second read of a connection is answered as of now, as by a
// replica that gets no changes any more. A read is answered so only after one that showed
// something newer, so that the caller can tell: the platform's store is linearizable, and
// from a first answer that is stale nobody could.
func (s *Store) SetLagging(lagging bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lagging, s.ahead = lagging, make(map[string]bool)
	s.keepStale()
}

// keepStale keeps the rows for stale reads as they are now. s.mu is held.
func (s *Store) keepStale() {
	s.staleRows, s.staleVersion = maps.Clone(s.rows), s.version
}

// answersStale reports whether the next read of a connection is answered from the rows kept
// for stale reads. s.mu is held.
func (s *Store) answersStale(connection string) bool {
	if s.lagging && s.ahead[connection] {
		s.ahead[connection] = false
		return true
	}
	if s.lagging {
		s.ahead[connection] = s.version > s.staleVersion
	}
	return s.fault.StaleReads
}

// change makes a change that expects nothing, and returns the store's new version.
func (s *Store) change(transaction *wire.Transaction) int64 {
	_, response, _ := s.transact(transaction)
	return response.Version
}

// apply writes or removes one row. s.mu is held.
func (s *Store) apply(row wire.Row) {
	s.version++
	row.Version = s.version
	name := rowName{table: row.Table, key: row.Key}
	if row.Removed {
		delete(s.rows, name)
	} else {
		s.rows[name] = row
	}
	s.changes = append(s.changes, row)
}

// wake wakes the calls that wait for changes. s.mu is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesSince returns a table's changes after a version, and whether they are all
// still known. s.mu is held.
func (s *Store) changesSince(table string, version int64) ([]wire.Row, bool) {
	if version < s.oldest || version > s.version {
		return nil, false
	}
	var rows []wire.Row
	for _, row := range s.changes {
		if row.Version > version && row.Table == table {
			rows = append(rows, row)
		}
	}
	return rows, true
}
