// Package admission decides at an engine whether one more request may run
// there. It holds the counts of one engine and does no I/O.
package admission

import (
	"math"
	"time"

	"github.com/ryeford/ryeford"
)

// Limits are the bounds of one engine.
type Limits struct {
	// PoolFactor bounds the load to a multiple of the mean of the engines with
	// the same model.
	PoolFactor float64
	// Floor is the load that is allowed whatever the mean is.
	Floor float64
	// Capacity is the most requests that the engine takes.
	Capacity float64
	// ShareFrom is the part of the capacity above which shares are enforced.
	// Below it, only the last tenth of the bound is kept for accounts within their
	// share: the bound follows the load, and an account that was held to its share
	// of all of a small bound would keep it small.
	ShareFrom float64
}

// priorityReserve is the part of the bound that each step below the highest
// priority leaves free for higher ones.
const priorityReserve = 0.01

// A Request is what the decision needs to know of a request.
type Request struct {
	Account  ryeford.AccountID
	Priority ryeford.Priority
	Share    float64
	PoolMean float64
}

// A Decision is the outcome, with the numbers that decided it.
type Decision struct {
	Admitted   bool
	Reason     ryeford.Reason
	Load       float64
	Bound      float64
	Held       int // what the account holds
	RetryAfter time.Duration
}

// A Gate counts what one engine runs and decides on the next request.
//
// A Gate must not be used by two goroutines at once.
type Gate struct {
	limits Limits
	load   int
	held   map[ryeford.AccountID]int
	done   rate
}

// NewGate returns a Gate with nothing running.
func NewGate(limits Limits) *Gate {
	return &Gate{
		limits: limits,
		held:   make(map[ryeford.AccountID]int),
	}
}

// Admit decides on a request and, where it admits it, counts it.
func (g *Gate) Admit(now time.Time, r *Request) Decision {
	d := g.Check(r)
	if !d.Admitted {
		d.RetryAfter = g.done.retryAfter(now, d.Load, d.Bound)
		return d
	}
	g.load++
	g.held[r.Account]++
	return d
}

// Check decides on a request without counting it.
func (g *Gate) Check(r *Request) Decision {
	d := Decision{
		Load:  float64(g.load),
		Bound: g.Bound(r.PoolMean),
		Held:  g.held[r.Account],
	}
	switch {
	case d.Load+1 > g.priorityBound(d.Bound, r.Priority):
		d.Reason = ryeford.ReasonOverload
	case d.Load+1 > g.shareFrom(d.Bound) && !g.withinShare(d.Bound, r):
		d.Reason = ryeford.ReasonShare
	default:
		d.Admitted = true
	}
	return d
}

// Release counts an admitted request out.
func (g *Gate) Release(now time.Time, account ryeford.AccountID) {
	g.load--
	if g.held[account]--; g.held[account] <= 0 {
		delete(g.held, account)
	}
	g.done.add(now)
}

// Load returns how many requests run.
func (g *Gate) Load() int { return g.load }

// Bound returns the highest load that a mean allows.
func (g *Gate) Bound(poolMean float64) float64 {
	return min(max(g.limits.PoolFactor*poolMean, g.limits.Floor), g.limits.Capacity)
}

// priorityBound returns the bound for a priority: whole requests are left free
// for higher ones, so that a small bound is the same for all.
func (g *Gate) priorityBound(bound float64, p ryeford.Priority) float64 {
	steps := float64(ryeford.PriorityHighest - p)
	return max(1, bound-math.Floor(bound*priorityReserve*steps))
}

// shareReserve is the part of the bound that is kept for accounts within their
// share. It is in whole requests, so that a small bound has none.
const shareReserve = 0.1

// shareFrom returns the load above which shares are enforced.
func (g *Gate) shareFrom(bound float64) float64 {
	return min(g.limits.Capacity*g.limits.ShareFrom, bound-math.Floor(bound*shareReserve))
}

// withinShare reports whether the account may hold one more of the bound.
func (g *Gate) withinShare(bound float64, r *Request) bool {
	due := max(1, r.Share*bound)
	return float64(g.held[r.Account]+1) <= due
}
