package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/clock"
)

// A disruption is a fault of a disruptedStore.
type disruption int

const (
	noDisruption disruption = iota
	// silent never answers calls, including those that are held.
	silent
	// resetting fails each call immediately, including those that are held.
	resetting
	// slow delays each answer by disruptedStore.delay.
	slow
	// stale answers with the state at the start of the disruption, including calls that are held then.
	stale
	// compacted withholds changes, and then loses its history.
	compacted
	// restored fails each call immediately, and the store is then restored from a backup made when
	// the disruption began.
	restored
)

// A disruptedStore is a store whose calls fail like those of platform.Store: a call without an answer
// fails after timeout, plus the time for which it may be held. It runs in synctest's time, without
// connections. It is a ryeford.ConfigurationSource and a ryeford.EndpointSource.
type disruptedStore struct {
	timeout time.Duration
	delay   time.Duration // of an answer while slow
	// transfer is the transfer time of the configuration. If it is not zero, the configuration is
	// large enough to be read conditionally.
	transfer time.Duration
	began    time.Time

	mu         sync.Mutex
	current    tables
	stale      tables // as of the start of the disruption
	disruption disruption
	oldest     ryeford.Revision // changes up to this revision are lost
	changed    chan struct{}    // closed at the next change
}

// tables are the contents of a disruptedStore at a revision.
type tables struct {
	revision  ryeford.Revision
	version   int64 // of the configuration
	endpoints []ryeford.Endpoint
	changes   []ryeford.EndpointUpdate // one endpoint each
}

// newDisruptedStore returns a store with a configuration and the given endpoints.
func newDisruptedStore(timeout time.Duration, ids ...ryeford.EndpointID) *disruptedStore {
	s := &disruptedStore{timeout: timeout, began: time.Now(), changed: make(chan struct{})}
	s.current.version = 1
	for _, id := range ids {
		s.put(id, ryeford.EndpointReady)
	}
	return s
}

// put writes an endpoint's entry.
func (s *disruptedStore) put(id ryeford.EndpointID, state ryeford.EndpointState) {
	s.change(ryeford.EndpointUpdate{Present: []ryeford.Endpoint{{ID: id, Service: "s", State: state}}})
}

// remove removes the entries of endpoints, one at a time.
func (s *disruptedStore) remove(ids ...ryeford.EndpointID) {
	for _, id := range ids {
		s.change(ryeford.EndpointUpdate{Removed: []ryeford.EndpointID{id}})
	}
}

// change applies a change of one endpoint.
func (s *disruptedStore) change(change ryeford.EndpointUpdate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := tables{
		revision: s.current.revision + 1,
		version:  s.current.version,
		changes:  s.current.changes,
	}
	change.Revision = next.revision
	next.changes = append(next.changes[:len(next.changes):len(next.changes)], change)
	for _, endpoint := range s.current.endpoints {
		if !concerns(&change, endpoint.ID) {
			next.endpoints = append(next.endpoints, endpoint)
		}
	}
	next.endpoints = append(next.endpoints, change.Present...)
	s.current = next
	s.wake()
}

// concerns reports whether a change concerns an endpoint.
func concerns(change *ryeford.EndpointUpdate, id ryeford.EndpointID) bool {
	if len(change.Present) > 0 {
		return change.Present[0].ID == id
	}
	return change.Removed[0] == id
}

// configure writes a version of the configuration.
func (s *disruptedStore) configure(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.revision++
	s.current.version = version
	s.wake()
}

// setDisruption sets the disruption from now on. A compacted store has lost its history once the
// disruption ends.
func (s *disruptedStore) setDisruption(kind disruption) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disruption == compacted {
		s.oldest = s.current.revision
	}
	s.disruption = kind
	s.stale = s.current
	s.wake()
}

// backup returns the current contents of the store.
func (s *disruptedStore) backup() tables {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// restore restores the store from a backup, in the next era.
func (s *disruptedStore) restore(from tables) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision, err := ryeford.NewRevision(s.current.revision.Era()+1, from.revision.Number())
	if err != nil {
		panic(err)
	}
	s.current = tables{revision: revision, version: from.version, endpoints: from.endpoints}
	s.oldest = revision
	s.wake()
}

// wake unblocks held calls. s.mu is held.
func (s *disruptedStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the state that a read sees now, and a channel that unblocks a held read.
func (s *disruptedStore) read() (tables, disruption, ryeford.Revision, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.disruption {
	case stale:
		return s.stale, s.disruption, s.oldest, nil
	case compacted:
		return s.stale, s.disruption, s.oldest, s.changed
	}
	return s.current, s.disruption, s.oldest, s.changed
}

// applyDisruption applies the disruption to a call that may be held until limit, and returns its
// error.
func (s *disruptedStore) applyDisruption(ctx context.Context, kind disruption, limit time.Time) error {
	failure := &ryeford.UnavailableError{Service: "store", Err: errors.New("disruption")}
	switch kind {
	case silent:
		clock.Sleep(ctx, time.Until(limit))
		return failure
	case resetting, restored:
		return failure
	case slow:
		left := time.Until(limit)
		clock.Sleep(ctx, min(s.delay, left))
		if s.delay > left {
			return failure
		}
	}
	return nil
}

// Configuration implements ryeford.ConfigurationSource.
func (s *disruptedStore) Configuration(ctx context.Context, _ ryeford.KnownConfiguration) (ryeford.ConfigurationUpdate, error) {
	return s.ConfigurationIfChanged(ctx, ryeford.KnownConfiguration{})
}

// ConfigurationIfChanged implements ryeford.ConfigurationSource.
func (s *disruptedStore) ConfigurationIfChanged(ctx context.Context, known ryeford.KnownConfiguration) (ryeford.ConfigurationUpdate, error) {
	const large = 1 << 20
	now, kind, _, _ := s.read()
	if err := s.applyDisruption(ctx, kind, time.Now().Add(s.timeout)); err != nil {
		return ryeford.ConfigurationUpdate{}, err
	}
	update := ryeford.ConfigurationUpdate{
		State:           ryeford.ConfigurationState(now.version),
		Unchanged:       ryeford.ConfigurationState(now.version) == known.State,
		Revision:        now.revision,
		Clock:           time.Since(s.began),
		ResponseStarted: time.Now(),
	}
	if update.Unchanged {
		return update, nil
	}
	known.NotifyChange()
	update.Configuration = &ryeford.Configuration{Version: now.version, Accounts: []ryeford.AccountRule{}}
	if s.transfer > 0 {
		update.Size = large
		clock.Sleep(ctx, s.transfer)
	}
	return update, nil
}

// Endpoints implements ryeford.EndpointSource.
func (s *disruptedStore) Endpoints(ctx context.Context) (ryeford.EndpointUpdate, error) {
	now, kind, _, _ := s.read()
	if err := s.applyDisruption(ctx, kind, time.Now().Add(s.timeout)); err != nil {
		return ryeford.EndpointUpdate{}, err
	}
	return ryeford.EndpointUpdate{Snapshot: true, Revision: now.revision, Present: now.endpoints, Clock: time.Since(s.began), ResponseStarted: time.Now()}, nil
}

// EndpointsSince implements ryeford.EndpointSource.
func (s *disruptedStore) EndpointsSince(ctx context.Context, revision ryeford.Revision, wait time.Duration) (ryeford.EndpointUpdate, error) {
	over := time.After(wait)
	limit := time.Now().Add(wait + s.timeout)
	for {
		now, kind, oldest, changed := s.read()
		if err := s.applyDisruption(ctx, kind, limit); err != nil {
			return ryeford.EndpointUpdate{}, err
		}
		if revision < oldest {
			return ryeford.EndpointUpdate{}, &ryeford.HistoryLostError{}
		}
		update := now.since(revision)
		update.Clock, update.ResponseStarted = time.Since(s.began), time.Now()
		if len(update.Present)+len(update.Removed) > 0 || wait == 0 {
			return update, nil
		}
		select {
		case <-ctx.Done():
			return update, ctx.Err()
		case <-over:
			return update, nil
		case <-changed:
		}
	}
}

// since returns the changes after a revision, only the last one of each endpoint.
func (t *tables) since(revision ryeford.Revision) ryeford.EndpointUpdate {
	update := ryeford.EndpointUpdate{Revision: t.revision}
	seen := make(map[ryeford.EndpointID]bool)
	for i := len(t.changes) - 1; i >= 0 && t.changes[i].Revision > revision; i-- {
		change := &t.changes[i]
		id := append(change.Removed, endpointIDs(change.Present)...)[0]
		if !seen[id] {
			update.Present = append(update.Present, change.Present...)
			update.Removed = append(update.Removed, change.Removed...)
		}
		seen[id] = true
	}
	return update
}

func endpointIDs(endpoints []ryeford.Endpoint) []ryeford.EndpointID {
	var ids []ryeford.EndpointID
	for _, endpoint := range endpoints {
		ids = append(ids, endpoint.ID)
	}
	return ids
}
