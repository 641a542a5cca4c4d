package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestReserveDivisor checks by how many routers the reserve is divided.
func TestReserveDivisor(t *testing.T) {
	for _, row := range []struct {
		rule             string
		configured, live int
		want             int
	}{
		{"isolated: the configured number", 10, 1, 10},
		{"few are live: the configured number", 10, 8, 10},
		{"many are live: a quarter more than that", 10, 26, 32},
		{"a quarter is rounded down", 1, 3, 3},
	} {
		t.Run(row.rule, func(t *testing.T) {
			assert.Equal(t, ReserveDivisor(row.configured, row.live), row.want)
		})
	}
}

// TestWindows checks that each service has its own budget, of which a router uses nine tenths.
func TestWindows(t *testing.T) {
	w := NewWindows(WindowLimits{Length: 10 * time.Second, Ratio: 0.2, Reserve: 10})
	now := time.Now()
	spend := func(service string) (retries int) {
		for w.ForService(now, service).TakeRetry(now, 1) {
			retries++
		}
		return retries
	}
	assert.Equal(t, spend("chat"), 9)
	assert.Equal(t, spend("chat"), 0)
	assert.Equal(t, spend("plain"), 9)
	for range 100 {
		w.ForService(now, "chat").CountRequest(now)
	}
	assert.Equal(t, spend("chat"), 18)
}
