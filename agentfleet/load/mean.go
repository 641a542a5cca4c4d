// Package load estimates the mean load of the engines that serve a model, from samples
// in responses and gossip messages. The load of an engine is the number of requests that
// it runs. A router keeps a Mean for each model and Probes for each request. The package
// does no I/O.
package load

import "time"

// maxSamples is the maximum number of samples in a window. It shortens the window at a
// high sample rate, so that the mean follows the load quickly.
const maxSamples = 32

// A Mean estimates a mean from the samples of a sliding window.
//
// A Mean is not safe for concurrent use.
type Mean struct {
	window  time.Duration
	samples []sample // in the window, oldest first
}

type sample struct {
	at    time.Time
	value float64
}

// NewMean returns a Mean over a window of the given duration.
func NewMean(window time.Duration) *Mean {
	return &Mean{window: window}
}

// Add adds a sample.
func (m *Mean) Add(now time.Time, value float64) {
	m.expire(now)
	if len(m.samples) == maxSamples {
		m.samples = m.samples[1:]
	}
	m.samples = append(m.samples, sample{at: now, value: value})
}

// Value returns the mean of the samples in the window, or zero if there are none.
func (m *Mean) Value(now time.Time) float64 {
	m.expire(now)
	sum := 0.0
	for i := range m.samples {
		sum += m.samples[i].value
	}
	return sum / float64(max(1, len(m.samples)))
}

// Count returns the number of samples in the window.
func (m *Mean) Count(now time.Time) int {
	m.expire(now)
	return len(m.samples)
}

// expire drops the samples that are older than the window.
func (m *Mean) expire(now time.Time) {
	for len(m.samples) > 0 && now.Sub(m.samples[0].at) > m.window {
		m.samples = m.samples[1:]
	}
}
