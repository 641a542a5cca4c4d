package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/gateway/freshness"
	"github.com/ryeford/ryeford/gateway/watch"
	"github.com/ryeford/ryeford/settings"
)

// boundMargin is what each sum leaves of its bound: for the store's answer, what a slow VM takes until
// it has read that, and a request's way to the endpoint after the last check.
const boundMargin = 300 * time.Millisecond

// TestBoundSums checks, for fleets of each size, that a router which hears nothing from its peers has
// read by itself, in time for each bound, what the store has acknowledged: the age of its last
// confirmation at which it reads, and the waits in between. Its peers can only make that sooner. The
// last router of a shift is the worst case, and the first two are out of the way.
func TestBoundSums(t *testing.T) {
	s := settings.DefaultGateway()
	limits := listLimits(s)
	for _, routers := range []int{1, 2, 4, 27, 103, 390} {
		last, peers := routers-1, routers-1
		list := limits.Turn(last, peers).Age + watch.MaxSleep
		if routers == 1 {
			list = limits.Hold + s.SettleEndpoints() // a held read, or the pause after a change
		}
		configuration := freshness.ReadAge(s.RefreshConfiguration(), last, peers) + freshness.PauseAfterRead(true, true)
		lease := freshness.Term(s.Bounds.Revoke)
		t.Logf("%3d routers: list %s of %s, configuration %s of %s, lease %s of %s", routers,
			list, s.Bounds.Drain, configuration, s.Bounds.Configuration, lease, s.Bounds.Revoke)
		assert.Check(t, list+boundMargin <= s.Bounds.Drain, "%d routers", routers)
		assert.Check(t, configuration+boundMargin <= s.Bounds.Configuration, "%d routers", routers)
		assert.Check(t, lease+boundMargin <= s.Bounds.Revoke)
	}
}
