// Package outlier ejects endpoints that are on the list but fail: an endpoint is
// left out for a time after several failures in a row, after a large share of
// failures, after one event that proves it unusable, and while it leaves a
// request without the first byte of a response.
//
// It owns the record of each endpoint's responses, as this router alone has seen
// them; routers do not share it. It relies on nothing but the caller's clock and
// does no I/O. The rule and its constants are in limits.go.
package outlier

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

// A Detector decides which endpoints are ejected.
type Detector struct {
	mu     sync.Mutex
	states map[ryeford.EndpointID]*state
}

type state struct {
	record
	ejections     int // in succession; each makes the next longer
	until         time.Time
	unusableUntil time.Time            // the end of the last ejection because of one such event
	unusable      bool                 // until then, as one event proved; no response has come since
	lastResponse  time.Time            // when it last began a response
	waiting       map[uint64]time.Time // when each request was sent that has no response yet
	lastAttempt   uint64
}

// New returns a Detector without endpoints.
func New() *Detector { return &Detector{states: make(map[ryeford.EndpointID]*state)} }

func (d *Detector) get(id ryeford.EndpointID) *state {
	s := d.states[id]
	if s == nil {
		s = &state{waiting: make(map[uint64]time.Time)}
		d.states[id] = s
	}
	return s
}

// Start notes that an attempt is sent to an endpoint, and returns the attempt's
// number for End.
func (d *Detector) Start(now time.Time, id ryeford.EndpointID) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(id)
	s.lastAttempt++
	s.waiting[s.lastAttempt] = now
	return s.lastAttempt
}

// End notes that an attempt no longer waits for a response; responded says that
// one has begun.
func (d *Detector) End(now time.Time, id ryeford.EndpointID, attempt uint64, responded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(id)
	delete(s.waiting, attempt)
	if responded {
		s.lastResponse = now
	}
}

// Succeeded records a response that is no failure. An endpoint that has done
// without an ejection for the longest term starts again with the shortest.
func (d *Detector) Succeeded(now time.Time, id ryeford.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(id)
	s.decay(now)
	s.responses++
	s.consecutive = 0
	s.unusable = false
	if s.ejections > 0 && now.After(s.until.Add(maxEjection)) {
		s.ejections = 0
	}
}

// Failed records a failure, and ejects the endpoint if its record says so (limits.go). Failures
// of an endpoint that is ejected already do not extend its term.
func (d *Detector) Failed(now time.Time, id ryeford.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(id)
	s.decay(now)
	s.responses++
	s.failures++
	s.consecutive++
	if now.Before(s.until) || !s.ejects() {
		return
	}
	s.unusable = false
	s.until = now.Add(term(s.ejections))
	s.ejections++
	s.consecutive, s.responses, s.failures = 0, 0, 0
}

// Eject ejects an endpoint for at least a term, whatever its record: one event has
// proved it unusable.
func (d *Detector) Eject(now time.Time, id ryeford.EndpointID, term time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(id)
	s.unusable = true
	if until := now.Add(term); until.After(s.until) {
		s.until = until
	}
	s.unusableUntil = s.until
}

// Healthy reports whether an endpoint is neither ejected nor silent.
func (d *Detector) Healthy(now time.Time, id ryeford.EndpointID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.states[id]
	if s == nil {
		return true
	}
	if now.Before(s.until) {
		return false
	}
	for _, sent := range s.waiting {
		if silent(now, sent, s.lastResponse) {
			return false
		}
	}
	return true
}

// Unusable reports whether an endpoint is ejected because one event has proved it
// unusable: it accepts no connection, or its address is another's.
func (d *Detector) Unusable(now time.Time, id ryeford.EndpointID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.states[id]
	return s != nil && s.unusable && now.Before(s.until)
}

// ReachableSince returns the end of the last ejection because one event had proved an endpoint
// unusable, or zero if there was none: it may have started again meanwhile.
func (d *Detector) ReachableSince(id ryeford.EndpointID) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.states[id]; s != nil {
		return s.unusableUntil
	}
	return time.Time{}
}

// EjectedFor returns for how long an endpoint is still ejected; zero if it is not.
func (d *Detector) EjectedFor(now time.Time, id ryeford.EndpointID) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.states[id]; s != nil {
		return max(0, s.until.Sub(now))
	}
	return 0
}

// Forget drops the record of an endpoint that is gone.
func (d *Detector) Forget(id ryeford.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.states, id)
}
