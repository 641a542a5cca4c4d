package catalog

import "sync/atomic"

// A Current holds the catalog in force. It never goes back to an older version. It
// is safe for concurrent use; the zero Current holds none.
type Current struct {
	catalog atomic.Pointer[Catalog]
}

// Get returns the catalog in force, or nil if none is known yet.
func (c *Current) Get() *Catalog { return c.catalog.Load() }

// Put puts a catalog in force and reports true, unless one of the same or a later
// version is in force.
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
