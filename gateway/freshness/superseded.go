package freshness

import "time"

// When a superseded configuration is no longer used.
//
// Rule: if a newer configuration is known and the source responds, a router stops serving
// requests by the old one, including those on public routes, when the propagation bound has
// passed since the old one was last confirmed.
//
// Why: no newer configuration can have been accepted before the read that last confirmed the old
// one, so the bound holds however late the router is notified. The old configuration may route
// requests to a service that must no longer run them. If the source does not respond, most other
// routers are affected too, and serving by the last known configuration is better than refusing.

// Superseded reports whether a configuration that is known to be superseded must no longer be
// used. confirmed is the time since it was last confirmed, and sinceContact the time since the
// last contact with the source. changeTimeout is the time within which a change must take effect,
// and unreachableAfter the time without contact after which the source counts as unreachable.
func Superseded(confirmed, sinceContact, changeTimeout, unreachableAfter time.Duration) bool {
	return confirmed >= changeTimeout && sinceContact < unreachableAfter
}
