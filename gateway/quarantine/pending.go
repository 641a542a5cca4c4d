package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// pendingTTL is how long a lost attempt waits for evidence that its endpoint has crashed: an endpoint that is back
	// at once is found out when another one answers at its address.
	pendingTTL = 2 * time.Second
	// maxPending is the maximum number of lost attempts, and of crashed endpoints, that are remembered.
	maxPending = 1024
)

// A Pending holds attempts that were lost at endpoints that accepted connections afterwards. It is safe for concurrent
// use.
type Pending[T any] struct {
	mu       sync.Mutex
	attempts []pendingAttempt[T] // oldest first
	gone     []goneEndpoint      // oldest first
}

type pendingAttempt[T any] struct {
	at       time.Time
	endpoint ryeford.EndpointID
	attempt  T
}

type goneEndpoint struct {
	at       time.Time
	endpoint ryeford.EndpointID
}

// Add adds a lost attempt. It reports whether the endpoint is known to have gone; the attempt isn't kept then.
func (p *Pending[T]) Add(now time.Time, endpoint ryeford.EndpointID, attempt T) (gone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	if p.isGone(endpoint) {
		return true
	}
	if len(p.attempts) < maxPending {
		p.attempts = append(p.attempts, pendingAttempt[T]{now, endpoint, attempt})
	}
	return false
}

// Gone records that an endpoint has gone, and returns the attempts that were lost there.
func (p *Pending[T]) Gone(now time.Time, endpoint ryeford.EndpointID) []T {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(now)
	if len(p.gone) < maxPending && !p.isGone(endpoint) {
		p.gone = append(p.gone, goneEndpoint{now, endpoint})
	}
	var lost []T
	kept := p.attempts[:0]
	for _, pending := range p.attempts {
		if pending.endpoint == endpoint {
			lost = append(lost, pending.attempt)
			continue
		}
		kept = append(kept, pending)
	}
	clear(p.attempts[len(kept):])
	p.attempts = kept
	return lost
}

// isGone reports whether an endpoint is known to have gone. p.mu is held.
func (p *Pending[T]) isGone(endpoint ryeford.EndpointID) bool {
	return slices.ContainsFunc(p.gone, func(other goneEndpoint) bool { return other.endpoint == endpoint })
}

// expire removes what is too old. p.mu is held.
func (p *Pending[T]) expire(now time.Time) {
	n := 0
	for n < len(p.attempts) && now.Sub(p.attempts[n].at) > pendingTTL {
		n++
	}
	p.attempts = p.attempts[n:]
	n = 0
	for n < len(p.gone) && now.Sub(p.gone[n].at) > pendingTTL {
		n++
	}
	p.gone = p.gone[n:]
}
