package rowstore

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/ryeford/ryeford/platform/wire"
)

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault.serve(w, r) {
		return
	}
	s.writeEra(w.Header())
	switch r.URL.Path {
	case wire.PathRows:
		s.serveRows(w, r)
	case wire.PathPartitions:
		s.servePartitions(w, r)
	case wire.PathChanges:
		s.serveChanges(w, r)
	case wire.PathTransaction:
		s.serveTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serveRows answers with one page of a partition of a table, sorted by key.
func (s *Store) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := wire.MaxPageRows
	if n, err := strconv.Atoi(query.Get(wire.QueryLimit)); err == nil && n > 0 {
		limit = min(limit, n)
	}
	from := rowName{table: query.Get(wire.QueryTable), partition: query.Get(wire.QueryPartition), key: query.Get(wire.QueryFrom)}
	rows, version := s.read(r.RemoteAddr, from)
	if to := query.Get(wire.QueryTo); to != "" {
		rows = slices.DeleteFunc(rows, func(row wire.Row) bool { return row.Key >= to })
	}
	slices.SortFunc(rows, func(a, b wire.Row) int { return cmp.Compare(a.Key, b.Key) })
	s.write(w, http.StatusOK, &wire.RowsResponse{
		Rows:    rows[:min(limit, len(rows))],
		More:    len(rows) > limit,
		Version: version,
	})
}

// read returns the rows of a partition of a table whose keys are not less than from's, unsorted, and their version.
// The connection determines whether the rows are stale (see answersStale).
func (s *Store) read(connection string, from rowName) ([]wire.Row, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, version := s.rows, s.version
	if s.answersStale(connection) {
		current, version = s.staleRows, s.staleVersion
	}
	var rows []wire.Row
	for _, row := range current {
		if row.Table == from.table && row.Partition == from.partition && row.Key >= from.key {
			rows = append(rows, row)
		}
	}
	return rows, version
}

// servePartitions answers with the partitions of a table, sorted.
func (s *Store) servePartitions(w http.ResponseWriter, r *http.Request) {
	table := r.URL.Query().Get(wire.QueryTable)
	s.mu.Lock()
	found := make(map[string]bool)
	for name := range s.rows {
		if name.table == table {
			found[name.partition] = true
		}
	}
	version := s.version
	s.mu.Unlock()
	s.write(w, http.StatusOK, &wire.RowsResponse{Rows: []wire.Row{}, Partitions: slices.Sorted(maps.Keys(found)), Version: version})
}

// serveChanges answers with the changes of a table since a version. If there are none, it waits for
// the first one or until the timeout of the request.
func (s *Store) serveChanges(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since := number(query, wire.QuerySince)
	timeout := time.NewTimer(time.Duration(number(query, wire.QueryWait)) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		rows, complete := s.changesSince(query.Get(wire.QueryTable), since)
		version, changed, fault := s.version, s.changed, s.fault
		s.mu.Unlock()
		if fault.serve(w, r) {
			return
		}
		s.writeEra(w.Header())
		if !complete {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 && !fault.WithholdChanges {
			s.write(w, http.StatusOK, &wire.RowsResponse{Rows: rows, Version: version})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			// Exclude withheld changes from the version, or the caller would never read them.
			s.write(w, http.StatusOK, &wire.RowsResponse{Rows: []wire.Row{}, Version: max(since, version-int64(len(rows)))})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// serveTransaction applies a transaction, or answers 412 with the rows whose version is not the
// expected one.
func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var transaction wire.Transaction
	if r.Method != http.MethodPost || err != nil || json.Unmarshal(body, &transaction) != nil || !versionsStated(body) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, response, fault := s.transact(&transaction)
	if fault.LoseAnswers {
		<-r.Context().Done()
		return
	}
	s.write(w, status, response)
}

// versionsStated reports whether each expected row of a transaction states a version, which may be zero.
func versionsStated(body []byte) bool {
	var transaction struct {
		Expected []struct {
			Version *int64 `json:"ver"`
		} `json:"expectedRev"`
	}
	if json.Unmarshal(body, &transaction) != nil {
		return false
	}
	for _, row := range transaction.Expected {
		if row.Version == nil {
			return false
		}
	}
	return true
}

// transact applies a transaction. It returns the status and the response, and the store's fault at
// that time.
func (s *Store) transact(transaction *wire.Transaction) (int, *wire.RowsResponse, Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mismatched := s.mismatched(transaction.Expected); len(mismatched) > 0 {
		return http.StatusPreconditionFailed, &wire.RowsResponse{Rows: mismatched, Version: s.version}, s.fault
	}
	for _, row := range transaction.Put {
		s.apply(row)
	}
	for _, row := range transaction.Remove {
		row.Removed = true
		s.apply(row)
	}
	s.notifyWaiters()
	return http.StatusOK, &wire.RowsResponse{Version: s.version}, s.fault
}

// mismatched returns the current rows whose version is not the expected one. s.mu is held.
func (s *Store) mismatched(expected []wire.ExpectedRow) []wire.Row {
	var mismatched []wire.Row
	for _, row := range expected {
		if current := s.rows[rowName{table: row.Table, partition: row.Partition, key: row.Key}]; current.Version != row.Version {
			mismatched = append(mismatched, current)
		}
	}
	return mismatched
}

// number returns a query parameter as a number, or zero if it isn't one.
func number(query url.Values, name string) int64 {
	n, err := strconv.ParseInt(query.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// write writes a response with the reading of the store's clock. It ignores write errors, which mean
// that the caller has closed the connection.
func (s *Store) write(w http.ResponseWriter, status int, response *wire.RowsResponse) {
	response.ClockMs = s.clockReading().Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response)
}
