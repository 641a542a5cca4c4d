package agent

import (
	"time"
)

// backOff starts or extends the back-off that an engine or service requested when it
// refused a request. Until it ends, dispatches to the backend are refused, and the
// inventory reports it to routers. A back-off never shortens the current one.
func (a *Agent) backOff(b *backend, duration time.Duration) {
	if !b.extendBackOff(time.Now().Add(duration)) {
		return
	}
	a.metrics.Count("ryeford_rests_total", "")
	a.decisions.Record("", "decision", "rest", "engine", b.id, "for", duration)
	a.inventoryChanged()
	// The margin ensures that the new inventory no longer reports the back-off.
	time.AfterFunc(duration+time.Millisecond, a.inventoryChanged)
}

// extendBackOff sets the end of the back-off, and reports whether it is later than the
// current one.
func (b *backend) extendBackOff(until time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !until.After(b.backOffUntil) {
		return false
	}
	b.backOffUntil = until
	return true
}
