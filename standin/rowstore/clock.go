package rowstore

import "time"

// A storeClock is the clock that the store shows in its answers.
type storeClock struct {
	shown time.Duration // at the time since
	since time.Time
	rate  float64 // how fast it runs; time itself runs at 1
}

// now returns what the clock shows.
func (c *storeClock) now() time.Duration {
	return c.shown + time.Duration(c.rate*float64(time.Since(c.since)))
}

// StepClock makes the store's clock jump forward, or back if by is negative. The clock of
// the platform's store is steady: it jumps only if it has started anew.
func (s *Store) StepClock(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = storeClock{shown: s.clock.now() + by, since: time.Now(), rate: s.clock.rate}
}

// SetClockRate sets how fast the store's clock runs; time itself runs at 1.
func (s *Store) SetClockRate(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = storeClock{shown: s.clock.now(), since: time.Now(), rate: rate}
}

// clockShows returns what the store's clock shows.
func (s *Store) clockShows() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.now()
}
