package agent

import (
	"context"

	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

// inventory returns the state of the agent, and a channel that is closed at the next
// change of it. Loads are not a change: they go by gossip.
func (a *Agent) inventory() (*wire.Inventory, <-chan struct{}) {
	a.mu.Lock()
	changed := a.changed
	a.mu.Unlock()
	inv := &wire.Inventory{
		VM:            a.settings.VM,
		Incarnation:   a.incarnation,
		FailureDomain: a.settings.FailureDomain,
		Leaving:       a.leaving.Load(),
	}
	for _, s := range a.settings.Engines {
		inv.Engines = append(inv.Engines, a.backends[s.ID].state())
	}
	for _, s := range a.settings.Services {
		inv.Engines = append(inv.Engines, a.backends[s.ID].state())
	}
	return inv, changed
}

// inventoryChanged wakes all that watch the inventory.
func (a *Agent) inventoryChanged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.changed)
	a.changed = make(chan struct{})
}

// serveWatch sends the inventory, and again at each change.
func (a *Agent) serveWatch(ctx context.Context, conn *transport.Conn, stream *transport.Stream) {
	for {
		inv, changed := a.inventory()
		if stream.Send(&wire.Message{Inventory: inv}) != nil {
			return // the connection is lost; the router asks again on a new one
		}
		select {
		case <-changed:
		case <-conn.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}
