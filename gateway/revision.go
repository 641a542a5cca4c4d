package gateway

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/clock"
)

// A storeRevision is the newest storeRevision that the store has answered with, on any of its
// tables: they share one counter. It is safe for concurrent use.
type storeRevision struct {
	mu          sync.Mutex
	newest      ryeford.Revision
	lastContact time.Time // when the store answered last; zero if never
	failing     bool      // the last call of the store failed
	era         int64     // the newest that is known, also from peers
	eraKnown    bool      // era is known
	// onRestore, unless it is nil, is called when the store is back from a copy.
	onRestore func(r restore)
}

// A restore is that the store is back from a copy of an earlier state.
type restore struct {
	before ryeford.Revision // the newest that was known of an earlier era
	after  ryeford.Revision // of the first answer of the new one
}

func (r *storeRevision) get() ryeford.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

// sinceContact returns the time since the store answered last, none unless a call has failed since,
// and false if it never has answered.
func (r *storeRevision) sinceContact(now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing {
		return 0, !r.lastContact.IsZero()
	}
	return now.Sub(r.lastContact), !r.lastContact.IsZero()
}

// recordAnswer takes the revision of an answer. An older one than the newest changes
// nothing.
func (r *storeRevision) recordAnswer(answer ryeford.Revision) {
	r.observe(answer)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest, r.lastContact, r.failing = max(r.newest, answer), clock.Now(), false
}

// observe takes a revision of the store that it, or a peer, has reported. If that is the first of a later
// era, the store has been restored.
func (r *storeRevision) observe(reported ryeford.Revision) {
	r.mu.Lock()
	change := restore{before: r.newest, after: reported}
	restored := r.eraKnown && reported.Era() > r.era
	r.era, r.eraKnown = max(r.era, reported.Era()), true
	r.mu.Unlock()
	if restored && r.onRestore != nil {
		r.onRestore(change)
	}
}

// recordFailure takes that a call of the store has failed.
func (r *storeRevision) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = true
}
