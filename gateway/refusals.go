package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/ryeford/ryeford/gateway/giveup"
)

// refusalsWindow is how long a refusal or an answer counts at least; it counts for up to
// twice that. Not measured.
const refusalsWindow = 500 * time.Millisecond

// refusals counts the refusals and answers of admitted requests for each service lately,
// by which the returns of refused callers are spread. Its methods may be called
// concurrently.
type refusals struct {
	mu       sync.Mutex
	services map[string]*recent[giveup.Recent]
}

// newRefusals returns refusals without any service.
func newRefusals() *refusals {
	return &refusals{services: make(map[string]*recent[giveup.Recent])}
}

// of returns what was counted of a service lately.
func (r *refusals) of(now time.Time, service string) giveup.Recent {
	return r.count(now, service, giveup.Recent{})
}

// answered counts an answer.
func (r *refusals) answered(now time.Time, service string) {
	r.count(now, service, giveup.Recent{Answered: 1})
}

// refused counts a request that was answered as verdict says, if it was refused.
func (r *refusals) refused(now time.Time, service string, verdict *giveup.Verdict) {
	if verdict.Status == http.StatusServiceUnavailable {
		r.count(now, service, giveup.Recent{Refused: 1})
	}
}

// count adds to the counts of a service and returns them.
func (r *refusals) count(now time.Time, service string, add giveup.Recent) giveup.Recent {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.services[service]
	if counts == nil {
		counts = newRecent[giveup.Recent](now)
		r.services[service] = counts
	}
	counts.advance(now, refusalsWindow)
	counts.current.Refused += add.Refused
	counts.current.Answered += add.Answered
	return giveup.Recent{
		Refused:  counts.current.Refused + counts.earlier.Refused,
		Answered: counts.current.Answered + counts.earlier.Answered,
	}
}
