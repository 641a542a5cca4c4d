// Package outlier ejects listed endpoints that fail. An endpoint is excluded for a time after
// several consecutive failures, after a large share of failures, after a single event that
// proves it unusable, and while it leaves a request without the first byte of a response.
//
// The package owns the record of each endpoint's responses at this router; routers do not
// share it. It reads no clock and does no I/O. The rule and its constants are in limits.go.
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
	ejections     int // in succession; each one doubles the next duration
	until         time.Time
	unusableUntil time.Time            // end of the last ejection caused by a single event
	unusable      bool                 // a single event proved it unusable, and no response has arrived since
	lastResponse  time.Time            // start of the last response
	pending       map[uint64]time.Time // send time of each attempt without a response
	lastAttempt   uint64
}

// New returns a Detector without endpoints.
func New() *Detector { return &Detector{states: make(map[ryeford.EndpointID]*state)} }

func (d *Detector) get(id ryeford.EndpointID) *state {
	s := d.states[id]
	if s == nil {
		s = &state{pending: make(map[uint64]time.Time)}
		d.states[id] = s
	}
	return s
}

// Start records that an attempt is sent to an endpoint, and returns the attempt's number for
// End.
func (d *Detector) Start(now time.Time, id ryeford.EndpointID) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(id)
	s.lastAttempt++
	s.pending[s.lastAttempt] = now
	return s.lastAttempt
}

// End records that an attempt no longer waits for a response. responded reports that one has
// begun.
func (d *Detector) End(now time.Time, id ryeford.EndpointID, attempt uint64, responded bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(id)
	delete(s.pending, attempt)
	if responded {
		s.lastResponse = now
	}
}

// RecordSuccess records a response that is not a failure. The next ejection lasts baseEjection again
// if the last one ended more than maxEjection ago.
func (d *Detector) RecordSuccess(now time.Time, id ryeford.EndpointID) {
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

// RecordFailure records a failure, and ejects the endpoint if its record exceeds the limits
// (limits.go). Failures of an ejected endpoint do not extend its ejection.
func (d *Detector) RecordFailure(now time.Time, id ryeford.EndpointID) {
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
	s.until = now.Add(ejectionDuration(s.ejections))
	s.ejections++
	s.consecutive, s.responses, s.failures = 0, 0, 0
}

// Eject ejects an endpoint for at least duration, regardless of its record, since a single event has
// proved it unusable.
func (d *Detector) Eject(now time.Time, id ryeford.EndpointID, duration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(id)
	s.unusable = true
	if until := now.Add(duration); until.After(s.until) {
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
	for _, sent := range s.pending {
		if silent(now, sent, s.lastResponse) {
			return false
		}
	}
	return true
}

// Unusable reports whether an endpoint is ejected because a single event has proved it unusable: it
// accepts no connection, or its address responds as another endpoint.
func (d *Detector) Unusable(now time.Time, id ryeford.EndpointID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.states[id]
	return s != nil && s.unusable && now.Before(s.until)
}

// ReachableSince returns the end of the last ejection that a single event caused, or zero if there was
// none. The endpoint may have restarted during it.
func (d *Detector) ReachableSince(id ryeford.EndpointID) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.states[id]; s != nil {
		return s.unusableUntil
	}
	return time.Time{}
}

// EjectedFor returns how long an endpoint remains ejected; zero if it is not.
func (d *Detector) EjectedFor(now time.Time, id ryeford.EndpointID) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.states[id]; s != nil {
		return max(0, s.until.Sub(now))
	}
	return 0
}

// Remove drops the record of an endpoint that is gone.
func (d *Detector) Remove(id ryeford.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.states, id)
}
