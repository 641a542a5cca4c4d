package admission

import "time"

const (
	rateHalfLife    = 2 * time.Second
	minRetryAfter   = 200 * time.Millisecond
	maxRetryAfter   = 30 * time.Second
	noRateRetryTime = time.Second
)

// A rate tells how fast requests end, as a decaying average.
type rate struct {
	last    time.Time
	spacing time.Duration // between two ends
}

// add counts one end.
func (r *rate) add(now time.Time) {
	if r.last.IsZero() {
		r.last = now
		return
	}
	gap := now.Sub(r.last)
	r.last = now
	if r.spacing == 0 {
		r.spacing = gap
		return
	}
	weight := min(1, float64(gap)/float64(rateHalfLife)+0.1)
	r.spacing += time.Duration(weight * float64(gap-r.spacing))
}

// retryAfter returns when an engine that has load is likely to be a tenth
// below its bound, given how fast requests ended so far.
func (r *rate) retryAfter(now time.Time, load, bound float64) time.Duration {
	if r.spacing == 0 {
		return noRateRetryTime
	}
	spacing := max(r.spacing, now.Sub(r.last))
	excess := max(1, load-0.9*bound)
	return min(max(time.Duration(excess*float64(spacing)), minRetryAfter), maxRetryAfter)
}
