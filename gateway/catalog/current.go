package catalog

import "sync/atomic"

// A Current holds the catalog in force. It never goes back to an older version.
type Current struct {
	catalog atomic.Pointer[Catalog]
}

// Get returns the catalog in force, or nil where none is known yet.
func (c *Current) Get() *Catalog { return c.catalog.Load() }

// Put brings a catalog in force, unless one of the same or a later version is.
// It reports whether it did.
func (c *Current) Put(next *Catalog) bool {
	for {
		now := c.catalog.Load()
		if now != nil && next.Version() <= now.Version() {
			return false
		}
		if c.catalog.CompareAndSwap(now, next) {
			return true
		}
	}
}
