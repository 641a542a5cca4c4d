package load

import "time"

// A Probes holds the loads that one request's candidates have reported. The zero
// Probes is empty.
type Probes struct {
	sum       float64
	count     int
	saturated bool
}

// Add notes the load that a candidate had before the request, here and in the
// estimate.
func (w *Probes) Add(now time.Time, estimate *Mean, value float64) {
	w.sum += value
	w.count++
	estimate.Add(now, value)
}

const (
	// enoughSamples is from how many samples on the estimate is trusted alone.
	enoughSamples = 8
	// saturatedWalk is after how many refusals in a row a request takes the fleet
	// for saturated. Without it a fleet that is full at a small bound stays there:
	// its mean is a little below the bound, and the bound in whole requests is not
	// raised.
	saturatedWalk = 3
	// maxRaise is by how much a walk may raise the estimate at most: enough to let
	// a saturated fleet admit one more request to each engine.
	maxRaise = 0.5
)

// Mean returns the mean load that the next candidate is to be measured against.
// That is the estimate, while the walk is short. Behind a long walk, or while the
// estimate rests on few samples, it is what this request's candidates reported if
// that is higher. They are no fair sample: a walk goes on because they refused,
// and so they are the loaded ones. Where there is a good estimate they raise it by
// maxRaise only.
func (w *Probes) Mean(now time.Time, estimate *Mean) float64 {
	known := estimate.Value(now)
	enough := estimate.Count(now) >= enoughSamples
	if w.count == 0 || (enough && w.count < saturatedWalk && !w.saturated) {
		return known
	}
	reported := w.sum / float64(w.count)
	if enough {
		reported = min(reported, known+maxRaise)
	}
	return max(known, reported)
}

// Saturated notes that all candidates that there are have refused.
func (w *Probes) Saturated() { w.saturated = true }
