package agent

import (
	"sync"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

const (
	// maxMeanAge is the age above which a router's mean is considered stale and reduced,
	// since loads may have fallen since. It is longer than the wait for a warm engine
	// (limits.warm_wait) and the network latency together.
	maxMeanAge = 200 * time.Millisecond

	// staleMeanFactor is the factor by which a stale mean is multiplied.
	staleMeanFactor = 0.9
)

// admissionMean returns the mean load, in requests, that an engine uses for admission,
// given the router's estimate, its age, and the mean load of the VM's engines with the
// same model.
//
// The estimate lags behind while loads fall, and more so if the dispatch is delayed. The
// local mean covers few engines but is exact and current. If the result is too low, the
// request is dispatched to another engine; if it is too high, the engine exceeds its
// bound.
func admissionMean(estimate float64, age time.Duration, local float64) float64 {
	if age > maxMeanAge {
		estimate *= staleMeanFactor
	}
	return min(estimate, local)
}

// meanLoad returns the mean load, in requests, that is used for the admission of a
// dispatch to a backend.
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

// offsetWindow is the duration of a measurement window of clockOffsets: long enough to
// include many dispatches, short enough to adapt soon after a clock was adjusted.
const offsetWindow = 30 * time.Second

// A clockOffsets converts the send times of dispatches from the routers' clocks to the
// agent's clock. The minimum difference between receive time and send time of a router's
// dispatches is taken as the clock offset plus the minimum latency. The delay of a
// dispatch beyond this minimum is its age.
//
// The zero value is ready to use. It is safe for concurrent use.
type clockOffsets struct {
	mu      sync.Mutex
	routers map[ryeford.VMID]*clockOffset
}

// A clockOffset holds the minimum offset of one router in the current and in the previous
// window.
type clockOffset struct {
	windowStart       time.Time
	current, previous time.Duration
}

// sendTime returns the time, by the agent's clock, at which a router sent a message that
// is received now, given the send time by the router's clock. If that is zero, the router
// did not state it, and sendTime returns now.
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
