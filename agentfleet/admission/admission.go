// Package admission decides whether an engine accepts another request, and after
// what time the caller of a refused request should retry.
//
// It owns the counts of the requests that one engine runs (Gate) and the admission
// rule (decide). The mean load of the engines with the same model, the account's
// share and the current time are passed in. It does no I/O.
package admission

import (
	"math"
	"time"

	"github.com/ryeford/ryeford"
)

const (
	// priorityReserve is the fraction of the bound that is reserved for higher
	// priorities, per step below the highest priority.
	priorityReserve = 0.01
	// shareReserve is the fraction of the bound that is reserved for accounts that
	// are within their share.
	shareReserve = 0.1
)

// Limits are the load limits of one engine.
type Limits struct {
	// PoolFactor bounds the load to a multiple of the mean load of the engines
	// with the same model.
	PoolFactor float64
	// Floor is the load, in requests, that is always allowed, whatever the mean.
	Floor float64
	// Capacity is the maximum number of requests that the engine may run.
	Capacity float64
	// ShareFrom is the fraction of the capacity above which shares are enforced.
	// Below it, only the last tenth of the bound is reserved for accounts within
	// their share: the bound follows the load, so restricting an account to its
	// share of a small bound would keep the bound small.
	ShareFrom float64
}

// A Request holds the properties of a request that decide its admission.
type Request struct {
	Account  ryeford.AccountID
	Priority ryeford.Priority
	// Share is the fraction of an engine that the account is entitled to, from 0 to 1.
	Share float64
	// PoolMean is the mean load, in requests, of the engines with the same model.
	// It is the router's estimate (package load) at the time of the dispatch.
	PoolMean float64
}

// A Decision is the outcome for one request, with the values that it is based on.
type Decision struct {
	Admitted bool
	Reason   ryeford.Reason // ReasonOverload or ReasonShare; empty if admitted
	Load     float64        // running requests, without this one
	Bound    float64        // the maximum load, in requests, for the highest priority
	Held     int            // running requests of the account, without this one
	// RetryAfter is how long a refused caller should wait; only Gate.Admit sets it.
	RetryAfter time.Duration
}

// decide admits a request unless the engine's load with it would exceed the bound
// for the request's priority, or would exceed the threshold for enforcing shares
// while the account already uses its share of the bound.
//
// The bound follows the mean load. This limits the imbalance between engines with
// the same model when a cached prefix attracts requests to one of them.
//
// The gateway's bounded load (package choice) is a different rule: it selects an
// endpoint by estimated loads, and excess requests go to the next one. Here the
// engine's exact counts decide, and a refusal is final.
//
// load is the number of requests that the engine runs, held the number of those
// that belong to the account.
func decide(limits *Limits, load, held int, r *Request) Decision {
	d := Decision{
		Load:  float64(load),
		Bound: limits.bound(r.PoolMean),
		Held:  held,
	}
	newLoad, newHeld := d.Load+1, float64(held+1) // if the request is admitted
	switch {
	case newLoad > priorityBound(d.Bound, r.Priority):
		d.Reason = ryeford.ReasonOverload
	case newLoad > limits.shareThreshold(d.Bound) && newHeld > shareBound(d.Bound, r.Share):
		d.Reason = ryeford.ReasonShare
	default:
		d.Admitted = true
	}
	return d
}

// bound returns the maximum load, in requests, for a mean load.
func (l *Limits) bound(poolMean float64) float64 {
	return min(max(l.PoolFactor*poolMean, l.Floor), l.Capacity)
}

// priorityBound returns the maximum load, in requests, for a priority. The reserve
// for higher priorities is rounded down to whole requests, so that a small bound
// is the same for all priorities.
func priorityBound(bound float64, p ryeford.Priority) float64 {
	steps := float64(ryeford.PriorityHighest - p)
	return max(1, bound-math.Floor(bound*priorityReserve*steps))
}

// shareThreshold returns the load, in requests, above which shares are enforced.
// The reserve is rounded down to whole requests, so that a small bound has none.
func (l *Limits) shareThreshold(bound float64) float64 {
	return min(l.Capacity*l.ShareFrom, bound-math.Floor(bound*shareReserve))
}

// shareBound returns the maximum number of running requests of an account while
// shares are enforced: its share of the bound, but at least one.
func shareBound(bound, share float64) float64 {
	return max(1, share*bound)
}

// A Gate counts the running requests of one engine and admits or refuses new ones.
//
// A Gate is not safe for concurrent use.
type Gate struct {
	limits      Limits
	load        int
	held        map[ryeford.AccountID]int
	completions completions
}

// NewGate returns a Gate without running requests.
func NewGate(limits Limits) *Gate {
	return &Gate{
		limits: limits,
		held:   make(map[ryeford.AccountID]int),
	}
}

// Admit decides on a request and adds it to the counts if it is admitted.
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

// Release removes an admitted request from the counts when it has ended.
func (g *Gate) Release(now time.Time, account ryeford.AccountID) {
	g.load--
	if g.held[account]--; g.held[account] <= 0 {
		delete(g.held, account)
	}
	g.completions.add(now)
}

// Load returns the number of running requests.
func (g *Gate) Load() int { return g.load }
