package gateway

import (
	"sync/atomic"
	"time"
)

// A revision is the newest revision that the store has answered with, on any of its
// tables: they share one counter. It is safe for concurrent use.
type revision struct {
	newest   atomic.Int64
	answered atomic.Pointer[time.Time] // when the store answered last; nil if never
}

// get returns the newest revision.
func (r *revision) get() int64 { return r.newest.Load() }

// sinceAnswer returns the time since the store answered last, and false if it never has.
func (r *revision) sinceAnswer(now time.Time) (time.Duration, bool) {
	last := r.answered.Load()
	if last == nil {
		return 0, false
	}
	return now.Sub(*last), true
}

// raise takes the revision of an answer. An older one than the newest changes
// nothing.
func (r *revision) raise(answered int64) {
	now := time.Now()
	r.answered.Store(&now)
	for {
		newest := r.newest.Load()
		if answered <= newest || r.newest.CompareAndSwap(newest, answered) {
			return
		}
	}
}
