package outlier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestConsecutiveFailures guards against a failing endpoint that is not ejected for longer each
// time, or not healthy after an ejection.
func TestConsecutiveFailures(t *testing.T) {
	d := New()
	now := time.Unix(1000, 0)
	for _, want := range []time.Duration{baseEjection, 2 * baseEjection, maxEjection, maxEjection} {
		for range consecutiveFailures {
			assert.Assert(t, d.Healthy(now, "a"))
			d.RecordFailure(now, "a")
		}
		assert.Assert(t, !d.Healthy(now.Add(want-1), "a"))
		now = now.Add(want)
	}
	assert.Assert(t, d.Healthy(now, "b"))
}

// TestFailureShare checks that an endpoint that fails half of its requests is ejected, and one that fails a
// seventh is not.
func TestFailureShare(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		failEvery int
		healthy   bool
	}{{2, false}, {7, true}} {
		d := New()
		for i := range 40 {
			if i%test.failEvery == 1 {
				d.RecordFailure(now, "a")
			} else {
				d.RecordSuccess(now, "a")
			}
			if !d.Healthy(now, "a") {
				break
			}
		}
		assert.Equal(t, d.Healthy(now, "a"), test.healthy, "one in %d", test.failEvery)
	}
}

// TestSilence checks that an endpoint that leaves a request unanswered is unhealthy until it responds.
func TestSilence(t *testing.T) {
	d := New()
	now := time.Unix(1000, 0)
	number := d.Start(now, "a")
	assert.Assert(t, d.Healthy(now.Add(time.Second), "a"))
	now = now.Add(time.Second + 1)
	assert.Assert(t, !d.Healthy(now, "a"))
	d.End(now, "a", number, true)
	assert.Assert(t, d.Healthy(now, "a"))
}

// TestUnusable checks that an endpoint is unusable after a single event that proves it, until its
// ejection ends or it responds, and that failures alone do not make it unusable.
func TestUnusable(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	assert.Assert(t, !d.Unusable(now, "a"))
	assert.Equal(t, d.EjectedFor(now, "a"), time.Duration(0))
	d.Eject(now, "a", 3*time.Second)
	assert.Assert(t, d.Unusable(now.Add(2*time.Second), "a"))
	assert.Equal(t, d.EjectedFor(now.Add(2*time.Second), "a"), time.Second)
	assert.Assert(t, !d.Unusable(now.Add(3*time.Second), "a"), "the ejection is over")
	assert.Equal(t, d.EjectedFor(now.Add(4*time.Second), "a"), time.Duration(0))
	d.RecordSuccess(now.Add(2*time.Second), "a")
	assert.Assert(t, !d.Unusable(now.Add(2*time.Second), "a"), "it has responded")
	for range consecutiveFailures {
		d.RecordFailure(now, "b")
	}
	assert.Assert(t, !d.Healthy(now, "b") && !d.Unusable(now, "b"), "ejected for failures, but usable")
	assert.Equal(t, d.EjectedFor(now, "b"), baseEjection)
}
