package outlier

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEjects checks which records eject an endpoint.
func TestEjects(t *testing.T) {
	for _, test := range []struct {
		name   string
		record record
		ejects bool
	}{
		{"first failure", record{consecutive: 1, responses: 1, failures: 1}, false},
		{"second failure in a row", record{consecutive: 2, responses: 2, failures: 2}, false},
		{"third failure in a row", record{consecutive: 3, responses: 3, failures: 3}, true},
		{"third failure in a row among many successes", record{consecutive: 3, responses: 1000, failures: 3}, true},
		{"a third of many responses", record{consecutive: 1, responses: 12, failures: 4}, false},
		{"35% of many responses", record{consecutive: 1, responses: 20, failures: 7}, true},
		{"half of too few responses", record{consecutive: 1, responses: 7.9, failures: 4}, false},
		{"half of enough responses", record{consecutive: 1, responses: 8, failures: 4}, true},
	} {
		assert.Equal(t, test.record.ejects(), test.ejects, test.name)
	}
}

// TestEjectionDuration checks the duration of successive ejections.
func TestEjectionDuration(t *testing.T) {
	for _, test := range []struct {
		earlier  int
		duration time.Duration
	}{
		{0, 1500 * time.Millisecond},
		{1, 3 * time.Second},
		{2, 6 * time.Second},
		{3, 6 * time.Second},
		{1 << 40, 6 * time.Second},
	} {
		assert.Equal(t, ejectionDuration(test.earlier), test.duration)
	}
}

// TestSilent checks when an endpoint that was sent a request counts as silent.
func TestSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name               string
		sent, lastResponse time.Duration // elapsed; zero lastResponse: never
		silent             bool
	}{
		{"sent a second ago", time.Second, 0, false},
		{"sent more than a second ago", time.Second + 1, 0, true},
		{"answered another request just now", time.Minute, time.Second, false},
		{"answered another request long ago", time.Minute, time.Minute, true},
	} {
		var last time.Time
		if test.lastResponse != 0 {
			last = now.Add(-test.lastResponse)
		}
		assert.Equal(t, silent(now, now.Add(-test.sent), last), test.silent, test.name)
	}
}
