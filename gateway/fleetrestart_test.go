package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/gateway/outlier"
	"github.com/ryeford/ryeford/gateway/roster"
	"github.com/ryeford/ryeford/route"
	"github.com/ryeford/ryeford/settings"
)

const (
	restartedRate     = 2.2 // requests per second and router
	restartedShare    = 18  // one of this many endpoints restarts
	restartedExpiry   = 10 * time.Second
	maxRestartedSent  = 3000 // requests that are replayed, evenly over that time
	restartedEarlier  = 1000 // start of the earlier incarnations, in Unix milliseconds
	restartedLater    = 9000 // start of the later ones
	restartedListed   = ryeford.Revision(1)
	restartedRevision = ryeford.Revision(2)
)

// restartedEndpoints returns the endpoints of a service, and the list's update when one in restartedShare of
// them has started again at its address under another name while its earlier entry has not expired.
func restartedEndpoints(number int) (listed, update ryeford.EndpointUpdate, gone map[ryeford.EndpointID]bool) {
	listed = ryeford.EndpointUpdate{Snapshot: true, Revision: restartedListed}
	update = ryeford.EndpointUpdate{Revision: restartedRevision}
	gone = make(map[ryeford.EndpointID]bool)
	for i := range number {
		earlier := ryeford.Endpoint{
			ID: ryeford.NewEndpointID(fmt.Sprintf("i-%08x", i*7919), restartedEarlier), Service: "s", Slots: simulatedSlots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80), Written: restartedListed,
		}
		listed.Present = append(listed.Present, earlier)
		if i%restartedShare != 0 {
			continue
		}
		later := earlier
		later.ID, later.Written = ryeford.NewEndpointID(fmt.Sprintf("j-%08x", i*7919), restartedLater), restartedRevision
		update.Present = append(update.Present, later)
		gone[earlier.ID] = true
	}
	return listed, update, gone
}

// TestFleetRestartedEndpoints replays endpoints that crash and start again under other names, and whose earlier
// entries expire only after seconds. It guards against routers that each send a request to each earlier entry
// before they leave it out: the larger the fleet, the more requests are refused.
func TestFleetRestartedEndpoints(t *testing.T) {
	for _, routers := range []int{4, 60, 357, 720} {
		random := rand.New(rand.NewPCG(1, uint64(routers)))
		listed, update, gone := restartedEndpoints(int(simulatedEngines * float64(routers)))
		now := time.Unix(1000, 0)
		list := roster.New()
		list.Apply(now, &listed, time.Time{})
		list.Apply(now, &update, time.Time{})
		fleet := make([]*balancer, routers)
		for i := range fleet {
			fleet[i] = newBalancer(settings.DefaultGateway())
			fleet[i].roster = list
		}
		sent := min(maxRestartedSent, int(restartedRate*float64(routers)*restartedExpiry.Seconds()))
		refused := 0
		for range sent {
			now = now.Add(restartedExpiry / time.Duration(sent))
			prompt := route.KeyHash(uint64(random.IntN(simulatedPrompts * routers)))
			query := &endpointQuery{service: "s", shared: []ryeford.PromptPart{{ID: prompt, Tokens: 1000}}, affinity: prompt}
			b := fleet[random.IntN(routers)]
			to := b.choose(now, query).to
			if gone[to.ID] {
				refused++
				b.detector.Eject(now, to.ID, outlier.MisdirectedEjection)
			}
		}
		t.Logf("%3d routers: %d of %d requests refused by %d restarted endpoints", routers, refused, sent, len(gone))
		assert.Equal(t, refused, 0, "%d routers", routers)
	}
}
