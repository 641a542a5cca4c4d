package soak

import (
	"sync"
	"time"
)

const (
	// stallCheckInterval is how often a stall is looked for.
	stallCheckInterval = 20 * time.Millisecond
	// minStall is the time between two ticks from which it counts as a stall:
	// on an idle machine ticks are late by less than a millisecond.
	minStall = 50 * time.Millisecond
)

// A span is a time in which something held.
type interval struct {
	from, until time.Time
}

// overlap returns how much of a span lies between two times.
func (s interval) overlap(from, until time.Time) time.Duration {
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
	stalls []interval
}

// run records stalls until stop is closed.
func (s *stallRecorder) run(stop <-chan struct{}) {
	ticker := time.NewTicker(stallCheckInterval)
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
			s.add(interval{from: last.Add(stallCheckInterval), until: now})
		}
		last = now
	}
}

// add records a stall.
func (s *stallRecorder) add(stall interval) {
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
