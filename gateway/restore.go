package gateway

import "time"

// maxBackupAge is the maximum age of a backup from which the store is restored. Older writes are part
// of the backup.
const maxBackupAge = time.Minute

// handleRestore handles a restore of the store: it logs the restore and rewrites this router's recent
// writes, which the backup may lack.
func (g *Gateway) handleRestore(r restore) {
	g.metrics.Count("ryeford_store_restores_total", "")
	rewritten := g.quarantine.heldRequests.rewriteRecent()
	reregistered := g.gossip.reregister()
	g.streams.history.ForgetStored()
	_ = g.log.Log("decision", "store_restored", "before", r.before, "after", r.after, "held_written_again", rewritten, "entry_written_again", reregistered)
}
