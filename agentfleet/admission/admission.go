// Package admission decides at an engine whether it takes one more request, and
// when a refused caller should come back.
//
// It owns the counts of what one engine runs (Gate) and the rule (decide). It
// relies on the caller for the mean load of the engines with the same model, for
// the account's share and for the time; it does no I/O.
package admission

import (
	"math"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// priorityReserve is the part of the bound that each step below the highest
	// priority leaves free for higher ones. No unit.
	priorityReserve = 0.01
	// shareReserve is the part of the bound that only accounts within their share
	// may fill, however small the bound is. No unit.
	shareReserve = 0.1
)

// Limits are the bounds of one engine.
type Limits struct {
	// PoolFactor bounds the load to a multiple of the mean load of the engines
	// with the same model.
	PoolFactor float64
	// Floor is the load, in requests, that is allowed whatever the mean is.
	Floor float64
	// Capacity is the largest number of requests that the engine may run.
	Capacity float64
	// ShareFrom is the part of the capacity above which shares are enforced.
	// Below it, only the last tenth of the bound is kept for accounts within their
	// share: the bound follows the load, so an account that was held to its share
	// of a small bound would keep the bound small.
	ShareFrom float64
}

// A Request is what the rule needs to know of a request.
type Request struct {
	Account  ryeford.AccountID
	Priority ryeford.Priority
	// Share is the part of an engine that the account is entitled to, from 0 to 1.
	Share float64
	// PoolMean is the mean load, in requests, of the engines with the same model,
	// as the router estimated it (package load) when it sent the request.
	PoolMean float64
}

// A Decision is the outcome, with the numbers that decided it.
type Decision struct {
	Admitted bool
	Reason   ryeford.Reason // ReasonOverload or ReasonShare; empty if admitted
	Load     float64        // requests, without this one
	Bound    float64        // the highest load, in requests, for the highest priority
	Held     int            // requests of the account, without this one
	// RetryAfter is when a refused caller should come back; only Gate.Admit sets it.
	RetryAfter time.Duration
}

// decide admits a request unless, with it, the engine's load passes the bound for
// the request's priority, or passes the load from which shares are enforced while
// the account holds its share of the bound already.
//
// The bound follows the mean load, so that no engine is much busier than others
// with the same model while a prompt's cached prefix draws requests to it.
//
// The gateway's bounded load (package choice) only looks the same: there a router
// chooses between endpoints by estimates, and excess spills to the next one. Here
// the engine's own exact counts decide, and a refusal is final.
//
// load is how many requests the engine runs, held how many of them are the account's.
func decide(limits *Limits, load, held int, r *Request) Decision {
	d := Decision{
		Load:  float64(load),
		Bound: limits.bound(r.PoolMean),
		Held:  held,
	}
	loadWith, heldWith := d.Load+1, float64(held+1) // if it is admitted
	switch {
	case loadWith > priorityBound(d.Bound, r.Priority):
		d.Reason = ryeford.ReasonOverload
	case loadWith > limits.sharesAbove(d.Bound) && heldWith > entitled(d.Bound, r.Share):
		d.Reason = ryeford.ReasonShare
	default:
		d.Admitted = true
	}
	return d
}

// bound returns the highest load, in requests, that a mean load allows.
func (l *Limits) bound(poolMean float64) float64 {
	return min(max(l.PoolFactor*poolMean, l.Floor), l.Capacity)
}

// priorityBound returns the highest load for a priority. It leaves whole requests
// free for higher priorities, so that a small bound is the same for all.
func priorityBound(bound float64, p ryeford.Priority) float64 {
	steps := float64(ryeford.PriorityHighest - p)
	return max(1, bound-math.Floor(bound*priorityReserve*steps))
}

// sharesAbove returns the load above which shares are enforced. The reserve is in
// whole requests, so that a small bound has none.
func (l *Limits) sharesAbove(bound float64) float64 {
	return min(l.Capacity*l.ShareFrom, bound-math.Floor(bound*shareReserve))
}

// entitled returns how many requests an account may hold while shares are enforced:
// its share of the bound, and at least one.
func entitled(bound, share float64) float64 {
	return max(1, share*bound)
}

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
	d := decide(&g.limits, g.load, g.held[r.Account], r)
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
