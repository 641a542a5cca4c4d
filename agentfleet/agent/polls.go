package agent

import (
	"context"

	"github.com/ryeford/ryeford"
)

// pollEngines asks the engines what they serve, at once and after each interval,
// until ctx ends.
func (a *Agent) pollEngines(ctx context.Context) error {
	after := make(map[ryeford.EngineID]int64)
	poll := func() {
		changed := false
		for _, s := range a.settings.Engines {
			b := a.backends[s.ID]
			changed = a.pollServing(ctx, b) || changed
			after[s.ID] = a.pollCache(ctx, b, after[s.ID])
		}
		if changed {
			a.inventoryChanged()
		}
	}
	poll()
	return every(ctx, a.settings.Polls.Engine, poll)
}

// pollServing asks an engine what it serves and reports whether that changed. An
// engine that does not answer serves nothing.
func (a *Agent) pollServing(ctx context.Context, b *backend) bool {
	order, err := b.engine.Serving(ctx)
	changed := b.setServing(err == nil, order.Pools)
	if changed {
		a.decisions.Record("", "decision", "serving", "engine", b.id, "alive", err == nil, "pools", len(order.Pools), "epoch", order.Epoch)
	}
	return changed
}

// pollCache reads an engine's cache events after a number and returns the last
// one's number. After an error the next poll asks for the same events again; a gap
// costs only a wrong belief about a chat's prefix.
func (a *Agent) pollCache(ctx context.Context, b *backend, after int64) int64 {
	events, err := b.engine.CacheEvents(ctx, after)
	if err != nil || len(events) == 0 {
		return after
	}
	b.forgetEvicted(events)
	return events[len(events)-1].Sequence
}

// pollVMs makes the agent leave once the platform's list says that its VM does,
// until ctx ends. An operator's Leave message is faster, but may not come.
func (a *Agent) pollVMs(ctx context.Context) error {
	return every(ctx, a.settings.Polls.VMList, func() {
		vms, err := a.vms.VMs(ctx)
		if err != nil {
			if ctx.Err() == nil {
				_ = a.log.Log("msg", "list of VMs not read", "err", err)
			}
			return
		}
		for _, vm := range vms {
			if vm.ID == a.settings.VM && vm.State == ryeford.VMLeaving {
				a.startLeaving("list")
			}
		}
	})
}
