// Package rowstore plays the platform's row store, for tests, for the soak test and for
// `ryeford dev --platform`.
//
// It implements the part of the store's HTTP protocol that ryeford uses: reading a table page by
// page, waiting for changes, and transactions. Package platform/wire defines the names and types.
// A Fault makes it fail as the platform's store may.
//
// It doesn't play quotas of rows and calls, latency, objects, permissions (any caller may
// write any table) or persistence (rows are lost when the process ends).
package rowstore

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/ryeford/ryeford/platform/wire"
)

// A Store plays the row store. It is an http.Handler and may be used concurrently.
type Store struct {
	mu      sync.Mutex
	clock   storeClock
	rows    map[rowName]wire.Row
	changes []wire.Row    // all changes after version oldest, in order
	version int64         // of the newest change
	oldest  int64         // changes up to this version have been dropped
	changed chan struct{} // closed and replaced at each change
	fault   Fault
	// era is 1 plus the number of restores. If eraHidden is set, responses omit it.
	era       int64
	eraHidden bool
	restored  int64 // the version after the last restore
	// staleRows and staleVersion are the state when the fault or the lag was last set, or the store
	// was last restored.
	staleRows    map[rowName]wire.Row
	staleVersion int64
	// lagging is set by SetLagging. sawNewer holds the connections whose last read was answered with
	// a newer version than staleVersion.
	lagging  bool
	sawNewer map[string]bool
}

type rowName struct {
	table, partition, key string
}

func nameOf(row *wire.Row) rowName {
	return rowName{table: row.Table, partition: row.Partition, key: row.Key}
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

// PutJSON writes a row with a value that it encodes as JSON, and returns the store's new version.
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

// Rows returns the number of rows of a table.
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

// DropHistory drops all changes up to now. Waiting for changes since an older version is then
// answered with 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
	s.oldest = s.version
	s.notifyWaiters()
}

// SetFault replaces the store's fault.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.keepStaleRows()
	s.notifyWaiters()
}

// SetLagging sets whether every second read of a connection gets the state at the time of this call,
// as if from a replica that no longer receives changes. Only a read that follows one with a newer
// version is stale, so that callers can detect it: the platform's store is linearizable, and a
// stale first read could not be detected.
func (s *Store) SetLagging(lagging bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lagging, s.sawNewer = lagging, make(map[string]bool)
	s.keepStaleRows()
}

// keepStaleRows saves the current state for stale reads. s.mu is held.
func (s *Store) keepStaleRows() {
	s.staleRows, s.staleVersion = maps.Clone(s.rows), s.version
}

// answersStale reports whether the next read of a connection gets the state that was saved for stale
// reads. s.mu is held.
func (s *Store) answersStale(connection string) bool {
	if s.lagging && s.sawNewer[connection] {
		s.sawNewer[connection] = false
		return true
	}
	if s.lagging {
		s.sawNewer[connection] = s.version > s.staleVersion
	}
	return s.fault.StaleReads
}

// change applies a transaction without expectations and returns the store's new version.
func (s *Store) change(transaction *wire.Transaction) int64 {
	_, response, _ := s.transact(transaction)
	return response.Version
}

// apply writes or removes one row. s.mu is held.
func (s *Store) apply(row wire.Row) {
	s.version++
	row.Version = s.version
	name := nameOf(&row)
	if row.Removed {
		delete(s.rows, name)
	} else {
		s.rows[name] = row
	}
	s.changes = append(s.changes, row)
}

// notifyWaiters notifies the calls that wait for changes. s.mu is held.
func (s *Store) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesSince returns a table's changes after a version. It reports false if the store doesn't have
// all of them. s.mu is held.
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
