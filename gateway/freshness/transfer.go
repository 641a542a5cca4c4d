package freshness

// Whether a read of the configuration transfers it.
//
// Rule: a read of a large configuration that is known asks the source to compare it, and
// to transfer it only if it has changed; a small one is transferred each time. So is any
// after a read that failed or was stale.
//
// Why: routers read again and again what seldom changes. On narrow links a large
// configuration that is transferred with each read leaves no room for callers, nor for a
// change of itself (incident inc1). To compare, the source takes a transaction, of which
// it accepts fewer than reads; so a configuration that is quickly transferred is not
// compared, and a source that fails to compare is asked for the whole.

// minComparedSize is the size in bytes from which a configuration is compared. It takes
// 70 ms on a link of 10 Mbit/s. Not measured.
const minComparedSize = 64 << 10

// Compares reports whether the next read asks the source only for what has changed. size
// is that of the known configuration in bytes, zero if none is known; answered says that
// the last read brought an answer that counts.
func Compares(size int, answered bool) bool { return size >= minComparedSize && answered }
