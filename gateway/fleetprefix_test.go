package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFleetFirstPart simulates fleets with few requests at each router, whose prompts begin with one of a few parts. It
// guards against engines that read such a part although others have it, because the router that sends the request
// doesn't know of any. In fleets whose messages are too few to name all prompts, that must not happen more often than
// in one whose messages name them.
func TestFleetFirstPart(t *testing.T) {
	t.Parallel()
	const reference = 27 // routers; the largest fleet here whose messages name all prompts
	most := 1.0
	for _, routers := range fleetSizes() {
		f := newSimulatedFleet(routers, 0, 1)
		f.rate, f.firstParts = 0.7, 4
		f.run(2 * simulatedWarmUp)
		share := float64(f.reread) / float64(f.lacking)
		t.Logf("%3d routers: %d of %d requests at engines without the first part had no source with it", routers, f.reread, f.lacking)
		assert.Check(t, share <= most, "%d routers: %.2f", routers, share)
		if routers == reference {
			most = share
		}
	}
}
