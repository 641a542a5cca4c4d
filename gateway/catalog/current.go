package catalog

import "sync/atomic"

// A Current holds the catalog in force. It never reverts to an older version. It is safe for concurrent use. The
// zero Current holds none.
type Current struct {
	catalog atomic.Pointer[Catalog]
}

// Get returns the catalog in force, or nil if there is none yet.
func (c *Current) Get() *Catalog { return c.catalog.Load() }

// Put puts a catalog in force and reports true, unless one of the same or a later version is in force.
func (c *Current) Put(next *Catalog) bool {
	for {
		current := c.catalog.Load()
		if current != nil && next.Version() <= current.Version() {
			return false
		}
		if c.catalog.CompareAndSwap(current, next) {
			return true
		}
	}
}
