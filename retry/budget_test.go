package retry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestOutage checks that without successes an account's further attempts are at most
// its reserve, however many requests come, and that each account has its own.
func TestOutage(t *testing.T) {
	b := NewBudget(BudgetLimits{PerSuccess: 0.1, Reserve: 16})
	attempts := 0
	for range 10_000 {
		if b.Spend("bank") {
			attempts++
		}
	}
	assert.Equal(t, attempts, 16)
	for range 100 {
		b.Earn("bank")
	}
	for b.Spend("bank") {
		attempts++
	}
	assert.Assert(t, attempts <= 16+10, "%d attempts", attempts)
	assert.Assert(t, b.Spend("church"), "another account has its own reserve")
}
