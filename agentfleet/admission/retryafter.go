package admission

import "time"

// The times of retryAfter.
const (
	// spacingWindow scales the weight of a gap between two completions in their
	// average spacing: a gap of this length or more replaces the average.
	spacingWindow = 2 * time.Second
	// minGapWeight is the smallest weight of a gap, without unit: a burst of short
	// gaps moves the average too.
	minGapWeight = 0.1
	// retryFill is the part of the bound to which the load is to fall before a
	// refused caller comes back, without unit.
	retryFill = 0.9

	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// firstRetryAfter is used until two requests have ended.
	firstRetryAfter = time.Second
)

// completions measures how fast requests end: a decaying average of the time
// between two completions.
type completions struct {
	last    time.Time
	spacing time.Duration
}

// add counts one completion.
func (c *completions) add(now time.Time) {
	if c.last.IsZero() {
		c.last = now
		return
	}
	gap := now.Sub(c.last)
	c.last = now
	if c.spacing == 0 {
		c.spacing = gap
		return
	}
	weight := min(1, float64(gap)/float64(spacingWindow)+minGapWeight)
	c.spacing += time.Duration(weight * float64(gap-c.spacing))
}

// retryAfter returns when an engine is likely to be a tenth below its bound: the
// excess in requests times the spacing of completions, within minRetryAfter and
// maxRetryAfter. An engine that has completed nothing for longer than the average
// spacing is taken to be as slow as that.
//
// The gateway's Retry-After has other inputs: it knows no endpoint's completions
// and answers a fixed time for each reason.
func (c *completions) retryAfter(now time.Time, load, bound float64) time.Duration {
	if c.spacing == 0 {
		return firstRetryAfter
	}
	spacing := max(c.spacing, now.Sub(c.last))
	excess := max(1, load-retryFill*bound)
	return min(max(time.Duration(excess*float64(spacing)), minRetryAfter), maxRetryAfter)
}
