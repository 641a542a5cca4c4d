package router

import (
	"context"
	"time"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/agentfleet/wire"
	"github.com/ryeford/ryeford/internal/clock"
)

const (
	// dialTimeout bounds one attempt to connect to an agent. Not measured.
	dialTimeout = 3 * time.Second

	// minRedial and maxRedial bound the time before the next attempt. Not measured.
	minRedial = 50 * time.Millisecond
	maxRedial = 2 * time.Second

	// stableAfter is how long a connection must have held for its loss not to count as
	// flapping. Not measured.
	stableAfter = 10 * time.Second
)

// A redial is the backoff between connections to one agent: it doubles from minRedial
// to maxRedial, and starts again after a connection that held for stableAfter.
type redial struct {
	wait time.Duration
}

// next returns how long to wait after a connection, or an attempt at one, that lasted
// so long. The wait is still to be jittered.
func (r *redial) next(lasted time.Duration) time.Duration {
	if r.wait == 0 || lasted > stableAfter {
		r.wait = minRedial
		return r.wait
	}
	r.wait = min(2*r.wait, maxRedial)
	return r.wait
}

// keepConnected connects to an agent, again and again, until ctx ends.
func (l *agentList) keepConnected(ctx context.Context, vm ryeford.VM) {
	var backoff redial
	for ctx.Err() == nil {
		began := time.Now()
		err := l.connect(ctx, vm)
		wait := backoff.next(time.Since(began))
		if ctx.Err() == nil {
			l.decisions.Record("", "decision", "agent_lost", "vm", vm.ID, "failure_domain", vm.FailureDomain, "redial", wait, "err", err)
		}
		clock.Sleep(ctx, jitter(wait))
	}
}

// connect connects to an agent and follows its inventory until the connection is lost.
// It always returns an error.
func (l *agentList) connect(ctx context.Context, vm ryeford.VM) error {
	conn, err := l.dial(ctx, vm)
	if err != nil {
		return err
	}
	defer conn.Close("watch ended")
	stream, err := conn.Open(ctx)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { conn.Close("no longer listed") })
	defer stop()
	defer l.fleet.remove(vm.ID, conn)
	go l.gossip.receive(ctx, conn)
	go l.requests.serve(ctx, conn)
	if err := stream.Send(&wire.Message{Watch: &wire.Watch{Router: l.vm}}); err != nil {
		return err
	}
	for {
		m, err := stream.Receive()
		if err != nil {
			return err
		}
		if m.Inventory != nil {
			l.updateInventory(vm, conn, m.Inventory)
		}
	}
}

// dial returns a connection to the VM, whose certificate must name it.
func (l *agentList) dial(ctx context.Context, vm ryeford.VM) (*transport.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.dialer.Dial(ctx, vm.Address)
	if err != nil {
		return nil, err
	}
	if conn.Peer() != vm.ID {
		conn.Close("watch ended")
		return nil, &PeerError{Want: vm.ID, Got: conn.Peer()}
	}
	return conn, nil
}

// updateInventory takes an agent's description of itself.
func (l *agentList) updateInventory(vm ryeford.VM, conn *transport.Conn, inv *wire.Inventory) {
	l.fleet.put(&agent{vm: vm, conn: conn, inventory: inv})
	l.gossip.sendTo(conn, &wire.Gossip{}) // so that a new agent need not wait until it is drawn
	l.decisions.Record("", "decision", "agent", "vm", vm.ID, "failure_domain", inv.FailureDomain,
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
