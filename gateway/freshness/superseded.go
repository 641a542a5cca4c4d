package freshness

import "time"

// When a superseded configuration is not used any more.
//
// Rule: a router that knows that its configuration is superseded, and to which the source
// answers all the same, serves no request by it once the time in which a change must be in
// force has passed since it was last confirmed; also none on routes that need no key.
//
// Why: no newer one can have been accepted before that confirmation was asked for, so the
// router is never late, however late it learns of the newer one and however many follow
// each other. The old one may send a request to a service that must not run it any more
// (without the rule, two public requests were served by a version that had been replaced 6 s
// before). If the source does not answer, most other routers may be as badly off, and
// callers are better served by what was in force last.

// Superseded reports whether a configuration must not be used that is known to be
// superseded. confirmed is the time since it was last confirmed, answered the time since
// the source answered last; bound is the time in which a change must be in force, silence
// that after which a source that has answered nothing counts as out of reach.
func Superseded(confirmed, answered, bound, silence time.Duration) bool {
	return confirmed >= bound && answered < silence
}
