// Package load estimates the mean load of the engines that serve a model, from samples
// that arrive with answers and gossip. A load is the number of requests that an engine
// runs. It does no I/O: the router keeps a Mean for each model and Probes for each
// request.
package load

import "time"

// maxSamples is the largest number of samples in a window: if they are many, the window
// is short and follows the load. Windows of 16 to 128 samples: worst
// skew 1.96 to 2.07.
const maxSamples = 32

// A Mean estimates a mean from the samples of a sliding window.
//
// A Mean must not be used by two goroutines at once.
type Mean struct {
	window  time.Duration
	samples []sample // those of the window, the oldest first
}

type sample struct {
	at    time.Time
	value float64
}

// NewMean returns a Mean over a window.
func NewMean(window time.Duration) *Mean {
	return &Mean{window: window}
}

// Add adds one sample.
func (m *Mean) Add(now time.Time, value float64) {
	m.expire(now)
	if len(m.samples) == maxSamples {
		m.samples = m.samples[1:]
	}
	m.samples = append(m.samples, sample{at: now, value: value})
}

// Value returns the mean of the window's samples, or zero if there is none.
func (m *Mean) Value(now time.Time) float64 {
	m.expire(now)
	sum := 0.0
	for i := range m.samples {
		sum += m.samples[i].value
	}
	return sum / float64(max(1, len(m.samples)))
}

// Count returns how many samples the window holds.
func (m *Mean) Count(now time.Time) int {
	m.expire(now)
	return len(m.samples)
}

// expire drops the samples that left the window.
func (m *Mean) expire(now time.Time) {
	for len(m.samples) > 0 && now.Sub(m.samples[0].at) > m.window {
		m.samples = m.samples[1:]
	}
}
