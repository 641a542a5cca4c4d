package admission

import "time"

// Parameters of retryAfter.
const (
	// averageWindow scales the weight of a new interval in the average interval
	// between completions. An interval of at least this length replaces the average.
	averageWindow = 2 * time.Second
	// minWeight is the minimum weight of a new interval, so that a burst of short
	// intervals changes the average too.
	minWeight = 0.1
	// retryLoad is the fraction of the bound to which the load is to fall before a
	// refused caller retries.
	retryLoad = 0.9

	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// defaultRetryAfter is used until two requests have ended.
	defaultRetryAfter = time.Second
)

// completions measures how fast requests end. interval is a decaying average of the
// time between two completions; zero before the second one.
type completions struct {
	last     time.Time
	interval time.Duration
}

// add records one completion.
func (c *completions) add(now time.Time) {
	if c.last.IsZero() {
		c.last = now
		return
	}
	interval := now.Sub(c.last)
	c.last = now
	if c.interval == 0 {
		c.interval = interval
		return
	}
	weight := min(1, float64(interval)/float64(averageWindow)+minWeight)
	c.interval += time.Duration(weight * float64(interval-c.interval))
}

// retryAfter estimates the time until the load of an engine is a tenth below its
// bound: the number of excess requests times the interval between completions,
// limited to minRetryAfter and maxRetryAfter. If the last completion is longer ago
// than the average interval, the elapsed time is used as the interval.
//
// The gateway does not observe the completions of its endpoints. Its Retry-After is
// a fixed time for each reason.
func (c *completions) retryAfter(now time.Time, load, bound float64) time.Duration {
	if c.interval == 0 {
		return defaultRetryAfter
	}
	interval := max(c.interval, now.Sub(c.last))
	excess := max(1, load-retryLoad*bound)
	return min(max(time.Duration(excess*float64(interval)), minRetryAfter), maxRetryAfter)
}
