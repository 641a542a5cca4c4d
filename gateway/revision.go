package gateway

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/internal/clock"
)

// A storeRevision tracks the newest revision in the store's answers, across all of its tables, which
// share one counter. It is safe for concurrent use.
type storeRevision struct {
	mu          sync.Mutex
	newest      ryeford.Revision
	lastContact time.Time // when the store last answered; zero if never
	failing     bool      // the last call of the store failed
	era         int64     // the latest era that the store or a peer has reported
	eraKnown    bool      // era is known
	// onRestore, if not nil, is called when the store has been restored from a backup.
	onRestore func(r restore)
}

// A restore describes a restore of the store from a backup.
type restore struct {
	before ryeford.Revision // the newest revision known from an earlier era
	after  ryeford.Revision // the first revision received from the new era
}

func (r *storeRevision) get() ryeford.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.newest
}

// sinceContact returns the time since the last contact with the store, or zero if no call has failed
// since. It returns false if the store has never answered.
func (r *storeRevision) sinceContact(now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing {
		return 0, !r.lastContact.IsZero()
	}
	return now.Sub(r.lastContact), !r.lastContact.IsZero()
}

// recordAnswer records the revision of an answer. A revision older than the newest does not replace
// it.
func (r *storeRevision) recordAnswer(answer ryeford.Revision) {
	r.observe(answer)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.newest, r.lastContact, r.failing = max(r.newest, answer), clock.Now(), false
}

// observe records a revision that the store or a peer has reported. The first revision of a later era
// means that the store has been restored.
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

// recordFailure records that a call of the store failed.
func (r *storeRevision) recordFailure() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = true
}
