// Package load estimates the mean load of the fleet's engines from samples
// that arrive with answers and gossip. It does no I/O.
package load

import (
	"time"
)

// maxSamples bounds the window, so that where samples are many it is short and
// follows the load.
const maxSamples = 32

// A Mean estimates a mean from the samples of a sliding window.
//
// A Mean must not be used by two goroutines at once.
type Mean struct {
	window  time.Duration
	samples [maxSamples]sample
	next    int
	count   int
	sum     float64
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
	if m.count == maxSamples {
		m.drop()
	}
	m.samples[m.next] = sample{at: now, value: value}
	m.next = (m.next + 1) % maxSamples
	m.count++
	m.sum += value
}

// Value returns the mean of the window's samples. Where there is none, it
// returns zero.
func (m *Mean) Value(now time.Time) float64 {
	m.expire(now)
	if m.count == 0 {
		return 0
	}
	return max(0, m.sum/float64(m.count))
}

// Count returns how many samples the window holds.
func (m *Mean) Count(now time.Time) int {
	m.expire(now)
	return m.count
}

// expire drops the samples that left the window.
func (m *Mean) expire(now time.Time) {
	for m.count > 0 && now.Sub(m.samples[m.oldest()].at) > m.window {
		m.drop()
	}
	if m.count == 0 {
		m.sum = 0
	}
}

// drop drops the oldest sample.
func (m *Mean) drop() {
	m.sum -= m.samples[m.oldest()].value
	m.count--
}

func (m *Mean) oldest() int {
	return (m.next - m.count + maxSamples) % maxSamples
}
