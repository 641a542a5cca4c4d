package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
)

const (
	dialTimeout = 3 * time.Second
	minRedial   = 50 * time.Millisecond
	maxRedial   = 2 * time.Second
	stableAfter = 10 * time.Second // a connection that held so long is no flap
)

// pollVMs reads the platform's list of VMs, and keeps a connection to each
// agent on it, until ctx ends. The list only says which VMs there are: whether
// one can serve is learnt from its connection.
func (r *Router) pollVMs(ctx context.Context) error {
	watches := make(map[ryeford.VMID]*watch)
	for {
		vms, err := r.platform.VMs(ctx)
		if err == nil {
			r.updateWatches(ctx, watches, vms)
		} else if ctx.Err() == nil {
			_ = r.log.Log("msg", "list of VMs not read", "err", err)
		}
		select {
		case <-time.After(jitter(r.settings.Polls.VMs)):
		case <-ctx.Done():
			return nil
		}
	}
}

// A watch keeps the connection to one agent.
type watch struct {
	vm   ryeford.VM
	stop context.CancelFunc
}

// updateWatches starts and stops watches as the list says.
func (r *Router) updateWatches(ctx context.Context, watches map[ryeford.VMID]*watch, vms []ryeford.VM) {
	listed := make(map[ryeford.VMID]bool)
	for _, vm := range vms {
		if vm.Role != ryeford.RoleAgent {
			continue
		}
		listed[vm.ID] = true
		k, ok := watches[vm.ID]
		if ok && k.vm.Address == vm.Address {
			k.vm = vm
			r.fleet.setState(vm)
			continue
		}
		if ok {
			k.stop()
		}
		watchCtx, stop := context.WithCancel(ctx)
		watches[vm.ID] = &watch{vm: vm, stop: stop}
		go r.keepConnected(watchCtx, vm)
	}
	for id, k := range watches {
		if !listed[id] {
			k.stop()
			delete(watches, id)
		}
	}
}

// keepConnected connects to an agent, again and again, until ctx ends. An agent
// that flaps is dialled ever more slowly.
func (r *Router) keepConnected(ctx context.Context, vm ryeford.VM) {
	wait := minRedial
	for ctx.Err() == nil {
		began := time.Now()
		err := r.connect(ctx, vm)
		if time.Since(began) > stableAfter {
			wait = minRedial
		}
		if ctx.Err() == nil {
			_ = r.decisions.Note("", "decision", "agent_lost", "vm", vm.ID, "failure_domain", vm.FailureDomain, "redial", wait, "err", err)
		}
		select {
		case <-time.After(jitter(wait)):
		case <-ctx.Done():
		}
		wait = min(2*wait, maxRedial)
	}
}

// connect connects to an agent and watches its inventory until the connection
// is lost.
func (r *Router) connect(ctx context.Context, vm ryeford.VM) error {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, err := r.dialer.Dial(dialCtx, vm.Address)
	cancel()
	if err != nil {
		return err
	}
	defer conn.Close("watch ended")
	if conn.Peer() != vm.ID {
		return &PeerError{Want: vm.ID, Got: conn.Peer()}
	}
	stream, err := conn.Open(ctx)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close("no longer listed") })
	defer stop()
	defer r.fleet.remove(vm.ID, conn)
	go r.receiveGossip(ctx, conn)
	go r.acceptStreams(ctx, conn)
	if err := stream.Send(&wire.Message{Watch: &wire.Watch{Router: r.settings.VM}}); err != nil {
		return err
	}
	for {
		m, err := stream.Receive()
		if err != nil {
			return err
		}
		if m.Inventory != nil {
			r.updateInventory(vm, conn, m.Inventory)
		}
	}
}

// updateInventory notes what an agent says of itself.
func (r *Router) updateInventory(vm ryeford.VM, conn *transport.Conn, inv *wire.Inventory) {
	r.fleet.put(&agent{vm: vm, conn: conn, inventory: inv})
	r.sendTo(conn, &wire.Gossip{}) // so that a new agent need not wait for its turn
	_ = r.decisions.Note("", "decision", "agent", "vm", vm.ID, "failure_domain", inv.FailureDomain,
		"incarnation", inv.Incarnation, "leaving", inv.Leaving, "engines", len(inv.Engines))
}

// A PeerError says that another VM answered at an address than the one listed.
type PeerError struct {
	Want ryeford.VMID
	Got  ryeford.VMID
}

// Error returns the text of e.
func (e *PeerError) Error() string {
	return "the address of " + string(e.Want) + " was answered by " + string(e.Got)
}

// jitter returns a time of three to five quarters of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d)/2+1))
}
