package soak

import (
	"sync"
	"time"
)

const (
	// stallCheckInterval is how often the recorder checks for a stall.
	stallCheckInterval = 20 * time.Millisecond
	// minStall is the time between two ticks from which it counts as a stall.
	minStall = 50 * time.Millisecond
)

type interval struct {
	from, until time.Time
}

// overlap returns how much of the interval lies between two times.
func (i interval) overlap(from, until time.Time) time.Duration {
	if i.from.After(from) {
		from = i.from
	}
	if i.until.Before(until) {
		until = i.until
	}
	return max(0, until.Sub(from))
}

// A stallRecorder records when the machine stalled, that is when a timer of the test
// process fired late. Time limits are extended by that, because the tested processes were
// delayed as well. It is safe for concurrent use.
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

func (s *stallRecorder) add(stall interval) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalls = append(s.stalls, stall)
}

// between returns for how long the machine stalled between two times.
func (s *stallRecorder) between(from, until time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total time.Duration
	for _, stall := range s.stalls {
		total += stall.overlap(from, until)
	}
	return total
}
