package freshness

// Which requests that need a key are served in an outage of the source.
//
// Rule: such a request is served while the lease is valid. If the operators don't insist that
// a revoked key stops working in time, it is served after that, too, as long as nothing says
// that the configuration in force is superseded.
//
// Why: a source that is down accepts no revocation either, so that most outages have nothing
// that could be missed, while each router that insists refuses all its callers.

// ServesKeys reports whether requests that need a key are served. bridges says that the
// operators allow it in an outage; valid that the lease has not ended; newer that a newer
// configuration is known, or may have been due for too long.
func ServesKeys(bridges, valid, newer bool) bool {
	return valid || bridges && !newer
}
