package rowstore

import "time"

// A storeClock is the clock whose readings the store includes in its responses.
type storeClock struct {
	reading time.Duration // at the time since
	since   time.Time
	rate    float64 // relative to real time
}

// now returns the clock's current reading.
func (c *storeClock) now() time.Duration {
	return c.reading + time.Duration(c.rate*float64(time.Since(c.since)))
}

// StepClock steps the store's clock forward, or backward if by is negative. The clock of the
// platform's store is monotonic and steps only when the store has restarted.
func (s *Store) StepClock(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = storeClock{reading: s.clock.now() + by, since: time.Now(), rate: s.clock.rate}
}

// SetClockRate sets the rate of the store's clock relative to real time.
func (s *Store) SetClockRate(rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = storeClock{reading: s.clock.now(), since: time.Now(), rate: rate}
}

// clockReading returns the current reading of the store's clock.
func (s *Store) clockReading() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock.now()
}
