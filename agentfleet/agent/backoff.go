package agent

import (
	"time"
)

// rest takes that an engine or a service has refused a request and asked for rest. Until that is over its dispatches are
// refused, and routers know so from the inventory; an end that is sooner than the last one changes nothing.
func (a *Agent) backOff(b *backend, duration time.Duration) {
	if !b.extendBackOff(time.Now().Add(duration)) {
		return
	}
	a.metrics.Count("ryeford_rests_total", "")
	a.decisions.Record("", "decision", "rest", "engine", b.id, "for", duration)
	a.inventoryChanged()
	// A little later than the end, so that the inventory has it as over.
	time.AfterFunc(duration+time.Millisecond, a.inventoryChanged)
}

// rest sets until when the engine rests, and reports whether that is later than before.
func (b *backend) extendBackOff(until time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !until.After(b.backOffUntil) {
		return false
	}
	b.backOffUntil = until
	return true
}
