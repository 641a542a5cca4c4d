package freshness

import "time"

// When a superseded configuration is not used any more.
//
// Rule: a router that has known for half of the time in which a change must be in force
// that its configuration is superseded, that can't tell whether the change is older than
// that time, and to which the source answers all the same, serves no request by it, also
// none on routes that need no key.
//
// Why: its peers have the newer configuration and serve by it, and the old one may send a
// request to a service that must not run it any more (incident inc1: two public requests
// were served by a version that had been replaced 6 s before). If the source does not
// answer, most other routers may be as badly off, and callers are better served by what
// was in force last. While the configuration was confirmed to be the newest within that
// time, the change is younger, and the router is still to put it in force in time: a large
// one takes long to come.

// supersededDivisor of bounds.configuration is how long a superseded configuration is
// used. The rest is for the age at which a router without peers reads the configuration
// again. Set by: runs with 1 and 4 (docs/decisions.md).
const supersededDivisor = 2

// A Superseded is what is known of a configuration that is superseded.
type Superseded struct {
	// Known is the time since a newer one has been known.
	Known time.Duration
	// Age is the time since it was last confirmed to be the newest. The newer one was
	// accepted after that.
	Age time.Duration
	// Answered is the time since the source answered last.
	Answered time.Duration
}

// Unusable reports whether the configuration must not be used. bound is the time in which a
// change must be in force, contact that after which a source that does not answer counts as
// out of reach.
func (s *Superseded) Unusable(bound, contact time.Duration) bool {
	return s.Known >= bound/supersededDivisor && s.Age >= bound && s.Answered < contact
}
