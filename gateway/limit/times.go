package limit

import (
	"time"

	"github.com/ryeford/ryeford/internal/decay"
)

const (
	// timeHalfLife is the time after which a response time counts half.
	timeHalfLife = 120 * time.Millisecond
	// unloadedWindow is how long the lowest mean counts at least; it counts twice as long at most.
	unloadedWindow = 10 * time.Second
	// batchSize is the number of response times of which a mean is taken for the lowest one.
	batchSize = 16.0
	// unloadedWeight is the number of response times for which the lowest mean counts, so that few recent
	// responses don't decide alone.
	unloadedWeight = 0.2
	// maxReportWeight is the number of response times for which a peer's report counts at most.
	maxReportWeight = 1.0
	// maxReportedFactor limits a reported response time, as a multiple of the lowest mean, so that one router's
	// reports can't shut a service.
	maxReportedFactor = 8
)

// A decayedMean is a mean of recent times, each of which counts less as it ages.
type decayedMean struct {
	weight, sum float64 // sum is in seconds
	at          time.Time
}

func (m *decayedMean) add(now time.Time, value time.Duration, weight float64) {
	m.decay(now)
	m.weight += weight
	m.sum += weight * value.Seconds()
}

func (m *decayedMean) decay(now time.Time) {
	f := decay.Factor(now.Sub(m.at), timeHalfLife)
	m.at = now
	m.weight *= f
	m.sum *= f
}

// responseTimes are the times that endpoints of a service take for a request, waiting included.
type responseTimes struct {
	own decayedMean // of this router's requests, for its peers
	all decayedMean // of this router's and its peers'

	batch, batchSum   float64
	windowAt          time.Time
	current, previous time.Duration // lowest mean of a batch in this window and the one before, or zero
}

// add records the time of a request of this router.
func (r *responseTimes) add(now time.Time, took time.Duration) {
	r.own.add(now, took, 1)
	r.merge(now, took, 1)
}

// report merges the mean of a peer's response times. It returns false if it is implausible and was limited.
func (r *responseTimes) report(now time.Time, mean time.Duration, responses float64) bool {
	if mean <= 0 || responses <= 0 {
		return true // the peer has had no response lately
	}
	limited := mean
	if unloaded := r.unloaded(); unloaded > 0 {
		limited = min(mean, maxReportedFactor*unloaded)
	}
	r.merge(now, limited, min(maxReportWeight, responses))
	return limited == mean
}

func (r *responseTimes) merge(now time.Time, mean time.Duration, weight float64) {
	r.all.add(now, mean, weight)
	r.batch += weight
	r.batchSum += weight * mean.Seconds()
	if r.batch < batchSize {
		return
	}
	if now.Sub(r.windowAt) >= unloadedWindow {
		r.previous, r.current, r.windowAt = r.current, 0, now
	}
	r.current = minNonZero(r.current, seconds(r.batchSum/r.batch))
	r.batch, r.batchSum = 0, 0
}

// mean returns the recent mean, or zero if too few times are known.
func (r *responseTimes) mean(now time.Time) time.Duration {
	unloaded := r.unloaded()
	if unloaded == 0 {
		return 0
	}
	r.all.decay(now)
	return seconds((r.all.sum + unloadedWeight*unloaded.Seconds()) / (r.all.weight + unloadedWeight))
}

// unloaded returns the lowest mean of the last windows: the time that a request takes without waiting. It is zero
// if too few times are known.
func (r *responseTimes) unloaded() time.Duration { return minNonZero(r.current, r.previous) }

// minNonZero returns the shorter of two durations. Zero means none.
func minNonZero(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
