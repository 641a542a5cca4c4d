package peers

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBudget checks that no more is sent over time than the rate allows, however
// large the messages are.
func TestBudget(t *testing.T) {
	for _, size := range []int{100, 700, 3000, 9000} {
		b := NewBudget(start, 5000)
		sent := 0
		for i := range 1000 {
			for range b.Sends(start.Add(time.Duration(i)*100*time.Millisecond), size, 8) {
				b.Spend(size)
				sent += size
			}
		}
		assert.Assert(t, sent <= 5000*101, "%d bytes in 100 s in pieces of %d", sent, size)
		assert.Assert(t, size > 5000 || sent > 5000*60, "%d bytes in 100 s in pieces of %d", sent, size)
	}
}

// TestBudgetOverdrawn checks that a router that has sent too much sends nothing
// until it may again: the size of its first messages is not known beforehand.
func TestBudgetOverdrawn(t *testing.T) {
	b := NewBudget(start, 1000)
	assert.Equal(t, b.Sends(start, 0, 8), 8)
	for range 8 {
		b.Spend(1000)
	}
	assert.Equal(t, b.Sends(start, 1000, 8), 0)
	assert.Equal(t, b.Sends(start.Add(9*time.Second), 1000, 8), 1)
}
