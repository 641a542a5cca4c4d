package freshness

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const term = 4 * time.Second

// start is later than the start of each lease in these tests.
var start = time.Now().Add(time.Hour)

// TestSharedRead checks that a read of one process renews another's lease by no
// more than the read's own age, however long the message took.
func TestSharedRead(t *testing.T) {
	reader, other := NewLease(time.Now(), term, &SourceClock{}), NewLease(time.Now(), term, &SourceClock{})
	// Each process's own read sets its view of the source's clock.
	reader.RenewRead(start, start.Add(100*time.Millisecond), 50*time.Second)
	other.RenewRead(start, start.Add(20*time.Millisecond), 50*time.Second)

	read := start.Add(2 * time.Second)
	reader.RenewRead(read, read.Add(200*time.Millisecond), 52*time.Second+100*time.Millisecond)
	confirmed, ok := reader.Confirmed()
	assert.Assert(t, ok)
	assert.Equal(t, confirmed, 51900*time.Millisecond)

	now := start.Add(3 * time.Second) // the message is late
	assert.Assert(t, other.RenewFromPeer(now, confirmed))
	age, _ := other.Age(now)
	assert.Assert(t, age >= time.Second, "%s: not younger than the read", age)
	assert.Assert(t, age < 1200*time.Millisecond, "%s", age)
	passedOn, _ := other.Confirmed()
	assert.Equal(t, passedOn, confirmed)
	assert.Assert(t, !other.RenewFromPeer(now, confirmed), "known already")
	assert.Assert(t, !other.RenewFromPeer(now, confirmed-time.Millisecond), "older")
}

// TestSharedBeforeOwnRead checks that a process that has never read the source itself,
// and so doesn't know the age of a confirmation, ignores a peer's.
func TestSharedBeforeOwnRead(t *testing.T) {
	l := NewLease(time.Now(), term, &SourceClock{})
	assert.Assert(t, !l.RenewFromPeer(start, time.Second))
	assert.Assert(t, !l.Valid(time.Now()))
}

// TestSharedFuture checks that a confirmation that lies in the future of the
// source's clock is not believed: it is of another clock.
func TestSharedFuture(t *testing.T) {
	l := NewLease(time.Now(), term, &SourceClock{})
	l.RenewRead(start, start, 50*time.Second)
	assert.Assert(t, !l.RenewFromPeer(start.Add(time.Second), 52*time.Second))
	assert.Assert(t, l.RenewFromPeer(start.Add(time.Second), 51*time.Second))
}

// TestSharedFrozen checks that the age of a message counts from the read that it
// confirms, though the process that receives it was frozen meanwhile.
func TestSharedFrozen(t *testing.T) {
	l := NewLease(time.Now(), term, &SourceClock{})
	l.RenewRead(start, start, 50*time.Second)
	now := start.Add(20 * time.Second)
	l.RenewFromPeer(now, 51*time.Second)
	age, _ := l.Age(now)
	assert.Assert(t, age >= 19*time.Second)
}

// TestFastClock checks that the bound on the source's clock stays true while that clock
// runs faster than the process's, by more than clockDrift: that a confirmation is never
// taken for younger than it is by more than an eighth of leaseMargin, however long the
// process runs. It failed by 8.6 s after a day of a clock two in ten thousand faster.
func TestFastClock(t *testing.T) {
	const faster = 1.001 // one in a thousand
	var c SourceClock
	var worst time.Duration
	for elapsed := time.Duration(0); elapsed < 24*time.Hour; elapsed += time.Second {
		now := start.Add(elapsed)
		shown := time.Duration(faster * float64(elapsed))
		c.Observe(now, shown)
		latest, _ := c.Latest(now)
		worst = max(worst, shown-latest)
	}
	assert.Assert(t, worst <= leaseMargin/8, "%s", worst)
}

// TestSlowAnswer checks that a slow answer doesn't loosen what is known of the
// source's clock, and that a clock that started anew is followed.
func TestSlowAnswer(t *testing.T) {
	var c SourceClock
	c.Observe(start, 50*time.Second)
	c.Observe(start.Add(time.Second), 52*time.Second) // answered a second late
	latest, _ := c.Latest(start.Add(time.Second))
	assert.Assert(t, latest < 51001*time.Millisecond)
	c.Observe(start.Add(2*time.Second), time.Second) // back
	latest, _ = c.Latest(start.Add(2 * time.Second))
	assert.Equal(t, latest, time.Second)
	c.Observe(start.Add(3*time.Second), time.Hour) // ahead
	latest, _ = c.Latest(start.Add(3 * time.Second))
	assert.Equal(t, latest, time.Hour)
}

// TestRestartedClock checks that a lease is renewed by peers after the source's clock has started anew: a
// process that only hears its peers would lose its lease with the last confirmation of the old clock.
func TestRestartedClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &SourceClock{}
		l := NewLease(time.Now(), 2*time.Second, clock)
		clock.Observe(time.Now(), time.Hour)
		assert.Assert(t, l.RenewFromPeer(time.Now(), time.Hour))
		time.Sleep(time.Second)

		clock.Observe(time.Now(), 100*time.Millisecond) // it has started anew
		assert.Assert(t, l.RenewFromPeer(time.Now(), 50*time.Millisecond))
		assert.Equal(t, l.Left(time.Now()).Round(time.Millisecond), 1950*time.Millisecond)
		assert.Assert(t, !l.RenewFromPeer(time.Now(), time.Hour), "a confirmation by the clock before")
		assert.Assert(t, !l.RenewFromPeer(time.Now(), 40*time.Millisecond), "an older one")
		time.Sleep(time.Second)
		assert.Assert(t, l.RenewFromPeer(time.Now(), time.Second))
	})
}
