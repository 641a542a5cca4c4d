package agent

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

const (
	// maxMeanAge is from what age on a router's mean is held to be too high: its engines'
	// loads may have fallen since. Above a wait for a warm engine (limits.warm_wait, 100 ms)
	// and the way from the router, unless a process stands still.
	maxMeanAge = 200 * time.Millisecond

	// oldMeanPart is the part of a mean above maxMeanAge that counts. Without unit.
	staleMeanFactor = 0.9
)

// lowerMean returns the mean load, in requests, that an engine admits against, given the
// router's estimate, its age, and the mean of the VM's own engines with the same model.
//
// The estimate lags while load falls, the more so the later the dispatch comes. The VM's own
// mean is of few engines, but exact and as old as the decision. Too low a mean costs a
// dispatch to another engine, too high a one the bound.
func admissionMean(estimate float64, age time.Duration, local float64) float64 {
	if age > maxMeanAge {
		estimate *= staleMeanFactor
	}
	return min(estimate, local)
}

// meanLoad returns the mean load that a dispatch to a backend is admitted against.
func (a *Agent) meanLoad(now time.Time, target *backend, d *wire.Dispatch) float64 {
	sum, count := 0.0, 0.0
	for _, b := range a.backends {
		if load, ok := b.servingLoad(d); ok && b.serviceName == target.serviceName {
			sum += load
			count++
		}
	}
	if count == 0 {
		return d.PoolMean // the backend refuses it
	}
	return admissionMean(d.PoolMean, now.Sub(d.Sent), sum/count)
}

// offsetWindow is for how long the least offset of a router's clock counts, at least:
// many dispatches come in it, and a clock that was set is believed soon.
const offsetWindow = 30 * time.Second

// A clockOffsets estimates when routers sent their dispatches, by the agent's clock. The
// least time from a router's sending to the receipt, by their two clocks, is how far these
// are apart and a way without a wait; what a dispatch took beyond it is its age.
//
// The zero clockOffsets is ready to use, by several goroutines at once.
type clockOffsets struct {
	mu      sync.Mutex
	routers map[ryeford.VMID]*clockOffset
}

// A clockOffset is the least offset of one router in this window and in the one before.
type clockOffset struct {
	windowStart       time.Time
	current, previous time.Duration
}

// sent returns when a router sent what is received now, given the time by its own clock.
// Zero, of a router that does not say, is now.
func (c *clockOffsets) sendTime(router ryeford.VMID, now, sent time.Time) time.Time {
	if sent.IsZero() {
		return now
	}
	offset := now.Sub(sent)
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.routers[router]
	switch {
	case !ok:
		o = &clockOffset{windowStart: now, current: offset, previous: offset}
		if c.routers == nil {
			c.routers = make(map[ryeford.VMID]*clockOffset)
		}
		c.routers[router] = o
	case now.Sub(o.windowStart) > offsetWindow:
		*o = clockOffset{windowStart: now, current: offset, previous: o.current}
	}
	o.current = min(o.current, offset)
	return sent.Add(min(o.current, o.previous))
}
