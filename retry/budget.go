package retry

import (
	"sync"

	"github.com/ryeford/ryeford"
)

// BudgetLimits are the bounds of a Budget.
type BudgetLimits struct {
	// PerSuccess is how many further attempts an answered request earns.
	PerSuccess float64
	// Reserve is what an account starts with, and the most it can hold.
	Reserve float64
}

// A Budget counts each client account's attempts. The attempts of an account after
// the first are at most Reserve + PerSuccess x its answered requests. Its methods
// may be called concurrently.
type Budget struct {
	limits BudgetLimits

	mu    sync.Mutex
	spent map[ryeford.AccountID]float64 // attempts that no answered request has earned yet
}

// NewBudget returns a full Budget.
func NewBudget(limits BudgetLimits) *Budget {
	return &Budget{
		limits: limits,
		spent:  make(map[ryeford.AccountID]float64),
	}
}

// Earn counts an answered request.
func (b *Budget) Earn(account ryeford.AccountID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent[account] = max(0, b.spent[account]-b.limits.PerSuccess)
}

// Spend takes one further attempt, and reports whether the account had it.
func (b *Budget) Spend(account ryeford.AccountID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent[account]+1 > b.limits.Reserve {
		return false
	}
	b.spent[account]++
	return true
}
