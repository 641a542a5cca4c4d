package quarantine

import "time"

// maxSuccesses is the maximum number of prompt parts in each generation of successes.
const maxSuccesses = 4096

// successes remembers when requests with each prompt part last succeeded, for successTTL at least unless there are too
// many parts. It keeps two generations, and drops the older one as a whole.
type successes struct {
	current, previous map[Fingerprint]time.Time
	since             time.Time // start of the current generation
}

// add records a success.
func (s *successes) add(now time.Time, part Fingerprint) {
	if s.current == nil || len(s.current) >= maxSuccesses || now.Sub(s.since) > successTTL {
		s.current, s.previous, s.since = make(map[Fingerprint]time.Time), s.current, now
	}
	s.current[part] = now
}

// last returns the time of the last success, or zero if none is known.
func (s *successes) last(part Fingerprint) time.Time {
	if at, ok := s.current[part]; ok {
		return at
	}
	return s.previous[part]
}
