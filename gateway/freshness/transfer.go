package freshness

// Whether a read of the configuration transfers all of it.
//
// Rule: a router that has a large configuration asks the source to compare it and to transfer it
// only if it has changed. A small configuration is transferred with each read. A large one is
// transferred in full if a newer version is known, and once after fullReadAfter reads in a row have
// failed or were stale.
//
// Why: the configuration is read often and changes rarely. On a slow link, full transfers of a
// large configuration would crowd out client traffic and the transfer of an actual change. A
// comparison is a transaction, which the source limits more than reads, so a small configuration
// is not compared. The full transfer waits for repeated failures because after an outage usually
// nothing has changed, and all routers would transfer at the same time.

// minComparedSize is the minimum size in bytes of a configuration that is compared.
const minComparedSize = 64 << 10

// fullReadAfter is the number of consecutive failures after which one read transfers the full
// configuration. If that read fails too, the count starts over. A single failure may be a lost
// response.
const fullReadAfter = 2

// A ReadState is a router's state of the configuration before a read.
type ReadState struct {
	Size        int  // of the configuration at the source, in bytes; zero if unknown
	FailedReads int  // consecutive reads that failed or were stale
	Outdated    bool // a newer version is known
}

// UseComparison reports whether a read asks the source to transfer the configuration only if it has
// changed.
func UseComparison(s ReadState) bool {
	return s.Size >= minComparedSize && s.FailedReads%(fullReadAfter+1) < fullReadAfter && !s.Outdated
}
