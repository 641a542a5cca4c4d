package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/clock"
)

// A disruption is what is wrong with a troubledStore.
type disruption int

const (
	noDisruption disruption = iota
	// silent loses calls: also those that it holds, and for good.
	silent
	// resetting ends each call at once, also those that it holds.
	resetting
	// slow takes troubledStore.delay for each answer.
	slow
	// stale answers as of when the trouble began, also the calls that it holds then.
	stale
	// compacted withholds changes and then has lost its history.
	compacted
	// restored ends each call at once, and the store is then back from a copy of its beginning.
	restored
)

// A disruptedStore is a store whose calls fail as platform.Store's do: a call that gets
// no answer fails after timeout, beyond the time for which it may be held. It works in
// the time of synctest, without connections. It is a ryeford.ConfigurationSource and a
// ryeford.EndpointSource.
type disruptedStore struct {
	timeout time.Duration
	delay   time.Duration // of an answer while slow
	// transfer is how long the configuration takes on the way. It is as large as one
	// that is compared before it is transferred, unless transfer is zero.
	transfer time.Duration
	began    time.Time

	mu         sync.Mutex
	current    tables
	stale      tables // as of when the trouble began
	disruption disruption
	oldest     ryeford.Revision // changes up to this revision are forgotten
	changed    chan struct{}    // closed at the next change
}

// tables are the contents of a troubledStore as of a revision.
type tables struct {
	revision  ryeford.Revision
	version   int64 // of the configuration
	endpoints []ryeford.Endpoint
	changes   []ryeford.EndpointUpdate // one endpoint each
}

// newDisruptedStore returns a store with a configuration and some endpoints.
func newDisruptedStore(timeout time.Duration, ids ...ryeford.EndpointID) *disruptedStore {
	s := &disruptedStore{timeout: timeout, began: time.Now(), changed: make(chan struct{})}
	s.current.version = 1
	for _, id := range ids {
		s.put(id, ryeford.EndpointReady)
	}
	return s
}

// put writes the entry of an endpoint.
func (s *disruptedStore) put(id ryeford.EndpointID, state ryeford.EndpointState) {
	s.change(ryeford.EndpointUpdate{Present: []ryeford.Endpoint{{ID: id, Service: "s", State: state}}})
}

// remove removes the entries of endpoints, one after the other.
func (s *disruptedStore) remove(ids ...ryeford.EndpointID) {
	for _, id := range ids {
		s.change(ryeford.EndpointUpdate{Removed: []ryeford.EndpointID{id}})
	}
}

// change makes a change of one endpoint.
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

// concerns reports whether a change is of an endpoint.
func concerns(change *ryeford.EndpointUpdate, id ryeford.EndpointID) bool {
	if len(change.Present) > 0 {
		return change.Present[0].ID == id
	}
	return change.Removed[0] == id
}

// configure puts a version of the configuration.
func (s *disruptedStore) configure(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.revision++
	s.current.version = version
	s.wake()
}

// setDisruption sets what is wrong from now on. A compacted store has lost its history once it is
// well again.
func (s *disruptedStore) setDisruption(t disruption) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disruption == compacted {
		s.oldest = s.current.revision
	}
	s.disruption = t
	s.stale = s.current
	s.wake()
}

// backup returns what the store holds now.
func (s *disruptedStore) backup() tables {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// restore makes the store go on from a copy, in the next era.
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

// wake wakes the calls that are held. s.mu is held.
func (s *disruptedStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns what a read sees now, and what wakes a held one.
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

// applyDisruption lets a call that may be held applyDisruption the trouble, and returns how it fails.
func (s *disruptedStore) applyDisruption(ctx context.Context, t disruption, limit time.Time) error {
	failure := &ryeford.UnavailableError{Service: "store", Err: errors.New("trouble")}
	switch t {
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
	now, trouble, _, _ := s.read()
	if err := s.applyDisruption(ctx, trouble, time.Now().Add(s.timeout)); err != nil {
		return ryeford.ConfigurationUpdate{}, err
	}
	update := ryeford.ConfigurationUpdate{
		State:     ryeford.ConfigurationState(now.version),
		Unchanged: ryeford.ConfigurationState(now.version) == known.State,
		Revision:  now.revision,
		Clock:     time.Since(s.began),
		Begun:     time.Now(),
	}
	if update.Unchanged {
		return update, nil
	}
	known.Changed()
	update.Configuration = &ryeford.Configuration{Version: now.version, Accounts: []ryeford.AccountRule{}}
	if s.transfer > 0 {
		update.Size = large
		clock.Sleep(ctx, s.transfer)
	}
	return update, nil
}

// Endpoints implements ryeford.EndpointSource.
func (s *disruptedStore) Endpoints(ctx context.Context) (ryeford.EndpointUpdate, error) {
	now, trouble, _, _ := s.read()
	if err := s.applyDisruption(ctx, trouble, time.Now().Add(s.timeout)); err != nil {
		return ryeford.EndpointUpdate{}, err
	}
	return ryeford.EndpointUpdate{Snapshot: true, Revision: now.revision, Present: now.endpoints, Clock: time.Since(s.began), Begun: time.Now()}, nil
}

// EndpointsSince implements ryeford.EndpointSource.
func (s *disruptedStore) EndpointsSince(ctx context.Context, revision ryeford.Revision, wait time.Duration) (ryeford.EndpointUpdate, error) {
	over := time.After(wait)
	limit := time.Now().Add(wait + s.timeout)
	for {
		now, trouble, oldest, changed := s.read()
		if err := s.applyDisruption(ctx, trouble, limit); err != nil {
			return ryeford.EndpointUpdate{}, err
		}
		if revision < oldest {
			return ryeford.EndpointUpdate{}, &ryeford.HistoryLostError{}
		}
		update := now.since(revision)
		update.Clock, update.Begun = time.Since(s.began), time.Now()
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

// since returns the changes after a revision, the last one of each endpoint.
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

// endpointIDs returns the IDs of endpoints.
func endpointIDs(endpoints []ryeford.Endpoint) []ryeford.EndpointID {
	var ids []ryeford.EndpointID
	for _, endpoint := range endpoints {
		ids = append(ids, endpoint.ID)
	}
	return ids
}
