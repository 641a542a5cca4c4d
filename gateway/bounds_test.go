package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford/gateway/freshness"
	"github.com/ryeford/ryeford/gateway/watch"
	"github.com/ryeford/ryeford/settings"
)

// boundMargin is the part of each bound that is kept free for the store's response, the delay until a
// slow VM has read it, and the time from the last check to the request's arrival at the endpoint.
const boundMargin = 300 * time.Millisecond

// TestBoundSums checks, for several fleet sizes, that a router that receives nothing from its peers reads
// what the store has acknowledged within each bound, even if it has the last time slot of the schedule and
// the first two routers are down.
func TestBoundSums(t *testing.T) {
	s := settings.DefaultGateway()
	limits := listLimits(s)
	for _, routers := range []int{1, 2, 4, 27, 103, 390} {
		last, peers := routers-1, routers-1
		list := limits.Schedule(last, peers).Age + watch.MaxSleep
		if routers == 1 {
			list = limits.Hold + s.EndpointsSettle() // a held read, or the pause after a change
		}
		configuration := freshness.ReadAge(s.ConfigurationRefreshAge(), s.ConfigurationLatestAge(), last, peers) + freshness.PauseAfterRead(true, true)
		lease := freshness.Term(s.Bounds.Revoke)
		t.Logf("%3d routers: list %s of %s, configuration %s of %s, lease %s of %s", routers,
			list, s.Bounds.Drain, configuration, s.Bounds.Configuration, lease, s.Bounds.Revoke)
		assert.Check(t, list+boundMargin <= s.Bounds.Drain, "%d routers", routers)
		assert.Check(t, configuration+boundMargin <= s.Bounds.Configuration, "%d routers", routers)
		assert.Check(t, lease+boundMargin <= s.Bounds.Revoke)
	}
}
