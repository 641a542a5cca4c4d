package soak

import (
	"sync"
	"time"
)

// linkCredit is the time that a link may make up for when bytes have waited for the
// test's own process, which a busy machine runs late. Without it, the link was three times
// as narrow as stated at a load of 130 (a trial's seed 774000678).
const linkCredit = 100 * time.Millisecond

// A byteRate bounds the bytes a second that pass a link. The zero byteRate bounds
// nothing. It may be used from several goroutines.
type byteRate struct {
	mu        sync.Mutex
	perSecond int       // zero: no bound
	free      time.Time // when all that has passed is over the link
}

// set sets the bound in bytes a second, or zero for none.
func (r *byteRate) set(perSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perSecond = perSecond
}

// pass returns content after the time that it takes on the link.
func (r *byteRate) pass(content []byte) []byte {
	time.Sleep(r.reserve(len(content)))
	return content
}

// reserve returns the time until some bytes have passed, behind all that came before.
func (r *byteRate) reserve(bytes int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.perSecond == 0 {
		return 0
	}
	now := time.Now()
	if earliest := now.Add(-linkCredit); r.free.Before(earliest) {
		r.free = earliest
	}
	r.free = r.free.Add(time.Duration(bytes) * time.Second / time.Duration(r.perSecond))
	return max(0, r.free.Sub(now))
}
