package gateway

import "time"

// maxCopyAge is how old a copy may be from which the store is restored: what a router wrote longer ago
// is in it.
const maxCopyAge = time.Minute

// storeRestored takes that the store is back from a copy: it is logged, and what this router has
// written lately, and the copy may lack, is written again.
func (g *Gateway) storeRestored(r restore) {
	g.metrics.Count("ryeford_store_restores_total", "")
	again := g.quarantine.kept.writeAgain()
	entry := g.gossip.registerAgain()
	_ = g.log.Log("decision", "store_restored", "before", r.before, "after", r.after, "held_written_again", again, "entry_written_again", entry)
}
