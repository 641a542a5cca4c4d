package admission

import (
	"time"

	"github.com/ryeford/ryeford"
)

// A Gate counts what one engine runs and decides on the next request.
//
// A Gate must not be used by two goroutines at once.
type Gate struct {
	limits      Limits
	load        int
	held        map[ryeford.AccountID]int
	completions completions
}

// NewGate returns a Gate with nothing running.
func NewGate(limits Limits) *Gate {
	return &Gate{
		limits: limits,
		held:   make(map[ryeford.AccountID]int),
	}
}

// Admit decides on a request and counts it if it is admitted.
func (g *Gate) Admit(now time.Time, r *Request) Decision {
	d := decide(&g.limits, state{load: g.load, held: g.held[r.Account]}, r)
	if !d.Admitted {
		d.RetryAfter = g.completions.retryAfter(now, d.Load, d.Bound)
		return d
	}
	g.load++
	g.held[r.Account]++
	return d
}

// Release removes an admitted request that has ended from the counts.
func (g *Gate) Release(now time.Time, account ryeford.AccountID) {
	g.load--
	if g.held[account]--; g.held[account] <= 0 {
		delete(g.held, account)
	}
	g.completions.add(now)
}

// Load returns how many requests run.
func (g *Gate) Load() int { return g.load }
