package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestWindowBound checks that in no span, whenever it begins, retries exceed what the
// requests of that span and of the one before it allow.
func TestWindowBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := WindowLimits{Span: 10 * time.Second, Ratio: 0.18, Reserve: 5}
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
			to := from.Add(limits.Span)
			got := in(retries, from, to)
			allowed := limits.Ratio*float64(in(requests, from.Add(-limits.Span), to)) + limits.Reserve
			assert.Assert(t, float64(got) <= allowed, "%d retries, %f allowed", got, allowed)
		}
	})
}

// TestWindowForgets checks that retries are allowed again once old ones have left
// the span.
func TestWindowForgets(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWindow(now, WindowLimits{Span: 10 * time.Second, Reserve: 2})
	assert.Assert(t, w.TakeRetry(now, 1))
	assert.Assert(t, w.TakeRetry(now, 1))
	assert.Assert(t, !w.TakeRetry(now.Add(9*time.Second), 1))
	assert.Assert(t, w.TakeRetry(now.Add(11*time.Second), 1))
}

// TestWindowShares checks that routers that divide a reserve keep it together,
// though they don't exchange their counts.
func TestWindowShares(t *testing.T) {
	const routers = 26
	now := time.Unix(1000, 0)
	retries := 0
	for range routers {
		w := NewWindow(now, WindowLimits{Span: 10 * time.Second, Ratio: 0.2, Reserve: 84})
		for w.TakeRetry(now, routers) {
			retries++
		}
	}
	assert.Assert(t, retries <= 84 && retries > 84/2, "%d retries", retries)
}

// TestWindowEarlyRequest checks that a request may be counted that came before its
// service's window was made: one that waited for the first configuration.
func TestWindowEarlyRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWindow(now, WindowLimits{Span: 10 * time.Second, Ratio: 1})
	w.CountRequest(now.Add(-600 * time.Millisecond))
	assert.Assert(t, w.TakeRetry(now, 1), "the request counts")
	assert.Assert(t, !w.TakeRetry(now, 1))
}

// TestWindowLateCount checks that a request that is counted long after it came, since
// its body was slow, does not change how many retries were counted.
func TestWindowLateCount(t *testing.T) {
	now := time.Unix(1000, 0)
	w := NewWindow(now, WindowLimits{Span: 10 * time.Second, Reserve: 2})
	now = now.Add(30 * time.Second)
	assert.Assert(t, w.TakeRetry(now, 1))
	assert.Assert(t, w.TakeRetry(now, 1))
	w.CountRequest(now.Add(-10*time.Second - 500*time.Millisecond))
	assert.Assert(t, !w.TakeRetry(now, 1))
}
