package gateway

import "sync/atomic"

// A revision is the newest revision that the store has told, on any of its
// tables: they share one counter.
type revision struct {
	newest atomic.Int64
}

// get returns the newest revision.
func (r *revision) get() int64 { return r.newest.Load() }

// raise takes a revision that the store has told.
func (r *revision) raise(told int64) {
	for {
		now := r.newest.Load()
		if told <= now || r.newest.CompareAndSwap(now, told) {
			return
		}
	}
}
