package gateway

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/clock"
)

// A revision is the newest revision that the store has answered with, on any of its
// tables: they share one counter. It is safe for concurrent use.
type revision struct {
	mu       sync.Mutex
	newest   ryeford.Revision
	answered time.Time // when the store answered last; zero if never
	failing  bool      // the last call of the store failed
	era      int64     // the newest that is known, also from peers
	entered  bool      // era is known
	// restored, unless it is nil, is called when the store is back from a copy.
	restored func(r restore)
}

// A restore is that the store is back from a copy of an earlier state.
type restore struct {
	before ryeford.Revision // the newest that was known of an earlier era
	after  ryeford.Revision // of the first answer of the new one
}

func (r *revision) get() ryeford.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

// sinceAnswer returns the time since the store answered last, none unless a call has failed since,
// and false if it never has answered.
func (r *revision) sinceAnswer(now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing {
		return 0, !r.answered.IsZero()
	}
	return now.Sub(r.answered), !r.answered.IsZero()
}

// raise takes the revision of an answer. An older one than the newest changes
// nothing.
func (r *revision) raise(answered ryeford.Revision) {
	r.enter(answered)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest, r.answered, r.failing = max(r.newest, answered), clock.Now(), false
}

// enter takes a revision of the store that it, or a peer, has reported. If that is the first of a later
// era, the store has been restored.
func (r *revision) enter(told ryeford.Revision) {
	r.mu.Lock()
	change := restore{before: r.newest, after: told}
	restored := r.entered && told.Era() > r.era
	r.era, r.entered = max(r.era, told.Era()), true
	r.mu.Unlock()
	if restored && r.restored != nil {
		r.restored(change)
	}
}

// fail takes that a call of the store has failed.
func (r *revision) fail() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = true
}
