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

// TestRenewFromPeer checks that a delayed message does not renew a peer's lease beyond the age of the
// read that it reports.
func TestRenewFromPeer(t *testing.T) {
	reader, other := NewLease(time.Now(), term, &SourceClock{}), NewLease(time.Now(), term, &SourceClock{})
	// A local read of each process bounds the source's clock.
	reader.RenewRead(start, start.Add(100*time.Millisecond), 50*time.Second)
	other.RenewRead(start, start.Add(20*time.Millisecond), 50*time.Second)

	read := start.Add(2 * time.Second)
	reader.RenewRead(read, read.Add(200*time.Millisecond), 52*time.Second+100*time.Millisecond)
	confirmed, ok := reader.Confirmed()
	assert.Assert(t, ok)
	assert.Equal(t, confirmed, 51900*time.Millisecond)

	now := start.Add(3 * time.Second) // the message is delayed
	assert.Assert(t, other.RenewFromPeer(now, confirmed))
	age, _ := other.Age(now)
	assert.Assert(t, age >= time.Second, "%s is less than the age of the read", age)
	assert.Assert(t, age < 1200*time.Millisecond, "%s", age)
	forwarded, _ := other.Confirmed()
	assert.Equal(t, forwarded, confirmed)
	assert.Assert(t, !other.RenewFromPeer(now, confirmed), "a repeated confirmation")
	assert.Assert(t, !other.RenewFromPeer(now, confirmed-time.Millisecond), "an older confirmation")
}

// TestRenewFromPeerBeforeLocalRead checks that a process without a bound on the source's clock
// ignores a peer's confirmation, whose age it can't determine.
func TestRenewFromPeerBeforeLocalRead(t *testing.T) {
	l := NewLease(time.Now(), term, &SourceClock{})
	assert.Assert(t, !l.RenewFromPeer(start, time.Second))
	assert.Assert(t, !l.Valid(time.Now()))
}

// TestRenewFromPeerInFuture checks that a confirmation ahead of the source's clock is rejected,
// because it comes from another clock.
func TestRenewFromPeerInFuture(t *testing.T) {
	l := NewLease(time.Now(), term, &SourceClock{})
	l.RenewRead(start, start, 50*time.Second)
	assert.Assert(t, !l.RenewFromPeer(start.Add(time.Second), 52*time.Second))
	assert.Assert(t, l.RenewFromPeer(start.Add(time.Second), 51*time.Second))
}

// TestRenewFromPeerAfterSuspension checks that a confirmation's age counts from the read even if the
// receiving process was suspended in between.
func TestRenewFromPeerAfterSuspension(t *testing.T) {
	l := NewLease(time.Now(), term, &SourceClock{})
	l.RenewRead(start, start, 50*time.Second)
	now := start.Add(20 * time.Second)
	l.RenewFromPeer(now, 51*time.Second)
	age, _ := l.Age(now)
	assert.Assert(t, age >= 19*time.Second)
}

// TestFastClock checks that the age of a confirmation is underestimated by at most an eighth of
// leaseMargin if the source's clock runs faster than clockDrift allows for.
func TestFastClock(t *testing.T) {
	const clockRate = 1.001
	var c SourceClock
	var worst time.Duration
	for elapsed := time.Duration(0); elapsed < 24*time.Hour; elapsed += time.Second {
		now := start.Add(elapsed)
		reading := time.Duration(clockRate * float64(elapsed))
		c.Observe(now, reading)
		upperBound, _ := c.UpperBound(now)
		worst = max(worst, reading-upperBound)
	}
	assert.Assert(t, worst <= leaseMargin/8, "%s", worst)
}

// TestObserveSlowResponse checks that a slow response does not loosen the bound on the source's
// clock, and that a reset of that clock is detected.
func TestObserveSlowResponse(t *testing.T) {
	var c SourceClock
	c.Observe(start, 50*time.Second)
	c.Observe(start.Add(time.Second), 52*time.Second) // the response took a second
	upperBound, _ := c.UpperBound(start.Add(time.Second))
	assert.Assert(t, upperBound < 51001*time.Millisecond)
	c.Observe(start.Add(2*time.Second), time.Second) // reset backward
	upperBound, _ = c.UpperBound(start.Add(2 * time.Second))
	assert.Equal(t, upperBound, time.Second)
	c.Observe(start.Add(3*time.Second), time.Hour) // reset forward
	upperBound, _ = c.UpperBound(start.Add(3 * time.Second))
	assert.Equal(t, upperBound, time.Hour)
}

// TestClockReset checks that peers' confirmations renew a lease after the source's clock was reset, so
// that a process without local reads does not lose its lease.
func TestClockReset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := &SourceClock{}
		l := NewLease(time.Now(), 2*time.Second, clock)
		clock.Observe(time.Now(), time.Hour)
		assert.Assert(t, l.RenewFromPeer(time.Now(), time.Hour))
		time.Sleep(time.Second)

		clock.Observe(time.Now(), 100*time.Millisecond) // the clock was reset
		assert.Assert(t, l.RenewFromPeer(time.Now(), 50*time.Millisecond))
		assert.Equal(t, l.Remaining(time.Now()).Round(time.Millisecond), 1950*time.Millisecond)
		assert.Assert(t, !l.RenewFromPeer(time.Now(), time.Hour), "a confirmation from before the reset")
		assert.Assert(t, !l.RenewFromPeer(time.Now(), 40*time.Millisecond), "an older confirmation")
		time.Sleep(time.Second)
		assert.Assert(t, l.RenewFromPeer(time.Now(), time.Second))
	})
}
