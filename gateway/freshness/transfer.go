package freshness

// Whether a read of the configuration transfers it.
//
// Rule: a read of a large configuration that is known asks the source to compare it, and
// to transfer it only if it has changed. It transfers a small one each time, and any one
// if a newer version is known, or, once in a while, if the last reads failed or were stale.
//
// Why: routers read again and again what seldom changes. On narrow links a large
// configuration that is transferred with each read leaves no room for callers, nor for a
// change of itself. To compare, the source takes a transaction, of which
// it accepts fewer than reads; so a configuration that is quickly transferred is not
// compared, and a source that goes on failing to compare is asked for the whole. It is not
// asked at once: after an outage, or if one answer is lost, most often nothing has changed,
// and all routers would transfer the whole at the same time.

// minComparedSize is the size in bytes from which a configuration is compared. It takes
// 70 ms on a link of 10 Mbit/s.
const minComparedSize = 64 << 10

// wholeAfter is after how many failures in a row one read transfers the whole. If that fails,
// too, the count begins anew. Two are the fewest that tell a lost answer from a source that
// refuses to compare.
const wholeAfter = 2

// A Known is what a router knows of the configuration before it reads it.
type Known struct {
	Size     int  // of the configuration at the source, in bytes; zero if none is known
	Failed   int  // reads in a row that brought no answer that counts
	Outdated bool // a newer version is known
}

// Compares reports whether a read asks the source only for what has changed.
func Compares(k Known) bool {
	return k.Size >= minComparedSize && k.Failed%(wholeAfter+1) < wholeAfter && !k.Outdated
}
