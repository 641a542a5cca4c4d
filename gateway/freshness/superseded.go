package freshness

import "time"

// When a superseded configuration is not used any more.
//
// Rule: a router that has known for half of the time in which a change must be in force
// that its configuration is superseded, and to which the source answers all the same,
// serves no request by it, also none on routes that need no key.
//
// Why: its peers have the newer configuration and serve by it, and the old one may send a
// request to a service that must not run it any more (incident inc1: two public requests
// were served by a version that had been replaced 6 s before). If the source does not
// answer, most other routers may be as badly off, and callers are better served by what
// was in force last.

// supersededDivisor of bounds.configuration is how long a superseded configuration is
// used. The rest is for what the peer, whose news it was, took to read it and to tell.
// Not measured.
const supersededDivisor = 2

// Superseded reports whether a configuration must not be used since a newer one is known.
// known is the time since that, answered the time since the source answered last; bound is
// the time in which a change must be in force, contact that after which a source that does
// not answer counts as out of reach.
func Superseded(known, answered, bound, contact time.Duration) bool {
	return known >= bound/supersededDivisor && answered < contact
}
