package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"

	"github.com/ryeford/ryeford"
	"github.com/ryeford/ryeford/agentfleet/decision"
	"github.com/ryeford/ryeford/agentfleet/transport"
	"github.com/ryeford/ryeford/internal/clock"
)

// An agentList follows the platform's list of VMs, and keeps a connection to each agent
// on it. The list only says which VMs there are: whether one can serve is seen from its
// connection.
type agentList struct {
	vm        ryeford.VMID // of this router
	vms       ryeford.VMList
	interval  time.Duration // between reads of the list, before jitter
	dialer    *transport.Dialer
	fleet     *fleet
	gossip    *agentGossip
	requests  *agentRequests
	decisions *decision.Log
	log       log.Logger
}

// run reads the list until ctx ends.
func (l *agentList) run(ctx context.Context) error {
	watches := make(map[ryeford.VMID]*watch)
	for {
		vms, err := l.vms.VMs(ctx)
		if err == nil {
			l.updateWatches(ctx, watches, vms)
		} else if ctx.Err() == nil {
			_ = l.log.Log("msg", "list of VMs not read", "err", err)
		}
		if !clock.Sleep(ctx, jitter(l.interval)) {
			return nil
		}
	}
}

// A watch keeps the connection to one agent.
type watch struct {
	vm   ryeford.VM
	stop context.CancelFunc
}

// updateWatches starts and stops watches as the list says. An agent whose address has
// changed gets a new one.
func (l *agentList) updateWatches(ctx context.Context, watches map[ryeford.VMID]*watch, vms []ryeford.VM) {
	listed := make(map[ryeford.VMID]bool)
	for _, vm := range vms {
		if vm.Role != ryeford.RoleAgent {
			continue
		}
		listed[vm.ID] = true
		w, ok := watches[vm.ID]
		if ok && w.vm.Address == vm.Address {
			w.vm = vm
			l.fleet.setVM(vm)
			continue
		}
		if ok {
			w.stop()
		}
		watchCtx, stop := context.WithCancel(ctx)
		watches[vm.ID] = &watch{vm: vm, stop: stop}
		go l.keepConnected(watchCtx, vm)
	}
	for id, w := range watches {
		if !listed[id] {
			w.stop()
			delete(watches, id)
		}
	}
}

// jitter returns a random time of three to five quarters of d, so that processes that
// started together do not poll together.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d)/2+1))
}
