package retry

import (
	"sync"

	"github.com/ryeford/ryeford"
)

// BudgetLimits are the limits of a Budget.
type BudgetLimits struct {
	// PerSuccess is how many retries an answered request earns.
	PerSuccess float64
	// Reserve is the initial and maximum number of retries of an account.
	Reserve float64
}

// A Budget limits the retries of each client account: attempts after a request's first are at most
// Reserve + PerSuccess x its answered requests. Its methods may be called concurrently.
type Budget struct {
	limits BudgetLimits

	mu    sync.Mutex
	spent map[ryeford.AccountID]float64 // retries not yet covered by answered requests
}

// NewBudget returns a Budget whose accounts have their full Reserve.
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

// Spend reports whether the account has a retry left, and if so takes it.
func (b *Budget) Spend(account ryeford.AccountID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent[account]+1 > b.limits.Reserve {
		return false
	}
	b.spent[account]++
	return true
}
