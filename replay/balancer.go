package replay

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/ryeford/ryeford/internal/clock"
)

// The interval and the timeout of readiness probes.
const (
	probeInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
)

// A balancer plays the load balancer in front of a fleet: it selects, round robin, among the
// routers whose readiness probe succeeds.
type balancer struct {
	routers []netip.AddrPort

	mu    sync.Mutex
	next  int
	ready []netip.AddrPort
}

// newBalancer returns a balancer that probes the routers until ctx is done.
func newBalancer(ctx context.Context, routers []netip.AddrPort) *balancer {
	b := &balancer{routers: routers}
	b.probe()
	go func() {
		for clock.Sleep(ctx, probeInterval) {
			b.probe()
		}
	}()
	return b
}

// probe sends each router a readiness probe. A router whose probe fails is not ready.
func (b *balancer) probe() {
	client := &http.Client{Timeout: probeTimeout}
	var ready []netip.AddrPort
	for _, address := range b.routers {
		response, err := client.Get("http://" + address.String() + "/readyz")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, address)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// router returns the next ready router, or the next one if none is ready.
func (b *balancer) router() netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	candidates := b.ready
	if len(candidates) == 0 {
		candidates = b.routers
	}
	b.next++
	return candidates[b.next%len(candidates)]
}
