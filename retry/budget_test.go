package retry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestBudgetReserve guards against an account exceeding its reserve without successes, and against accounts
// that share one reserve.
func TestBudgetReserve(t *testing.T) {
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
