package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestSleep checks how long Sleep waits and what it returns.
func TestSleep(t *testing.T) {
	for _, test := range []struct {
		name string
		d    time.Duration
		want bool
		took time.Duration
	}{
		{"the context ends later", time.Second, true, time.Second},
		{"the context ends first", time.Minute, false, 2 * time.Second},
		{"zero duration", 0, true, 0},
		{"negative duration", -time.Second, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				began := time.Now()
				assert.Equal(t, Sleep(ctx, test.d), test.want)
				assert.Equal(t, time.Since(began), test.took)
			})
		})
	}
}
