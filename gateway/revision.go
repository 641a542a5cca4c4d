package gateway

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford/internal/clock"
)

// A revision is the newest revision that the store has answered with, on any of its
// tables: they share one counter. It is safe for concurrent use.
type revision struct {
	mu       sync.Mutex
	newest   int64
	answered time.Time // when the store answered last; zero if never
	failing  bool      // the last call of the store failed
	era      int64     // the newest of the store's, zero if it tells none
	known    bool      // the store has answered: era is set
	// restored, unless it is nil, is called when the store is back from a copy.
	restored func(r restore)
}

// A restore is that the store is back from a copy of an earlier state.
type restore struct {
	// before and after are the store's eras.
	before, after int64
	// newest is the newest revision of the era before that was known, and answered the one of the
	// first answer after it.
	newest, answered int64
}

// enter takes the era of an answer, and the revision of the answer.
func (r *revision) enter(era, answered int64) {
	r.mu.Lock()
	known, change := r.known, restore{before: r.era, after: era, newest: r.newest, answered: answered}
	r.era, r.known = max(r.era, era), true
	r.mu.Unlock()
	if known && change.after > change.before && r.restored != nil {
		r.restored(change)
	}
}

func (r *revision) get() int64 {
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
func (r *revision) raise(answered int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest, r.answered, r.failing = max(r.newest, answered), clock.Now(), false
}

// fail takes that a call of the store has failed.
func (r *revision) fail() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = true
}
