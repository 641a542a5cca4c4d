package soak

import (
	"sync"
	"time"
)

// linkBurst is the time that a link may make up for when bytes have waited for the
// test's own process, which a busy machine runs late. Without it, the link was three times
// as narrow as stated at a load of 130 (a trial's seed 774000678).
const linkBurst = 100 * time.Millisecond

// A rateLimiter bounds the bytes a second that pass a link. The zero rateLimiter bounds
// nothing. It may be used from several goroutines.
type rateLimiter struct {
	mu        sync.Mutex
	perSecond int       // zero: no bound
	freeAt    time.Time // when all that has passed is over the link
}

// set sets the bound in bytes a second, or zero for none.
func (r *rateLimiter) set(perSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perSecond = perSecond
}

// pass returns content after the time that it takes on the link.
func (r *rateLimiter) pass(content []byte) []byte {
	time.Sleep(r.reserve(len(content)))
	return content
}

// reserve returns the time until some bytes have passed, behind all that came before.
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
