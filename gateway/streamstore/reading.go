package streamstore

import (
	"context"
	"sync"
	"time"
)

// readTimeout limits a read for streams that are taken up.
const readTimeout = 5 * time.Second

// A reading lets callers share reads of the store. It is safe for concurrent use.
type reading struct {
	read func(ctx context.Context) error
	now  func() time.Time

	mu      sync.Mutex
	current chan struct{} // closed at the end of the read under way; nil if there is none
	ended   time.Time     // of the last read
	failed  bool          // the last read has failed
}

// await waits until a read has ended that is no older than an interval, or until ctx ends. It starts a read if none is
// under way. It reports whether that read has succeeded.
func (r *reading) await(ctx context.Context, interval time.Duration) bool {
	if done := r.start(interval); done != nil {
		select {
		case <-done:
		case <-ctx.Done():
			return false
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.failed
}

// start returns a channel that is closed at the end of the read under way, or nil if the last one is recent enough.
func (r *reading) start(interval time.Duration) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current != nil {
		return r.current
	}
	if !r.ended.IsZero() && r.now().Sub(r.ended) < interval {
		return nil
	}
	r.current = make(chan struct{})
	go r.run(r.current)
	return r.current
}

func (r *reading) run(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout) // shared by callers that may leave
	defer cancel()
	err := r.read(ctx) // which logs it
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failed = err != nil
	r.current, r.ended = nil, r.now()
	close(done)
}
