package freshness

// Whether a read of the configuration transfers it.
//
// Rule: a read of a large configuration that is known asks the source to compare it, and
// to transfer it only if it has changed. It transfers a small one each time, and any one
// if the last read failed or was stale, or if a peer has a newer version.
//
// Why: routers read again and again what seldom changes. On narrow links a large
// configuration that is transferred with each read leaves no room for callers, nor for a
// change of itself (incident inc1). To compare, the source takes a transaction, of which
// it accepts fewer than reads; so a configuration that is quickly transferred is not
// compared, and a source that fails to compare is asked for the whole.

// minComparedSize is the size in bytes from which a configuration is compared. It takes
// 70 ms on a link of 10 Mbit/s. Not measured.
const minComparedSize = 64 << 10

// A Known is what a router knows of the configuration before it reads it.
type Known struct {
	Size     int  // of the configuration at the source, in bytes; zero if none is known
	Answered bool // the last read brought an answer that counts
	Outdated bool // a peer has a newer version
}

// Compares reports whether a read asks the source only for what has changed.
func Compares(k Known) bool {
	return k.Size >= minComparedSize && k.Answered && !k.Outdated
}
