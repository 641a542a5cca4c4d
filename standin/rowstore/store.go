// Package rowstore is a stand-in of the platform's store of rows, for tests and
// for development. It speaks the part of its protocol that ryeford uses, and can
// be told to misbehave as the platform's may.
package rowstore

import (
	"cmp"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// A Row is one row.
type Row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Ver   int64  `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

// A Fault is what is wrong with the store.
type Fault struct {
	// Status answers each call, where it is set, and does nothing.
	Status int `json:"status"`
	// Silent never answers.
	Silent bool `json:"silent"`
	// Slow delays each answer.
	Slow time.Duration `json:"slow"`
	// DeafFeed lets feeds hear nothing.
	DeafFeed bool `json:"deaf_feed"`
	// StaleReads answers reads as of when the fault was set.
	StaleReads bool `json:"stale_reads"`
}

// A Store is the stand-in. It is an http.Handler.
type Store struct {
	began time.Time

	mu      sync.Mutex
	rows    map[string]Row // by table and key
	changes []Row
	ver     int64
	oldest  int64 // history reaches back to this revision
	changed chan struct{}
	fault   Fault
	then    map[string]Row // the rows when the fault was set, and their version
	thenVer int64
	calls   int
}

// New returns an empty Store.
func New() *Store {
	return &Store{
		began:   time.Now(),
		rows:    make(map[string]Row),
		changed: make(chan struct{}),
	}
}

// Put writes a row and returns the store's new version.
func (s *Store) Put(table, key string, value []byte) int64 {
	return s.change(Row{Table: table, Key: key, Value: value})
}

// PutJSON writes a row whose value is the JSON of a value.
func (s *Store) PutJSON(table, key string, value any) (int64, error) {
	content, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	return s.Put(table, key, content), nil
}

// Remove drops a row and returns the store's new version.
func (s *Store) Remove(table, key string) int64 {
	return s.change(Row{Table: table, Key: key, Gone: true})
}

// change writes one row and wakes those that wait.
func (s *Store) change(row Row) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(row)
	s.wake()
	return s.ver
}

// apply writes one row.
func (s *Store) apply(row Row) {
	s.ver++
	row.Ver = s.ver
	name := row.Table + "/" + row.Key
	if row.Gone {
		delete(s.rows, name)
	} else {
		s.rows[name] = row
	}
	s.changes = append(s.changes, row)
}

// ForgetHistory drops the history: feeds that reach back behind now are gone.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = nil
	s.oldest = s.ver
	s.wake()
}

// SetFault sets what is wrong with the store.
func (s *Store) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
	s.then, s.thenVer = maps.Clone(s.rows), s.ver
	s.wake()
}

// Calls returns how many calls have come.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// wake wakes the feeds that wait.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// An answer is the body of an answer concerning rows.
type answer struct {
	Rows  []Row `json:"rows"`
	More  bool  `json:"more"`
	Ver   int64 `json:"ver"`
	NowMs int64 `json:"now_ms"`
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	s.mu.Unlock()
	if s.serveFault(w, r, fault) {
		return
	}
	switch r.URL.Path {
	case "/ryeford/rows-get":
		s.serveGet(w, r)
	case "/ryeford/rows-feed":
		s.serveFeed(w, r)
	case "/ryeford/rows-tx":
		s.serveTransaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serveFault lets a call meet a fault, and reports whether that was its answer.
func (s *Store) serveFault(w http.ResponseWriter, r *http.Request, fault Fault) bool {
	if fault.Slow > 0 {
		select {
		case <-time.After(fault.Slow):
		case <-r.Context().Done():
			return true
		}
	}
	switch {
	case fault.Silent:
		<-r.Context().Done()
		return true
	case fault.Status != 0:
		w.WriteHeader(fault.Status)
		return true
	}
	return false
}

// serveGet answers with the rows of a table.
func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(query.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	current, ver := s.rows, s.ver
	if s.fault.StaleReads {
		current, ver = s.then, s.thenVer
	}
	var rows []Row
	for _, row := range current {
		if row.Table == query.Get("table") && row.Key >= query.Get("from") {
			rows = append(rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	s.write(w, answer{Rows: rows[:min(limit, len(rows))], More: more, Ver: ver})
}

// serveFeed answers with what has changed in a table, once something has.
func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	since, _ := strconv.ParseInt(query.Get("sinceRev"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mu.Lock()
		rows, known := s.changesSince(query.Get("table"), since)
		ver, changed, fault := s.ver, s.changed, s.fault
		s.mu.Unlock()
		if s.serveFault(w, r, fault) {
			return
		}
		if !known {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 && !fault.DeafFeed {
			s.write(w, answer{Rows: rows, Ver: ver})
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			s.write(w, answer{Rows: []Row{}, Ver: max(since, ver-int64(len(rows)))})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// A transaction is a change under a condition, all or none.
type transaction struct {
	ExpectedRev []Row `json:"expectedRev"`
	Put         []Row `json:"put"`
	Remove      []Row `json:"remove"`
}

// serveTransaction makes a change, or answers with the rows that are not as they
// were to be.
func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var differ []Row
	for _, row := range tx.ExpectedRev {
		if now := s.rows[row.Table+"/"+row.Key]; now.Ver != row.Ver {
			differ = append(differ, now)
		}
	}
	if differ != nil {
		w.WriteHeader(http.StatusPreconditionFailed)
		s.write(w, answer{Rows: differ, Ver: s.ver})
		return
	}
	for _, row := range tx.Put {
		s.apply(row)
	}
	for _, row := range tx.Remove {
		row.Gone = true
		s.apply(row)
	}
	s.wake()
	s.write(w, answer{Ver: s.ver})
}

// changesSince returns a table's changes behind a revision, and whether they are
// still known.
func (s *Store) changesSince(table string, since int64) ([]Row, bool) {
	if since < s.oldest {
		return nil, false
	}
	var rows []Row
	for _, row := range s.changes {
		if row.Ver > since && row.Table == table {
			rows = append(rows, row)
		}
	}
	return rows, true
}

// write writes an answer.
func (s *Store) write(w http.ResponseWriter, a answer) {
	a.NowMs = time.Since(s.began).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a)
}
