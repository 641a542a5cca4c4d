package freshness

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestLease checks that a lease counts from before the read, and that an older
// read shortens nothing.
func TestLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLease(time.Now(), time.Second, &SourceClock{})
		assert.Assert(t, !l.Valid(time.Now()))
		_, confirmed := l.Age(time.Now())
		assert.Assert(t, !confirmed)
		sent := time.Now()
		time.Sleep(700 * time.Millisecond) // the answer is slow
		l.renew(sent)
		age, _ := l.Age(time.Now())
		assert.Equal(t, age, 700*time.Millisecond)
		assert.Assert(t, l.Valid(time.Now()))
		time.Sleep(299 * time.Millisecond)
		assert.Assert(t, l.Valid(time.Now()))
		time.Sleep(time.Millisecond)
		assert.Assert(t, !l.Valid(time.Now()))

		late := time.Now()
		_, confirmed = l.Age(time.Now())
		assert.Assert(t, confirmed)
		l.renew(late)
		l.renew(sent) // an answer that was held up
		assert.Equal(t, l.Left(time.Now()), time.Second)
	})
}

// TestFrozen checks that a process that was frozen finds its lease ended.
func TestFrozen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLease(time.Now(), time.Second, &SourceClock{})
		sent := time.Now()
		time.Sleep(5 * time.Second) // frozen before the answer is read
		l.renew(sent)
		assert.Assert(t, !l.Valid(time.Now()))
	})
}
