package load

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestMean checks which samples an estimate includes.
func TestMean(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		name    string
		samples []float64     // one every 10 ms
		elapsed time.Duration // since the last sample
		value   float64
		count   int
	}{
		{"no samples", nil, 0, 0, 0},
		{"the mean of all samples", []float64{1, 2, 6}, 0, 3, 3},
		{"only samples in the window", []float64{1, 2, 6}, time.Second, 6, 1},
		{"all samples expired", []float64{1, 2, 6}, time.Second + 1, 0, 0},
		{"only the last maxSamples", append([]float64{1000}, make([]float64, maxSamples)...), 0, 0, maxSamples},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := NewMean(time.Second)
			now := start
			for i, value := range test.samples {
				now = start.Add(time.Duration(i) * 10 * time.Millisecond)
				m.Add(now, value)
			}
			now = now.Add(test.elapsed)
			assert.Equal(t, m.Count(now), test.count)
			assert.Equal(t, m.Value(now), test.value)
		})
	}
}

// TestProbes checks the mean that the next candidate of a request uses for admission.
func TestProbes(t *testing.T) {
	for _, test := range []struct {
		name      string
		estimate  float64
		samples   int
		probes    []float64
		saturated bool
		want      float64
	}{
		{"no probes", 4, 32, nil, false, 4},
		{"no probes and no samples", 0, 0, nil, false, 0},
		{"few probes and a reliable estimate", 4, minSamples, []float64{9, 9}, false, 4},
		{"few probes and few samples", 4, minSamples - 1, []float64{8, 10}, false, 9},
		{"a low probe does not lower an unreliable estimate", 4, 1, []float64{2}, false, 4},
		{"three probes raise a reliable estimate by at most maxIncrease", 4, 32, []float64{9, 9, 9}, false, 4.5},
		{"three slightly higher probes replace a reliable estimate", 4, 32, []float64{4.25, 4.25, 4.25}, false, 4.25},
		{"three low probes do not lower a reliable estimate", 4, 32, []float64{1, 1, 1}, false, 4},
		{"all candidates refused", 4, 32, []float64{9}, true, 4.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := Probes{saturated: test.saturated}
			for _, value := range test.probes {
				p.Add(value)
			}
			assert.Equal(t, p.Mean(test.estimate, test.samples), test.want)
		})
	}
}
