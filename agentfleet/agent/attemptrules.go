package agent

import "time"

// A verdict is what is known of an attempt.
type verdict int

const (
	verdictRuns    verdict = iota // the run is here
	verdictRan                    // it ran, but the answer is gone
	verdictNotRun                 // it did not run and never will
	verdictUnknown                // nothing is known any more
	verdictNotYet                 // it did not run so far (after a peek)
)

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
