package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefreshAge checks that the routers of a fleet read at staggered ages, and that an isolated
// router reads at the refresh age.
func TestRefreshAge(t *testing.T) {
	const (
		refresh = time.Second
		early   = 1600 * time.Millisecond // leaves no time for a report to reach all
		late    = 3 * time.Second
	)
	for _, test := range []struct {
		name        string
		latest      time.Duration
		rank, peers int
		want        time.Duration
	}{
		{"without peers", early, 0, 0, refresh},
		{"the first of two", early, 0, 1, refresh / 2},
		{"the second of two", early, 1, 1, 750 * time.Millisecond},
		{"the third of three", early, 2, 2, 1300 * time.Millisecond},
		{"the first of six", early, 0, 5, refresh / 2},
		{"the second of six", early, 1, 5, 750 * time.Millisecond},
		{"the third of six", early, 2, 5, 1120 * time.Millisecond},
		{"the fourth of six", early, 3, 5, 1240 * time.Millisecond},
		{"the fifth of six", early, 4, 5, 1360 * time.Millisecond},
		{"the last of six", early, 5, 5, 1480 * time.Millisecond},
		{"the last of a fleet", early, 389, 389, 1598 * time.Millisecond},
		{"the first of a large fleet", late, 0, 389, refresh / 2},
		{"the third of 26", late, 2, 25, 1024 * time.Millisecond},
		{"the third of a large fleet", late, 2, 389, 1354 * time.Millisecond},
		{"the last of a large fleet", late, 389, 389, 1951 * time.Millisecond},
		{"the last of a fleet of twice that size", late, 779, 779, 2051 * time.Millisecond},
		{"a latest age below the refresh age", 0, 2, 389, 1002 * time.Millisecond},
	} {
		assert.Equal(t, ReadAge(refresh, test.latest, test.rank, test.peers).Round(time.Millisecond), test.want, test.name)
	}
}

// TestTimeSlot checks that a time slot lasts four seconds on the source's clock.
func TestTimeSlot(t *testing.T) {
	for confirmed, want := range map[time.Duration]uint64{
		0: 0, 4*time.Second - 1: 0, 4 * time.Second: 1, time.Hour: 900,
	} {
		assert.Equal(t, TimeSlot(confirmed), want, "%s", confirmed)
	}
}

// TestPauseAfterRead checks that a router pauses longer after a read that failed or found no
// configuration.
func TestPauseAfterRead(t *testing.T) {
	for _, test := range []struct {
		answered, configured bool
		want                 time.Duration
	}{
		{true, true, 60 * time.Millisecond},
		{true, false, 400 * time.Millisecond},
		{false, true, 400 * time.Millisecond},
		{false, false, 400 * time.Millisecond},
	} {
		assert.Equal(t, PauseAfterRead(test.answered, test.configured), test.want)
	}
}

// TestTerm checks that a lease ends before the revocation bound.
func TestTerm(t *testing.T) {
	assert.Equal(t, Term(5*time.Second), 4500*time.Millisecond)
	assert.Assert(t, !NewLease(time.Now(), Term(400*time.Millisecond), &SourceClock{}).Valid(time.Now()))
}
