package gateway

import "time"

// maxBackupAge is how old a copy may be from which the store is restored: what a router wrote longer ago
// is in it.
const maxBackupAge = time.Minute

// handleRestore takes that the store is back from a copy: it is logged, and what this router has
// written lately, and the copy may lack, is written again.
func (g *Gateway) handleRestore(r restore) {
	g.metrics.Count("ryeford_store_restores_total", "")
	rewritten := g.quarantine.heldRequests.rewriteRecent()
	reregistered := g.gossip.reregister()
	_ = g.log.Log("decision", "store_restored", "before", r.before, "after", r.after, "held_written_again", rewritten, "entry_written_again", reregistered)
}
