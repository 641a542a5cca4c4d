package agent

import (
	"time"
)

// startBackoff starts or extends the back-off that an engine or service requested when it
// refused a request. Until it ends, dispatches to the backend are refused, and the
// inventory reports it to routers. A back-off never shortens the current one.
func (a *Agent) startBackoff(b *backend, duration time.Duration) {
	if !b.extendBackoff(time.Now().Add(duration)) {
		return
	}
	a.metrics.Count("ryeford_rests_total", "")
	a.decisions.Record("", "decision", "rest", "engine", b.id, "for", duration)
	a.inventoryChanged()
	// The margin ensures that the new inventory no longer reports the back-off.
	time.AfterFunc(duration+time.Millisecond, a.inventoryChanged)
}

// extendBackoff sets the end of the back-off, and reports whether it is later than the
// current one.
func (b *backend) extendBackoff(until time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !until.After(b.backoffUntil) {
		return false
	}
	b.backoffUntil = until
	return true
}
