package soak

import (
	"sync"
	"time"
)

const (
	// stallTick is how often a stall is looked for.
	stallTick = 20 * time.Millisecond
	// minStall is the time between two ticks from which it counts as a stall:
	// on an idle machine ticks are late by less than a millisecond.
	minStall = 50 * time.Millisecond
)

// A span is a time in which something held.
type span struct {
	from, until time.Time
}

// overlap returns how much of a span lies between two times.
func (s span) overlap(from, until time.Time) time.Duration {
	if s.from.After(from) {
		from = s.from
	}
	if s.until.Before(until) {
		until = s.until
	}
	return max(0, until.Sub(from))
}

// A stallRecorder records when the machine of the test stood still: when a timer of the
// test's own process came late. Bounds in time are extended by that, as nothing that is
// tested had the time either. It may be used from several goroutines.
type stallRecorder struct {
	mu     sync.Mutex
	stalls []span
}

// run records stalls until stop is closed.
func (s *stallRecorder) run(stop <-chan struct{}) {
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(last) >= minStall {
			s.add(span{from: last.Add(stallTick), until: now})
		}
		last = now
	}
}

// add records a stall.
func (s *stallRecorder) add(stall span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalls = append(s.stalls, stall)
}

// between returns for how long the machine stood still between two times. Stalls that
// overlap count twice, which errs on the side of the machine.
func (s *stallRecorder) between(from, until time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total time.Duration
	for _, stall := range s.stalls {
		total += stall.overlap(from, until)
	}
	return total
}
