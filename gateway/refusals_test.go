package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/gateway/giveup"
)

// TestRefusalCounts checks that refusals and answers count by service, for at least one window and
// at most two, and that other failures don't count.
func TestRefusalCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newRefusals()
	end := func(status int) { r.add(now, "s", (&giveup.Outcome{Status: status}).Counts()) }
	end(503)
	end(404)
	end(502)
	r.add(now, "s", giveup.RecentCounts{Answered: 1})
	assert.Equal(t, r.get(now, "s"), giveup.RecentCounts{Refused: 1, Answered: 1})
	assert.Equal(t, r.get(now, "another"), giveup.RecentCounts{})
	now = now.Add(refusalsWindow)
	end(503)
	assert.Equal(t, r.get(now, "s"), giveup.RecentCounts{Refused: 2, Answered: 1})
	now = now.Add(refusalsWindow)
	assert.Equal(t, r.get(now, "s"), giveup.RecentCounts{Refused: 1})
	now = now.Add(2 * refusalsWindow)
	assert.Equal(t, r.get(now, "s"), giveup.RecentCounts{})
}
