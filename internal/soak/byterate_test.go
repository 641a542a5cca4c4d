package soak

import (
	"sync"
	"time"
)

// linkBurst is how much transfer time an idle link may catch up on. It keeps the configured
// rate when the test process is scheduled late.
const linkBurst = 100 * time.Millisecond

// A rateLimiter limits the bytes per second that pass through a link. The zero value does
// not limit. It is safe for concurrent use.
type rateLimiter struct {
	mu        sync.Mutex
	perSecond int       // 0 means no limit
	freeAt    time.Time // when all bytes so far have been transferred
}

// set sets the limit in bytes per second; 0 removes it.
func (r *rateLimiter) set(perSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perSecond = perSecond
}

// pass waits for the transfer time of content and returns content.
func (r *rateLimiter) pass(content []byte) []byte {
	time.Sleep(r.reserve(len(content)))
	return content
}

// reserve queues bytes behind all earlier ones and returns the time until they are
// transferred.
func (r *rateLimiter) reserve(bytes int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.perSecond == 0 {
		return 0
	}
	now := time.Now()
	if earliest := now.Add(-linkBurst); r.freeAt.Before(earliest) {
		r.freeAt = earliest
	}
	r.freeAt = r.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(r.perSecond))
	return max(0, r.freeAt.Sub(now))
}
