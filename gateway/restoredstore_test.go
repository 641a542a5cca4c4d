package gateway_test

import "testing"

// TestRestoreLogged checks that the log and a metric tell that the store is back from a copy.
func TestRestoreLogged(t *testing.T) {
	f := startedFixture(t, nil)
	f.store.Restore(f.store.Copy())
	f.awaitLog("decision=store_restored era_before=1 era=2")
}
