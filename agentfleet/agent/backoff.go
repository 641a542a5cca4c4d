package agent

import (
	"time"
)

// rest takes that an engine or a service has refused a request and asked for rest. Until that is over its dispatches are
// refused, and routers know so from the inventory; an end that is sooner than the last one changes nothing.
func (a *Agent) rest(b *backend, span time.Duration) {
	if !b.rest(time.Now().Add(span)) {
		return
	}
	a.metrics.Count("ryeford_rests_total", "")
	a.decisions.Record("", "decision", "rest", "engine", b.id, "for", span)
	a.inventoryChanged()
	// A little later than the end, so that the inventory has it as over.
	time.AfterFunc(span+time.Millisecond, a.inventoryChanged)
}

// rest sets until when the engine rests, and reports whether that is later than before.
func (b *backend) rest(until time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !until.After(b.restsUntil) {
		return false
	}
	b.restsUntil = until
	return true
}
