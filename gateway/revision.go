package gateway

import "sync/atomic"

// A revision is the newest revision that the store has answered with, on any of its
// tables: they share one counter. It is safe for concurrent use.
type revision struct {
	newest atomic.Int64
}

// get returns the newest revision.
func (r *revision) get() int64 { return r.newest.Load() }

// raise takes the revision of an answer. An older one than the newest changes
// nothing.
func (r *revision) raise(answered int64) {
	for {
		newest := r.newest.Load()
		if answered <= newest || r.newest.CompareAndSwap(newest, answered) {
			return
		}
	}
}
