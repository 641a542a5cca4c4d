package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/settings"
)

// TestNewAttempt checks how long an attempt may be admitted and how long it is kept.
func TestNewAttempt(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	limits := &settings.RouterLimits{Dispatch: 2 * time.Second, ClaimTTL: 10 * time.Minute}
	for _, test := range []struct {
		name      string
		claimed   bool
		retention time.Duration
	}{
		{"without a claim", false, attemptRetention},
		{"with a claim", true, 10 * time.Minute},
	} {
		t.Run(test.name, func(t *testing.T) {
			a, b := newAttempt(now, limits, test.claimed), newAttempt(now, limits, test.claimed)
			assert.Equal(t, a.Expires, now.Add(2*time.Second))
			assert.Equal(t, a.RetainUntil, now.Add(test.retention))
			assert.Assert(t, a.ID != b.ID)
		})
	}
}
