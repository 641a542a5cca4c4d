package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ryeford/ryeford/gateway/peers"
	"github.com/ryeford/ryeford/gateway/replica"
	"github.com/ryeford/ryeford/internal/clock"
)

// lookUp registers this router in the platform's list of routers and adds the others to the table of
// peers, whenever this is due.
func (g *gossip) lookUp(ctx context.Context) error {
	clock.Sleep(ctx, replica.StartDelay(peers.RegisterSpread, rand.Float64()))
	began := clock.Now()
	ticker := time.NewTicker(peers.LookupInterval)
	defer ticker.Stop()
	for {
		if g.lookupDue(clock.Now(), began) {
			g.metrics.Count("ryeford_store_calls_total", causeRouters)
			addresses, err := g.routers.Register(ctx, g.vm, g.self, peers.EnoughEntries(g.lookedUp.Swap(true)))
			g.startup.recordLookup(clock.Now(), len(addresses))
			_ = g.log.Log("decision", "look_up_peers", "found", len(addresses), "err", err)
			if err == nil {
				now := clock.Now()
				g.registered.Store(&now)
				g.table.Add(now, addresses)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// reregister makes this router register again if it registered recently, and reports whether it does.
// As at startup, it adds no entry if there are enough others.
func (g *gossip) reregister() bool {
	registered := g.registered.Load()
	if registered == nil || clock.Since(*registered) > maxBackupAge {
		return false
	}
	g.lookedUp.Store(false)
	return g.registered.CompareAndSwap(registered, nil)
}

// lookupDue reports whether this router, which started at began, is due to register.
func (g *gossip) lookupDue(now, began time.Time) bool {
	var registered time.Time
	if at := g.registered.Load(); at != nil {
		registered = *at
	}
	confirmed, _ := g.endpoints.lease.Confirmed()
	rank, _ := g.table.Rank(now, peers.LookupTimeSlot(confirmed))
	lookup := peers.Lookup{
		Running: now.Sub(began), Seeded: len(g.seeds) > 0,
		Registered: !registered.IsZero(), SinceRegistration: now.Sub(registered),
		ReceivedRecently: g.table.ReceivedRecently(now), FirstInSlot: rank == 0,
	}
	return lookup.Due()
}
