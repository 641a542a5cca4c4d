package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestWindowBound guards against more retries in any window of time than the requests of that window
// and of the one before it allow.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := WindowLimits{Length: 10 * time.Second, Ratio: 0.18, Reserve: 5}
		now := time.Unix(1000, 0)
		w := NewWindow(now, limits)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				w.CountRequest(now)
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 5).Draw(t, "attempts") {
				if w.TakeRetry(now, 1) {
					retries = append(retries, now)
				}
			}
		}
		for _, from := range retries {
			in := func(times []time.Time, from, to time.Time) (n int) {
				for _, at := range times {
					if !at.Before(from) && at.Before(to) {
						n++
					}
				}
				return n
			}
			to := from.Add(limits.Length)
			got := in(retries, from, to)
			allowed := limits.Ratio*float64(in(requests, from.Add(-limits.Length), to)) + limits.Reserve
			assert.Assert(t, float64(got) <= allowed, "%d retries, %f allowed", got, allowed)
		}
	})
}

// TestWindowSlides checks that retries are allowed again once old ones have left the window.
func TestWindowSlides(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWindow(now, WindowLimits{Length: 10 * time.Second, Reserve: 2})
	assert.Assert(t, w.TakeRetry(now, 1))
	assert.Assert(t, w.TakeRetry(now, 1))
	assert.Assert(t, !w.TakeRetry(now.Add(9*time.Second), 1))
	assert.Assert(t, w.TakeRetry(now.Add(11*time.Second), 1))
}

// TestWindowReserveDivided guards against routers that together exceed a divided reserve.
func TestWindowReserveDivided(t *testing.T) {
	const routers = 26
	now := time.Unix(1000, 0)
	retries := 0
	for range routers {
		w := NewWindow(now, WindowLimits{Length: 10 * time.Second, Ratio: 0.2, Reserve: 84})
		for w.TakeRetry(now, routers) {
			retries++
		}
	}
	assert.Assert(t, retries <= 84 && retries > 84/2, "%d retries", retries)
}

// TestWindowEarlyRequest checks that a request counts if it arrived before its service's window was
// created: one that waited for the first configuration.
func TestWindowEarlyRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWindow(now, WindowLimits{Length: 10 * time.Second, Ratio: 1})
	w.CountRequest(now.Add(-600 * time.Millisecond))
	assert.Assert(t, w.TakeRetry(now, 1), "the request counts")
	assert.Assert(t, !w.TakeRetry(now, 1))
}

// TestWindowLateCount guards against a request that is counted long after its arrival, because of a
// slow body, resetting the count of retries.
func TestWindowLateCount(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWindow(now, WindowLimits{Length: 10 * time.Second, Reserve: 2})
	now = now.Add(30 * time.Second)
	assert.Assert(t, w.TakeRetry(now, 1))
	assert.Assert(t, w.TakeRetry(now, 1))
	w.CountRequest(now.Add(-10*time.Second - 500*time.Millisecond))
	assert.Assert(t, !w.TakeRetry(now, 1))
}
