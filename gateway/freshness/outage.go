package freshness

// Whether requests that need a key are served during an outage of the source.
//
// Rule: they are served while the lease is valid. If the operators allow bridging an outage, they
// are also served after the lease has ended, unless the configuration in force is known or
// suspected to be superseded.
//
// Why: a source that is down usually accepts no revocations, so a bridging router rarely misses one.
// A router that does not bridge rejects all requests that need a key.

// ServesKeys reports whether requests that need a key are served. bridging reports whether the
// operators allow serving them in an outage, valid whether the lease has not ended, and newer
// whether a newer configuration is known or suspected.
func ServesKeys(bridging, valid, newer bool) bool {
	return valid || bridging && !newer
}
