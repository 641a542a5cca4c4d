package freshness

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestLease checks that a lease counts from the sending of the read, and that a delayed older
// response does not shorten it.
func TestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLease(time.Now(), time.Second, &SourceClock{})
		assert.Assert(t, !l.Valid(time.Now()))
		_, confirmed := l.Age(time.Now())
		assert.Assert(t, !confirmed)
		sent := time.Now()
		time.Sleep(700 * time.Millisecond) // a slow response
		l.renew(sent)
		age, _ := l.Age(time.Now())
		assert.Equal(t, age, 700*time.Millisecond)
		assert.Assert(t, l.Valid(time.Now()))
		time.Sleep(299 * time.Millisecond)
		assert.Assert(t, l.Valid(time.Now()))
		time.Sleep(time.Millisecond)
		assert.Assert(t, !l.Valid(time.Now()))

		later := time.Now()
		_, confirmed = l.Age(time.Now())
		assert.Assert(t, confirmed)
		l.renew(later)
		l.renew(sent) // a delayed response
		assert.Equal(t, l.Remaining(time.Now()), time.Second)
	})
}

// TestLeaseAfterSuspension checks that the lease of a process that was suspended has expired.
func TestLeaseAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLease(time.Now(), time.Second, &SourceClock{})
		sent := time.Now()
		time.Sleep(5 * time.Second) // suspended before the response is read
		l.renew(sent)
		assert.Assert(t, !l.Valid(time.Now()))
	})
}
