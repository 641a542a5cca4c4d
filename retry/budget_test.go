package retry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestOutage checks the stated multiple: with no answer, an account's further
// attempts are at most its reserve, however many requests come.
func TestOutage(t *testing.T) {
	b := NewBudget(BudgetLimits{PerSuccess: 0.1, Reserve: 16})
	tries := 0
	for range 10_000 {
		if b.Spend("bank") {
			tries++
		}
	}
	assert.Equal(t, tries, 16)
	for range 100 {
		b.Earn("bank")
	}
	for b.Spend("bank") {
		tries++
	}
	assert.Assert(t, tries <= 16+10, "%d tries", tries)
	assert.Assert(t, b.Spend("church"), "an account pays for another")
}
