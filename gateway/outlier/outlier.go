// Package outlier finds endpoints that fail though they are on the list, from
// the answers that they give. It does no I/O.
package outlier

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
)

// Limits say when an endpoint counts as failing.
type Limits struct {
	// Failures in a row eject an endpoint.
	Failures int
	// Share of failed answers ejects it too, once there are MinAnswers.
	Share      float64
	MinAnswers float64
	// HalfLife is the time after which an old answer counts half.
	HalfLife time.Duration
	// Eject is how long an endpoint is left out the first time; it doubles up to
	// EjectMost.
	Eject     time.Duration
	EjectMost time.Duration
	// Silence is how long an endpoint may have a request and say nothing at all.
	Silence time.Duration
}

// A Detector judges endpoints.
type Detector struct {
	limits Limits

	mu     sync.Mutex
	states map[ryeford.EndpointID]*state
}

type state struct {
	inRow     int
	answers   float64
	failures  float64
	updated   time.Time
	ejections int
	until     time.Time
	heard     time.Time
	waiting   map[uint64]time.Time // when each unanswered request was sent
	nextTry   uint64
}

// New returns a Detector.
func New(limits Limits) *Detector {
	return &Detector{limits: limits, states: make(map[ryeford.EndpointID]*state)}
}

// get returns the state of an endpoint.
func (d *Detector) get(id ryeford.EndpointID) *state {
	s := d.states[id]
	if s == nil {
		s = &state{waiting: make(map[uint64]time.Time)}
		d.states[id] = s
	}
	return s
}

// Sent notes that an endpoint has a request; the number names it for Heard.
func (d *Detector) Sent(now time.Time, id ryeford.EndpointID) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(id)
	s.nextTry++
	s.waiting[s.nextTry] = now
	return s.nextTry
}

// Heard notes that an endpoint has begun to answer a request, or that it is no
// longer waited for.
func (d *Detector) Heard(now time.Time, id ryeford.EndpointID, number uint64, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(id)
	delete(s.waiting, number)
	if answered {
		s.heard = now
	}
}

// Succeeded notes a good answer.
func (d *Detector) Succeeded(now time.Time, id ryeford.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(id)
	s.decay(now, d.limits.HalfLife)
	s.answers++
	s.inRow = 0
	if s.ejections > 0 && now.After(s.until.Add(d.limits.EjectMost)) {
		s.ejections = 0
	}
}

// Failed notes a failure, and reports whether the endpoint is now left out.
func (d *Detector) Failed(now time.Time, id ryeford.EndpointID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(id)
	s.decay(now, d.limits.HalfLife)
	s.answers++
	s.failures++
	s.inRow++
	if now.Before(s.until) {
		return true
	}
	many := s.answers >= d.limits.MinAnswers && s.failures/s.answers >= d.limits.Share
	if s.inRow < d.limits.Failures && !many {
		return false
	}
	eject := d.limits.EjectMost
	if s.ejections < 8 {
		eject = min(eject, d.limits.Eject<<s.ejections)
	}
	s.ejections++
	s.until = now.Add(eject)
	s.inRow, s.answers, s.failures = 0, 0, 0
	return true
}

// Eject leaves an endpoint out for a time.
func (d *Detector) Eject(now time.Time, id ryeford.EndpointID, term time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.get(id)
	if until := now.Add(term); until.After(s.until) {
		s.until = until
	}
}

// decay lets old answers count less.
func (s *state) decay(now time.Time, halfLife time.Duration) {
	if s.updated.IsZero() {
		s.updated = now
		return
	}
	for now.Sub(s.updated) >= halfLife {
		s.answers /= 2
		s.failures /= 2
		s.updated = s.updated.Add(halfLife)
		if s.answers < 0.01 {
			s.updated = now
			return
		}
	}
}

// Healthy reports whether an endpoint may be chosen: it is not left out, and not
// silent on what it was sent.
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
		if now.Sub(sent) > d.limits.Silence && now.Sub(s.heard) > d.limits.Silence {
			return false
		}
	}
	return true
}

// Forget drops what is known of an endpoint that is gone.
func (d *Detector) Forget(id ryeford.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.states, id)
}
