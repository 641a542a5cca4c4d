package gateway

// logRestore logs and counts that the store is back from a copy.
func (g *Gateway) logRestore(r restore) {
	g.metrics.Count("ryeford_store_restores_total", "")
	_ = g.log.Log("decision", "store_restored", "before", r.before, "after", r.after)
}
